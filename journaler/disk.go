package journaler

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
)

// FileSystem is the file system under the data folder. Names are relative to it.
type FileSystem interface {
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// ReadFile returns a whole file.
	ReadFile(name string) ([]byte, error)
	// Create makes a new file for appending; the file must not exist.
	Create(name string) (File, error)
	// OpenAppend opens a file for appending behind size bytes, dropping what follows.
	OpenAppend(name string, size int64) (File, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes created, renamed and removed names last.
	SyncDir() error
}

// File is a file that is written at its end.
type File interface {
	io.WriteCloser
	// Sync makes what was written last.
	Sync() error
}

// Directory is a data folder of the operating system. It implements [Disk].
type Directory struct {
	path string
}

// OpenDirectory opens a data folder and makes it if it is not there.
func OpenDirectory(path string) (f *Directory, err error) {
	defer func() { err = eris.Wrapf(err, "open data folder %s", path) }()
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	return &Directory{path: path}, nil
}

// List implements [Disk].
func (f *Directory) List() ([]string, error) {
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

// ReadFile implements [Disk].
func (f *Directory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements [Disk].
func (f *Directory) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// OpenAppend implements [Disk].
func (f *Directory) OpenAppend(name string, size int64) (File, error) {
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
func (f *Directory) Rename(oldName, newName string) error {
	return os.Rename(filepath.Join(f.path, oldName), filepath.Join(f.path, newName))
}

// Remove implements [Disk].
func (f *Directory) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// SyncDir implements [Disk].
func (f *Directory) SyncDir() (err error) {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
