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

// ErrDiskFailed is what a failing Disk returns.
var ErrDiskFailed = errors.New("disk failed")

// Disk is a disk in memory that forgets what was not synced. It implements
// journaler.Disk.
type Disk struct {
	// mu guards everything below.
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	// failIn counts down operations until the disk fails; negative for never.
	failIn int
	failed bool
	syncs  int
	// epoch rises with each crash, so that files opened before it are dead.
	epoch int
}

type inode struct {
	data   []byte
	synced int
}

// NewDisk returns an empty disk that does not fail.
func NewDisk() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, failIn: -1}
}

// FailAfter lets the disk fail at the n-th operation from now and at every later
// one, until the next crash.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failIn = n
}

// SyncCount returns how many times files were synced.
func (d *Disk) SyncCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Crash forgets what was not synced: of each file it keeps what was synced and a
// random part of the rest, which may be damaged; of changed names it keeps some.
func (d *Disk) Crash(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if _, ok := names[name]; !ok && r.IntN(2) == 0 {
			names[name] = d.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n := names[name]
		rest := slices.Clone(n.data[n.synced:])
		rest = rest[:r.IntN(len(rest)+1)]
		if len(rest) > 0 && r.IntN(2) == 0 {
			rest[r.IntN(len(rest))] ^= byte(1 + r.IntN(255))
		}
		data := append(slices.Clone(n.data[:n.synced]), rest...)
		names[name] = &inode{data: data, synced: len(data)}
	}
	d.names, d.durable = names, maps.Clone(names)
	d.failIn, d.failed = -1, false
	d.epoch++
}

// Erase empties the disk, as when it was lost and replaced.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable = map[string]*inode{}, map[string]*inode{}
	d.failIn, d.failed = -1, false
	d.epoch++
}

// CorruptByte flips a byte of a synced file.
func (d *Disk) CorruptByte(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[name].data[offset] ^= 0xff
}

// step counts an operation. The caller holds the mutex.
func (d *Disk) step() error {
	if d.failIn == 0 {
		d.failed = true
	}
	if d.failed {
		return ErrDiskFailed
	}
	if d.failIn > 0 {
		d.failIn--
	}
	return nil
}

// List implements journaler.Disk.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// ReadFile implements journaler.Disk.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements journaler.Disk.
func (d *Disk) Create(name string) (journaler.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	if _, ok := d.names[name]; ok {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.names[name] = n
	return &file{disk: d, node: n, epoch: d.epoch}, nil
}

// OpenAppend implements journaler.Disk.
func (d *Disk) OpenAppend(name string, size int64) (journaler.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	n.data = n.data[:size]
	n.synced = min(n.synced, int(size))
	return &file{disk: d, node: n, epoch: d.epoch}, nil
}

// Rename implements journaler.Disk.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	n, ok := d.names[oldName]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.names, oldName)
	d.names[newName] = n
	return nil
}

// Remove implements journaler.Disk.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	if _, ok := d.names[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

// SyncDir implements journaler.Disk.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return 0, ErrDiskFailed
	}
	if err := f.disk.step(); err != nil {
		half := len(p) / 2
		f.node.data = append(f.node.data, p[:half]...)
		return half, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.epoch != f.disk.epoch {
		return ErrDiskFailed
	}
	if err := f.disk.step(); err != nil {
		return err
	}
	f.node.synced = len(f.node.data)
	f.disk.syncs++
	return nil
}

func (f *file) Close() error { return nil }
