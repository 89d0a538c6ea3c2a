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

// ErrDiskFull is the error of the operations that a [DiskFault] refuses.
var ErrDiskFull = errors.New("no space left on the disk")

// DiskFault determines which operations a disk refuses as long as it has no room. In
// contrast to a failed disk, nothing that was stored is lost.
type DiskFault uint8

// Faults of disks without room.
const (
	// DiskFaultNone refuses nothing.
	DiskFaultNone DiskFault = iota
	// DiskFaultWrites refuses to write any byte.
	DiskFaultWrites
	// DiskFaultPartialWrites writes the first half of the bytes and refuses the others.
	DiskFaultPartialWrites
	// DiskFaultLongWrites refuses writes of more than [LongWriteBytes], as a disk does that has
	// little room left.
	DiskFaultLongWrites
	// DiskFaultSyncs refuses to sync files and the directory.
	DiskFaultSyncs
	// DiskFaultCreation refuses to create files.
	DiskFaultCreation
	// DiskFaultRemoval refuses to remove, rename and truncate files.
	DiskFaultRemoval
)

// LongWriteBytes is the length in bytes up to which [DiskFaultLongWrites] accepts writes.
const LongWriteBytes = 300

// DiskFaults lists all faults of disks without room.
var DiskFaults = []DiskFault{DiskFaultWrites, DiskFaultPartialWrites, DiskFaultLongWrites, DiskFaultSyncs, DiskFaultCreation, DiskFaultRemoval}

// String returns the operations that the fault refuses.
func (f DiskFault) String() string {
	return [...]string{"none", "writes", "rest of a write", "long writes", "syncs", "new files", "removal"}[f]
}

// diskOperation is a kind of operations that modify or sync the disk.
type diskOperation uint8

const (
	writeOperation diskOperation = iota
	syncOperation
	createOperation
	removeOperation
	otherOperation
)

// refuses reports whether a disk with this fault refuses an operation.
func (f DiskFault) refuses(o diskOperation) bool {
	switch f {
	case DiskFaultWrites, DiskFaultPartialWrites:
		return o == writeOperation
	case DiskFaultSyncs:
		return o == syncOperation
	case DiskFaultCreation:
		return o == createOperation
	case DiskFaultRemoval:
		return o == removeOperation
	}
	return false
}

// Disk is an in-memory disk that can fail, run out of room and lose unsynced data. It
// implements journaler.FileSystem and is safe for concurrent use.
type Disk struct {
	// mu guards the fields below.
	mu    sync.Mutex
	files map[string]*inode
	// durableFiles holds the directory entries of the last SyncDir.
	durableFiles map[string]*inode
	// removedFiles holds the files that were created, synced and removed since then.
	removedFiles map[string]*inode
	// operationsLeft is the number of operations that modify or sync the disk and still
	// succeed; negative if the disk does not fail.
	operationsLeft int
	failed         bool
	syncCount      int
	// fault takes effect after operationsToFault more operations that modify or sync the
	// disk.
	fault             DiskFault
	operationsToFault int
	// epoch counts the crashes and erasures. Files that were opened in an earlier epoch
	// are invalid.
	epoch int
}

// inode is the content of a file, of which the first syncedBytes survive a crash.
type inode struct {
	data        []byte
	syncedBytes int
	// unsyncable is set if a sync was refused. As on Linux, later syncs report success although
	// they do not store the bytes that it concerned, until these are truncated.
	unsyncable bool
}

func (n *inode) truncate(size int) {
	n.data = n.data[:size]
	if size <= n.syncedBytes {
		n.syncedBytes, n.unsyncable = size, false
	}
}

func (n *inode) sync() {
	if !n.unsyncable {
		n.syncedBytes = len(n.data)
	}
}

// NewDisk returns an empty disk that does not fail.
func NewDisk() *Disk {
	return &Disk{files: map[string]*inode{}, durableFiles: map[string]*inode{}, removedFiles: map[string]*inode{}, operationsLeft: -1}
}

// FailAfter makes the disk fail after n more operations that modify or sync it, until
// the next Crash or Erase.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operationsLeft = n
}

// SetFault makes the disk run out of room, or have room again, after n more operations that
// modify or sync it.
func (d *Disk) SetFault(f DiskFault, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.operationsToFault = f, n
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
// their new name or lose it at random; removed and former names reappear, those of files that
// were also created since then at random.
func (d *Disk) Crash(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	files := maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if _, ok := files[name]; !ok && r.IntN(2) == 0 {
			files[name] = d.files[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.removedFiles)) {
		if _, ok := files[name]; !ok && r.IntN(2) == 0 {
			files[name] = d.removedFiles[name]
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
	d.files, d.durableFiles, d.removedFiles = files, maps.Clone(files), map[string]*inode{}
	d.operationsLeft, d.failed = -1, false
	d.epoch++
}

// Erase empties the disk, which emulates its replacement.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files, d.durableFiles, d.removedFiles = map[string]*inode{}, map[string]*inode{}, map[string]*inode{}
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
// if the disk has failed or refuses the operation. The caller holds the mutex.
func (d *Disk) beginOperation(o diskOperation) error {
	if d.operationsLeft == 0 {
		d.failed = true
	}
	if d.failed {
		return ErrDiskFailed
	}
	if d.operationsLeft > 0 {
		d.operationsLeft--
	}
	if d.operationsToFault > 0 {
		d.operationsToFault--
		return nil
	}
	if d.fault.refuses(o) {
		return ErrDiskFull
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
	if err := d.beginOperation(createOperation); err != nil {
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
	n, ok := d.files[name]
	operation := otherOperation
	if ok && size < int64(len(n.data)) {
		operation = removeOperation
	}
	if err := d.beginOperation(operation); err != nil {
		return nil, err
	}
	if !ok {
		return nil, fs.ErrNotExist
	}
	n.truncate(int(size))
	return &openFile{disk: d, node: n, epoch: d.epoch}, nil
}

// Rename implements journaler.FileSystem.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(removeOperation); err != nil {
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
	if err := d.beginOperation(removeOperation); err != nil {
		return err
	}
	n, ok := d.files[name]
	if !ok {
		return fs.ErrNotExist
	}
	if d.durableFiles[name] == nil && n.syncedBytes > 0 {
		d.removedFiles[name] = n
	}
	delete(d.files, name)
	return nil
}

// SyncDir implements journaler.FileSystem.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(syncOperation); err != nil {
		return err
	}
	d.durableFiles, d.removedFiles = maps.Clone(d.files), map[string]*inode{}
	return nil
}

// openFile is a file opened for writing.
type openFile struct {
	disk  *Disk
	node  *inode
	epoch int
}

// Write appends p. If the disk fails, or has a partial fault, half of p is written.
func (f *openFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return 0, ErrDiskFailed
	}
	if f.disk.fault == DiskFaultLongWrites && f.disk.operationsToFault == 0 && len(p) > LongWriteBytes {
		return 0, ErrDiskFull
	}
	if err := f.disk.beginOperation(writeOperation); err != nil {
		if !f.disk.failed && f.disk.fault == DiskFaultWrites {
			return 0, err
		}
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
	if err := f.disk.beginOperation(syncOperation); err != nil {
		f.node.unsyncable = len(f.node.data) > f.node.syncedBytes
		return err
	}
	f.node.sync()
	f.disk.syncCount++
	return nil
}

func (f *openFile) Close() error { return nil }
