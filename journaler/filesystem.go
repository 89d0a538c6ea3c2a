package journaler

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
)

// FileSystem provides access to the files of a data directory. Names are relative to
// the directory.
type FileSystem interface {
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// ReadFile returns the contents of a file.
	ReadFile(name string) ([]byte, error)
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	// OpenAppend truncates a file to size bytes and opens it for appending.
	OpenAppend(name string, size int64) (File, error)
	// Rename renames a file. It replaces newName if that exists.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
}

// File is an append-only file.
type File interface {
	io.WriteCloser
	// Sync makes all writes durable.
	Sync() error
}

// Directory is a data directory in the operating system's file system. It implements
// [FileSystem].
type Directory struct {
	path string
}

// OpenDirectory opens a data directory, and creates it if it does not exist.
func OpenDirectory(path string) (d *Directory, err error) {
	defer func() { err = eris.Wrapf(err, "open data folder %s", path) }()
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	return &Directory{path: path}, nil
}

// List implements [FileSystem].
func (d *Directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
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

// ReadFile implements [FileSystem].
func (d *Directory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

// Create implements [FileSystem].
func (d *Directory) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// OpenAppend implements [FileSystem].
func (d *Directory) OpenAppend(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		return nil, closeAfterError(file, err)
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return nil, closeAfterError(file, err)
	}
	return file, nil
}

func closeAfterError(file *os.File, err error) error {
	_ = file.Close()
	return err
}

// Rename implements [FileSystem].
func (d *Directory) Rename(oldName, newName string) error {
	return os.Rename(filepath.Join(d.path, oldName), filepath.Join(d.path, newName))
}

// Remove implements [FileSystem].
func (d *Directory) Remove(name string) error {
	return os.Remove(filepath.Join(d.path, name))
}

// SyncDir implements [FileSystem].
func (d *Directory) SyncDir() (err error) {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
