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
	temporaryName  = "temporary"
)

// ErrFailed is returned by every write after a write or sync failed. The contents of
// the disk are then unknown, so the replica must stop.
var ErrFailed = errors.New("journal failed earlier")

// CorruptionError reports damage that an interrupted write cannot have caused, such
// as a damaged batch before an intact one.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

// Snapshot is the state after all entries up to Index, and replaces them.
type Snapshot struct {
	Index     uint64 `cbor:"1,keyasint"`
	Term      uint64 `cbor:"2,keyasint"`
	LogMillis int64  `cbor:"3,keyasint"`
	// Data is the encoded state and Membership the encoded membership at Index.
	Data       []byte `cbor:"4,keyasint"`
	Membership []byte `cbor:"5,keyasint"`
}

// RecoveredState is the state recovered from a journal when it is opened.
type RecoveredState struct {
	Identity  string
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// TruncatedBytes is the length of the torn tail that was truncated.
	TruncatedBytes int64
}

// Journal is the open journal of a data directory. It is not safe for concurrent use.
type Journal struct {
	disk         FileSystem
	identity     string
	identityHash uint64
	hardState    HardState
	sequence     uint64 // of the last batch, 0 before the first
	file         File
	segments     []string
	sizeBytes    int64
	failed       bool
}

// Open recovers the state from a data directory and opens its journal for appending.
// An empty directory gets a new identity. Damage that an interrupted write cannot have
// caused is reported as a [CorruptionError].
func Open(disk FileSystem) (j *Journal, state RecoveredState, err error) {
	defer func() { err = eris.Wrap(err, "open journal") }()
	j = &Journal{disk: disk}
	names, err := disk.List()
	if err != nil {
		return nil, RecoveredState{}, err
	}
	if err := j.readLatestSnapshot(names, &state); err != nil {
		return nil, RecoveredState{}, err
	}
	size, err := j.readSegments(names, &state)
	if err != nil {
		return nil, RecoveredState{}, err
	}
	if state.Identity == "" && state.Snapshot.Index > 0 {
		return nil, RecoveredState{}, &CorruptionError{File: snapshotName(state.Snapshot.Index), Detail: "there is a snapshot and no segment"}
	}
	if state.Identity == "" {
		return j.createFirstSegment(state)
	}
	j.identity, j.hardState = state.Identity, state.HardState
	last := j.segments[len(j.segments)-1]
	j.file, err = disk.OpenAppend(last, size)
	if err != nil {
		return nil, RecoveredState{}, err
	}
	return j, state, j.file.Sync()
}

// createFirstSegment assigns an identity to a directory without one and creates its
// first segment. It removes a segment whose creation was interrupted.
func (j *Journal) createFirstSegment(state RecoveredState) (*Journal, RecoveredState, error) {
	j.identity = uuid.NewString()
	j.identityHash = xxhash.Sum64String(j.identity)
	for _, name := range j.segments {
		if err := j.disk.Remove(name); err != nil {
			return nil, RecoveredState{}, err
		}
	}
	j.segments = nil
	state.Identity = j.identity
	return j, state, j.startSegment(nil)
}

// readLatestSnapshot sets state.Snapshot to the snapshot with the highest index.
func (j *Journal) readLatestSnapshot(names []string, state *RecoveredState) error {
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
		if s.Index >= state.Snapshot.Index {
			state.Snapshot = s
		}
	}
	return nil
}

// readSegments reads all segments and returns the offset in the last one at which
// appending continues.
func (j *Journal) readSegments(names []string, state *RecoveredState) (int64, error) {
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
		intact, err := j.readSegment(name, data, state)
		if err != nil {
			return 0, err
		}
		sizes[i] = int64(intact)
		torn := len(data) - intact
		if torn > 0 && i < len(j.segments)-1 {
			return 0, &CorruptionError{File: name, Offset: sizes[i], Detail: "damaged batch before a later segment"}
		}
		state.TruncatedBytes += int64(torn)
		j.sizeBytes += sizes[i]
	}
	if err := j.checkContiguous(state); err != nil {
		return 0, err
	}
	return j.removeEmptySegment(sizes)
}

// removeEmptySegment removes the last segment if its first batch was torn, unless it
// is the only one. It returns the size of the segment to which batches are appended.
func (j *Journal) removeEmptySegment(sizes []int64) (int64, error) {
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
	// The removal must be durable: if the file reappeared, a later torn tail of the
	// previous segment would be taken for corruption before a later segment.
	return sizes[last-1], j.disk.SyncDir()
}

// checkContiguous returns an error if entries are missing after the snapshot.
func (j *Journal) checkContiguous(state *RecoveredState) error {
	if len(state.Entries) > 0 && state.Entries[0].Index > state.Snapshot.Index+1 {
		return &CorruptionError{File: j.segments[0], Detail: fmt.Sprintf(
			"entries begin at %d, the snapshot ends at %d", state.Entries[0].Index, state.Snapshot.Index)}
	}
	return nil
}

// readSegment replays the batches of a segment and returns the length of its intact
// part.
func (j *Journal) readSegment(name string, data []byte, state *RecoveredState) (int, error) {
	offset := 0
	for offset < len(data) {
		b, size, ok := decodeBatch(j.identityHash, j.expectedSequence(), data[offset:])
		if !ok {
			if next := findLaterBatch(j.identityHash, j.sequence, data[offset:]); next >= 0 {
				return 0, &CorruptionError{File: name, Offset: int64(offset), Detail: fmt.Sprintf(
					"damaged batch before a whole one at offset %d", offset+next)}
			}
			return offset, nil
		}
		j.sequence = binary.LittleEndian.Uint64(data[offset+12:])
		if err := j.replay(name, offset, b, state); err != nil {
			return 0, err
		}
		offset += size
	}
	return offset, nil
}

// expectedSequence returns the sequence number that the next batch must have, or 0 for
// any.
func (j *Journal) expectedSequence() uint64 {
	if j.sequence == 0 {
		return 0
	}
	return j.sequence + 1
}

// replay applies a batch that was read at an offset of a segment to the recovered
// state.
func (j *Journal) replay(name string, offset int, b batch, state *RecoveredState) error {
	if b.Identity != "" {
		// A segment starts with all entries after the snapshot for which it was created,
		// so it supersedes the entries of earlier segments.
		state.Identity, state.Entries = b.Identity, nil
		j.identityHash = xxhash.Sum64String(b.Identity)
	}
	if b.HardState != nil {
		state.HardState = *b.HardState
	}
	if b.TruncateFrom > 0 {
		for len(state.Entries) > 0 && state.Entries[len(state.Entries)-1].Index >= b.TruncateFrom {
			state.Entries = state.Entries[:len(state.Entries)-1]
		}
	}
	for _, e := range b.Entries {
		// The snapshot covers entries up to its index, so they are skipped. All entries
		// may end before that index: the installation of a snapshot that is ahead of the
		// log can be interrupted before its segment is created.
		if e.Index <= state.Snapshot.Index {
			continue
		}
		if len(state.Entries) > 0 && e.Index != state.Entries[len(state.Entries)-1].Index+1 {
			return &CorruptionError{File: name, Offset: int64(offset), Detail: fmt.Sprintf("entry %d is out of order", e.Index)}
		}
		state.Entries = append(state.Entries, e)
	}
	return nil
}

// LatestSnapshot reads the latest snapshot from the disk. It returns an empty one if
// there is none.
func (j *Journal) LatestSnapshot() (s Snapshot, err error) {
	defer func() { err = eris.Wrap(err, "read snapshot") }()
	names, err := j.disk.List()
	if err != nil {
		return Snapshot{}, err
	}
	var state RecoveredState
	if err := j.readLatestSnapshot(names, &state); err != nil {
		return Snapshot{}, err
	}
	return state.Snapshot, nil
}

// Identity returns the data directory's identity.
func (j *Journal) Identity() string { return j.identity }

// SizeBytes returns the total size of all segments in bytes.
func (j *Journal) SizeBytes() int64 { return j.sizeBytes }

// SaveHardState stores the term and vote. They are durable when it returns nil.
func (j *Journal) SaveHardState(h HardState) (err error) {
	defer func() { err = eris.Wrap(err, "save ballot") }()
	if err := j.write(batch{HardState: &h}); err != nil {
		return err
	}
	j.hardState = h
	return nil
}

// Append removes all entries from truncateFrom on, unless it is 0, and appends
// entries. The change is durable when it returns nil.
func (j *Journal) Append(truncateFrom uint64, entries []Entry) (err error) {
	defer func() { err = eris.Wrap(err, "append entries") }()
	return j.write(batch{TruncateFrom: truncateFrom, Entries: entries})
}

// SaveSnapshot stores a snapshot, starts a new segment with the entries that follow
// it, and removes the segments and snapshots that these supersede.
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
	j.segments, j.sizeBytes = nil, 0
	if err := j.startSegment(following); err != nil {
		return err
	}
	return j.removeSuperseded(old, s.Index)
}

func (j *Journal) writeSnapshot(s Snapshot) error {
	_ = j.disk.Remove(temporaryName)
	file, err := j.disk.Create(temporaryName)
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
	if err := j.disk.Rename(temporaryName, snapshotName(s.Index)); err != nil {
		return err
	}
	return j.disk.SyncDir()
}

func (j *Journal) removeSuperseded(segments []string, index uint64) error {
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

// startSegment creates a segment whose first batch holds the identity, the hard state
// and entries.
func (j *Journal) startSegment(entries []Entry) error {
	name := fmt.Sprintf("%s%020d", segmentPrefix, j.sequence+1)
	file, err := j.disk.Create(name)
	if err != nil {
		return err
	}
	j.file = file
	j.segments = append(j.segments, name)
	hardState := j.hardState
	if err := j.write(batch{Identity: j.identity, HardState: &hardState, Entries: entries}); err != nil {
		return err
	}
	return j.disk.SyncDir()
}

// write appends one batch and syncs it. After a failure the journal accepts no
// further batches, because the contents of the disk are unknown.
func (j *Journal) write(b batch) error {
	if j.failed {
		return ErrFailed
	}
	data, err := encodeBatch(j.identityHash, j.sequence+1, b)
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
	j.sizeBytes += int64(len(data))
	return nil
}

// Close closes the last segment. Later writes fail with [ErrFailed].
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
	sum := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoliTable))
	return append(sum, payload...), nil
}

func decodeSnapshot(data []byte) (Snapshot, bool) {
	var s Snapshot
	if len(data) < 4 || binary.LittleEndian.Uint32(data) != crc32.Checksum(data[4:], castagnoliTable) {
		return s, false
	}
	return s, cbor.Unmarshal(data[4:], &s) == nil
}
