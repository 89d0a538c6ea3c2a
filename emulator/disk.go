package emulator

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/figseam/figseam/journaler"
)

// ErrDiskFailed is the error of all operations of a failed Disk that modify or sync it,
// and of writes and syncs to files that were opened before a crash or an erasure.
var ErrDiskFailed = errors.New("disk failed")

// Disk is an in-memory disk that can fail and lose unsynced data. It implements
// journaler.FileSystem and is safe for concurrent use.
type Disk struct {
	// mu guards the fields below.
	mu    sync.Mutex
	files map[string]*inode
	// durableFiles holds the directory entries of the last SyncDir.
	durableFiles map[string]*inode
	// operationsLeft is the number of operations that modify or sync the disk and still
	// succeed; negative if the disk does not fail.
	operationsLeft int
	failed         bool
	syncCount      int
	// epoch counts the crashes and erasures. Files that were opened in an earlier epoch
	// are invalid.
	epoch int
}

// inode is the content of a file, of which the first syncedBytes survive a crash.
type inode struct {
	data        []byte
	syncedBytes int
}

// NewDisk returns an empty disk that does not fail.
func NewDisk() *Disk {
	return &Disk{files: map[string]*inode{}, durableFiles: map[string]*inode{}, operationsLeft: -1}
}

// FailAfter makes the disk fail after n more operations that modify or sync it, until
// the next Crash or Erase.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operationsLeft = n
}

// SyncCount returns the number of successful file syncs.
func (d *Disk) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncCount
}

// Crash emulates a crash of the machine and repairs a failed disk. Each file keeps its
// synced data and a prefix of random length of the unsynced rest, of which one byte
// may be corrupted. Files that were created or renamed since the last SyncDir keep
// their new name or lose it at random; removed and former names reappear.
func (d *Disk) Crash(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if _, ok := files[name]; !ok && r.IntN(2) == 0 {
			files[name] = d.files[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		n := files[name]
		unsynced := slices.Clone(n.data[n.syncedBytes:])
		unsynced = unsynced[:r.IntN(len(unsynced)+1)]
		if len(unsynced) > 0 && r.IntN(2) == 0 {
			unsynced[r.IntN(len(unsynced))] ^= byte(1 + r.IntN(255))
		}
		data := append(slices.Clone(n.data[:n.syncedBytes]), unsynced...)
		files[name] = &inode{data: data, syncedBytes: len(data)}
	}
	d.files, d.durableFiles = files, maps.Clone(files)
	d.operationsLeft, d.failed = -1, false
	d.epoch++
}

// Erase empties the disk, which emulates its replacement.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files, d.durableFiles = map[string]*inode{}, map[string]*inode{}
	d.operationsLeft, d.failed = -1, false
	d.epoch++
}

// CorruptByte inverts all bits of the byte at offset of a file. It panics if the file
// or the offset does not exist.
func (d *Disk) CorruptByte(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[offset] ^= 0xff
}

// beginOperation counts an operation that modifies or syncs the disk. It returns an error
// if the disk has failed. The caller holds the mutex.
func (d *Disk) beginOperation() error {
	if d.operationsLeft == 0 {
		d.failed = true
	}
	if d.failed {
		return ErrDiskFailed
	}
	if d.operationsLeft > 0 {
		d.operationsLeft--
	}
	return nil
}

// List implements journaler.FileSystem.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// ReadFile implements journaler.FileSystem.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements journaler.FileSystem.
func (d *Disk) Create(name string) (journaler.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	if _, ok := d.files[name]; ok {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.files[name] = n
	return &openFile{disk: d, node: n, epoch: d.epoch}, nil
}

// OpenAppend implements journaler.FileSystem.
func (d *Disk) OpenAppend(name string, size int64) (journaler.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	n, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	n.data = n.data[:size]
	n.syncedBytes = min(n.syncedBytes, int(size))
	return &openFile{disk: d, node: n, epoch: d.epoch}, nil
}

// Rename implements journaler.FileSystem.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return err
	}
	n, ok := d.files[oldName]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.files, oldName)
	d.files[newName] = n
	return nil
}

// Remove implements journaler.FileSystem.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return err
	}
	if _, ok := d.files[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

// SyncDir implements journaler.FileSystem.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
	return nil
}

// openFile is a file opened for writing.
type openFile struct {
	disk  *Disk
	node  *inode
	epoch int
}

// Write appends p. If the disk fails, half of p is written.
func (f *openFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return 0, ErrDiskFailed
	}
	if err := f.disk.beginOperation(); err != nil {
		half := len(p) / 2
		f.node.data = append(f.node.data, p[:half]...)
		return half, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *openFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return ErrDiskFailed
	}
	if err := f.disk.beginOperation(); err != nil {
		return err
	}
	f.node.syncedBytes = len(f.node.data)
	f.disk.syncCount++
	return nil
}

func (f *openFile) Close() error { return nil }
