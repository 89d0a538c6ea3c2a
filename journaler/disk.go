package journaler

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
)

// Disk is the file system under the data folder. Names are relative to it.
type Disk interface {
	// Names returns the names of all files, sorted.
	Names() ([]string, error)
	// Read returns a whole file.
	Read(name string) ([]byte, error)
	// Create makes a new file for appending; the file must not exist.
	Create(name string) (File, error)
	// Open opens a file for appending behind size bytes, dropping what follows.
	Open(name string, size int64) (File, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncNames makes created, renamed and removed names last.
	SyncNames() error
}

// File is a file that is written at its end.
type File interface {
	io.WriteCloser
	// Sync makes what was written last.
	Sync() error
}

// Folder is a data folder of the operating system. It implements [Disk].
type Folder struct {
	path string
}

// OpenFolder opens a data folder and makes it if it is not there.
func OpenFolder(path string) (f *Folder, err error) {
	defer func() { err = eris.Wrapf(err, "open data folder %s", path) }()
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	return &Folder{path: path}, nil
}

// Names implements [Disk].
func (f *Folder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Read implements [Disk].
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements [Disk].
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// Open implements [Disk].
func (f *Folder) Open(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		return nil, errClose(file, err)
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return nil, errClose(file, err)
	}
	return file, nil
}

func errClose(file *os.File, err error) error {
	_ = file.Close()
	return err
}

// Rename implements [Disk].
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(filepath.Join(f.path, oldName), filepath.Join(f.path, newName))
}

// Remove implements [Disk].
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// SyncNames implements [Disk].
func (f *Folder) SyncNames() (err error) {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
