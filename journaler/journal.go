package journaler

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

const (
	segmentPrefix  = "journal-"
	snapshotPrefix = "snapshot-"
	temporary      = "temporary"
)

// ErrFailed is returned by every call after a write or sync failed. What is on
// disk is then unknown, so the replica must stop.
var ErrFailed = errors.New("journal failed earlier")

// CorruptionError is damage in the middle of the journal, which cannot come from an
// interrupted write.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error names the file and the offset.
func (h *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", h.File, h.Offset, h.Detail)
}

// Snapshot is a state that replaces all entries up to Index.
type Snapshot struct {
	Index     uint64 `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	LogMillis int64  `cbor:"3,keyasint"`
	// Data is the state, Membership the set of voters at Index.
	Data       []byte `cbor:"4,keyasint"`
	Membership []byte `cbor:"5,keyasint"`
}

// RecoveredState is what a journal held when it was opened.
type RecoveredState struct {
	Identity  string
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// TruncatedBytes is how much of a torn tail was cut off.
	TruncatedBytes int64
}

// Journal appends to a data folder. It is not safe for concurrent use.
type Journal struct {
	disk     FileSystem
	identity string
	salt     uint64
	ballot   HardState
	sequence uint64
	file     File
	segments []string
	bytes    int64
	failed   bool
}

// Open reads a data folder and opens it for appending. An empty folder gets a
// new identity.
func Open(disk FileSystem) (j *Journal, c RecoveredState, err error) {
	defer func() { err = eris.Wrap(err, "open journal") }()
	j = &Journal{disk: disk}
	names, err := disk.List()
	if err != nil {
		return nil, RecoveredState{}, err
	}
	if err := j.readSnapshot(names, &c); err != nil {
		return nil, RecoveredState{}, err
	}
	size, err := j.readSegments(names, &c)
	if err != nil {
		return nil, RecoveredState{}, err
	}
	if c.Identity == "" && c.Snapshot.Index > 0 {
		return nil, RecoveredState{}, &CorruptionError{File: snapshotName(c.Snapshot.Index), Detail: "there is a snapshot and no segment"}
	}
	if c.Identity == "" {
		return j.create(c)
	}
	j.identity, j.ballot = c.Identity, c.HardState
	last := j.segments[len(j.segments)-1]
	j.file, err = disk.OpenAppend(last, size)
	if err != nil {
		return nil, RecoveredState{}, err
	}
	return j, c, j.file.Sync()
}

// create starts an empty folder.
func (j *Journal) create(c RecoveredState) (*Journal, RecoveredState, error) {
	j.identity = uuid.NewString()
	j.salt = xxhash.Sum64String(j.identity)
	for _, name := range j.segments {
		if err := j.disk.Remove(name); err != nil {
			return nil, RecoveredState{}, err
		}
	}
	j.segments = nil
	c.Identity = j.identity
	return j, c, j.startSegment(nil)
}

func (j *Journal) readSnapshot(names []string, c *RecoveredState) error {
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) {
			continue
		}
		data, err := j.disk.ReadFile(name)
		if err != nil {
			return err
		}
		s, ok := decodeSnapshot(data)
		if !ok {
			return &CorruptionError{File: name, Detail: "the checksum of the snapshot is wrong"}
		}
		if s.Index >= c.Snapshot.Index {
			c.Snapshot = s
		}
	}
	return nil
}

// readSegments returns the size of the sound part of the last segment.
func (j *Journal) readSegments(names []string, c *RecoveredState) (int64, error) {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			j.segments = append(j.segments, name)
		}
	}
	sizes := make([]int64, len(j.segments))
	for i, name := range j.segments {
		data, err := j.disk.ReadFile(name)
		if err != nil {
			return 0, err
		}
		read, err := j.readSegment(name, data, c)
		if err != nil {
			return 0, err
		}
		sizes[i] = int64(read)
		torn := len(data) - read
		if torn > 0 && i < len(j.segments)-1 {
			return 0, &CorruptionError{File: name, Offset: sizes[i], Detail: "damaged batch before a later segment"}
		}
		c.TruncatedBytes += int64(torn)
		j.bytes += sizes[i]
	}
	if err := j.checkGap(c); err != nil {
		return 0, err
	}
	return j.dropEmptySegment(sizes)
}

// dropEmptySegment removes a last segment whose first batch was torn, and
// returns the size of the segment that is appended to.
func (j *Journal) dropEmptySegment(sizes []int64) (int64, error) {
	last := len(sizes) - 1
	if last < 0 {
		return 0, nil
	}
	if last == 0 || sizes[last] > 0 {
		return sizes[last], nil
	}
	if err := j.disk.Remove(j.segments[last]); err != nil {
		return 0, err
	}
	j.segments = j.segments[:last]
	// The removal must last: were the name to come back, a later torn tail would
	// seem to be a hole before it.
	return sizes[last-1], j.disk.SyncDir()
}

// checkGap holds that the entries follow the snapshot.
func (j *Journal) checkGap(c *RecoveredState) error {
	if len(c.Entries) > 0 && c.Entries[0].Index > c.Snapshot.Index+1 {
		return &CorruptionError{File: j.segments[0], Detail: fmt.Sprintf(
			"entries begin at %d, the snapshot ends at %d", c.Entries[0].Index, c.Snapshot.Index)}
	}
	return nil
}

func (j *Journal) readSegment(name string, data []byte, c *RecoveredState) (int, error) {
	at := 0
	for at < len(data) {
		b, size, ok := decodeBatch(j.salt, j.nextSequence(), data[at:])
		if !ok {
			if next := laterBatch(j.salt, j.sequence, data[at:]); next >= 0 {
				return 0, &CorruptionError{File: name, Offset: int64(at), Detail: fmt.Sprintf(
					"damaged batch before a whole one at offset %d", at+next)}
			}
			return at, nil
		}
		j.sequence = binary.LittleEndian.Uint64(data[at+12:])
		if err := j.replay(name, at, b, c); err != nil {
			return 0, err
		}
		at += size
	}
	return at, nil
}

// nextSequence is the sequence number expected next, or 0 for any.
func (j *Journal) nextSequence() uint64 {
	if j.sequence == 0 {
		return 0
	}
	return j.sequence + 1
}

func (j *Journal) replay(name string, at int, b batch, c *RecoveredState) error {
	if b.Identity != "" {
		// A segment begins with every entry behind the snapshot that it was made
		// for, so it replaces what earlier segments said.
		c.Identity, c.Entries = b.Identity, nil
		j.salt = xxhash.Sum64String(b.Identity)
	}
	if b.Ballot != nil {
		c.HardState = *b.Ballot
	}
	if b.CutFrom > 0 {
		for len(c.Entries) > 0 && c.Entries[len(c.Entries)-1].Index >= b.CutFrom {
			c.Entries = c.Entries[:len(c.Entries)-1]
		}
	}
	for _, e := range b.Entries {
		// The snapshot covers what lies below it. There may be gaps, since the
		// installation of a snapshot that lies ahead of all entries can be
		// interrupted before its own segment begins.
		if e.Index <= c.Snapshot.Index {
			continue
		}
		if len(c.Entries) > 0 && e.Index != c.Entries[len(c.Entries)-1].Index+1 {
			return &CorruptionError{File: name, Offset: int64(at), Detail: fmt.Sprintf("entry %d is out of order", e.Index)}
		}
		c.Entries = append(c.Entries, e)
	}
	return nil
}

// LatestSnapshot reads the newest snapshot from the disk.
func (j *Journal) LatestSnapshot() (s Snapshot, err error) {
	defer func() { err = eris.Wrap(err, "read snapshot") }()
	names, err := j.disk.List()
	if err != nil {
		return Snapshot{}, err
	}
	var c RecoveredState
	if err := j.readSnapshot(names, &c); err != nil {
		return Snapshot{}, err
	}
	return c.Snapshot, nil
}

// Identity returns the folder's identity.
func (j *Journal) Identity() string { return j.identity }

// SizeBytes returns the length of all segments.
func (j *Journal) SizeBytes() int64 { return j.bytes }

// SaveHardState stores the term and vote. It returns once they last.
func (j *Journal) SaveHardState(b HardState) (err error) {
	defer func() { err = eris.Wrap(err, "save ballot") }()
	if err := j.write(batch{Ballot: &b}); err != nil {
		return err
	}
	j.ballot = b
	return nil
}

// Append drops all entries from cutFrom on if it is not 0, then appends entries.
// It returns once they last.
func (j *Journal) Append(cutFrom uint64, entries []Entry) (err error) {
	defer func() { err = eris.Wrap(err, "append entries") }()
	return j.write(batch{CutFrom: cutFrom, Entries: entries})
}

// SaveSnapshot stores a snapshot, then begins a new segment with the entries
// that follow it and deletes what it replaces.
func (j *Journal) SaveSnapshot(s Snapshot, following []Entry) (err error) {
	defer func() { err = eris.Wrap(err, "save snapshot") }()
	if j.failed {
		return ErrFailed
	}
	defer func() { j.failed = j.failed || err != nil }()
	if err := j.writeSnapshot(s); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return err
	}
	old := j.segments
	j.segments, j.bytes = nil, 0
	if err := j.startSegment(following); err != nil {
		return err
	}
	return j.removeOld(old, s.Index)
}

func (j *Journal) writeSnapshot(s Snapshot) error {
	_ = j.disk.Remove(temporary)
	file, err := j.disk.Create(temporary)
	if err != nil {
		return err
	}
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := j.disk.Rename(temporary, snapshotName(s.Index)); err != nil {
		return err
	}
	return j.disk.SyncDir()
}

func (j *Journal) removeOld(segments []string, index uint64) error {
	for _, name := range segments {
		if err := j.disk.Remove(name); err != nil {
			return err
		}
	}
	names, err := j.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name != snapshotName(index) {
			if err := j.disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return j.disk.SyncDir()
}

// startSegment begins a segment with identity, ballot and entries.
func (j *Journal) startSegment(entries []Entry) error {
	name := fmt.Sprintf("%s%020d", segmentPrefix, j.sequence+1)
	file, err := j.disk.Create(name)
	if err != nil {
		return err
	}
	j.file = file
	j.segments = append(j.segments, name)
	ballot := j.ballot
	if err := j.write(batch{Identity: j.identity, Ballot: &ballot, Entries: entries}); err != nil {
		return err
	}
	return j.disk.SyncDir()
}

// write appends one batch and syncs it. After a failure the journal takes no
// more, since what lies on disk is unknown.
func (j *Journal) write(b batch) error {
	if j.failed {
		return ErrFailed
	}
	data, err := encodeBatch(j.salt, j.sequence+1, b)
	if err != nil {
		return err
	}
	if _, err := j.file.Write(data); err != nil {
		j.failed = true
		return err
	}
	if err := j.file.Sync(); err != nil {
		j.failed = true
		return err
	}
	j.sequence++
	j.bytes += int64(len(data))
	return nil
}

// Close closes the last segment.
func (j *Journal) Close() error {
	j.failed = true
	return j.file.Close()
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

func encodeSnapshot(s Snapshot) ([]byte, error) {
	payload, err := cbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	sum := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoli))
	return append(sum, payload...), nil
}

func decodeSnapshot(data []byte) (Snapshot, bool) {
	var s Snapshot
	if len(data) < 4 || binary.LittleEndian.Uint32(data) != crc32.Checksum(data[4:], castagnoli) {
		return s, false
	}
	return s, cbor.Unmarshal(data[4:], &s) == nil
}
