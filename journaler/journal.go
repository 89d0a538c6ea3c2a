package journaler

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"slices"
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

// ErrClosed is returned by every write to a journal that was closed.
var ErrClosed = errors.New("journal is closed")

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
//
// A write that fails, for example because the disk is full, changes nothing: the journal
// remains usable, and holds what the writes before have stored. See [Journal.Append].
type Journal struct {
	disk         FileSystem
	identity     string
	identityHash uint64
	hardState    HardState
	sequence     uint64 // of the last batch, 0 before the first
	// file is the open segment. Its first sizeBytes bytes are stored; if damaged is set, bytes
	// of a failed write may follow.
	file      File
	segment   string
	sizeBytes int64
	damaged   bool
	closed    bool
	// obsolete lists files that hold nothing of the log and are still to be removed.
	obsolete []string
}

// Open recovers the state from a data directory and opens its journal for appending.
// An empty directory gets a new identity. Damage that an interrupted write cannot have
// caused is reported as a [CorruptionError].
func Open(disk FileSystem) (j *Journal, state RecoveredState, err error) {
	defer func() { err = eris.Wrap(err, "open journal") }()
	j = &Journal{disk: disk}
	// The files that are found must be there after a crash, too: a snapshot whose name was not
	// synced could vanish after the log has gone on from it.
	if err := disk.SyncDir(); err != nil {
		return nil, RecoveredState{}, err
	}
	names, err := disk.List()
	if err != nil {
		return nil, RecoveredState{}, err
	}
	if err := j.readLatestSnapshot(names, &state); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := j.readSegments(names, &state); err != nil {
		return nil, RecoveredState{}, err
	}
	if state.Identity == "" && state.Snapshot.Index > 0 {
		return nil, RecoveredState{}, &CorruptionError{File: snapshotName(state.Snapshot.Index), Detail: "there is a snapshot and no segment"}
	}
	if state.Identity == "" {
		return j.createFirstSegment(state)
	}
	j.identity, j.hardState = state.Identity, state.HardState
	return j, state, j.reopenSegment()
}

// createFirstSegment assigns an identity to a directory without one and creates its
// first segment.
func (j *Journal) createFirstSegment(state RecoveredState) (*Journal, RecoveredState, error) {
	j.identity = uuid.NewString()
	j.identityHash = xxhash.Sum64String(j.identity)
	state.Identity = j.identity
	return j, state, j.startSegment(nil)
}

// Identity returns the data directory's identity.
func (j *Journal) Identity() string { return j.identity }

// SizeBytes returns the size of the open segment in bytes.
func (j *Journal) SizeBytes() int64 { return j.sizeBytes }

// SaveHardState stores the term and vote. They are durable when it returns nil. For errors
// see [Journal.Append].
func (j *Journal) SaveHardState(h HardState) (err error) {
	defer func() { err = eris.Wrap(err, "save ballot") }()
	if err := j.write(batch{HardState: &h}); err != nil {
		return err
	}
	j.hardState = h
	return nil
}

// Append removes all entries from truncateFrom on, unless it is 0, and appends
// entries. The change is durable when it returns nil. After an error the journal is as
// before, and the change may be tried again; only if the process ends before the next
// successful write, the journal may be recovered with the change.
func (j *Journal) Append(truncateFrom uint64, entries []Entry) (err error) {
	defer func() { err = eris.Wrap(err, "append entries") }()
	return j.write(batch{TruncateFrom: truncateFrom, Entries: entries})
}

// SaveSnapshot stores a snapshot, starts a new segment with the entries that follow
// it, and removes the segments and snapshots that these supersede. After an error the journal
// goes on with the segment that it had; the snapshot may be stored nevertheless. Files that
// cannot be removed are no error, see [Journal.ObsoleteFiles].
func (j *Journal) SaveSnapshot(s Snapshot, following []Entry) (err error) {
	defer func() { err = eris.Wrap(err, "save snapshot") }()
	// A segment that is followed by another one must not end with a damaged batch.
	if err := j.repair(); err != nil {
		return err
	}
	if err := j.writeSnapshot(s); err != nil {
		return err
	}
	superseded, former := j.segment, j.file
	if err := j.startSegment(following); err != nil {
		return err
	}
	_ = former.Close()
	j.obsolete = append(j.obsolete, superseded)
	j.keep(snapshotName(s.Index))
	j.listOldSnapshots(s.Index)
	j.removeObsolete()
	return nil
}

func (j *Journal) writeSnapshot(s Snapshot) (err error) {
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	if err := j.removeIfExists(temporaryName); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			// The part that was written would take room that a full disk lacks.
			_ = j.disk.Remove(temporaryName)
		}
	}()
	if err := j.writeFile(temporaryName, data); err != nil {
		return err
	}
	if err := j.disk.Rename(temporaryName, snapshotName(s.Index)); err != nil {
		return err
	}
	return j.disk.SyncDir()
}

// writeFile creates a file with synced contents.
func (j *Journal) writeFile(name string, data []byte) error {
	file, err := j.disk.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// ObsoleteFiles returns the number of files that hold nothing of the log and could not be
// removed yet. The next snapshot tries again.
func (j *Journal) ObsoleteFiles() int { return len(j.obsolete) }

// listOldSnapshots adds all snapshots but the one at an index to the obsolete files.
func (j *Journal) listOldSnapshots(index uint64) {
	names, err := j.disk.List()
	if err != nil {
		// The next snapshot lists them.
		return
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name != snapshotName(index) && !slices.Contains(j.obsolete, name) {
			j.obsolete = append(j.obsolete, name)
		}
	}
}

// keep takes a file that is in use again from the obsolete files.
func (j *Journal) keep(name string) {
	j.obsolete = slices.DeleteFunc(j.obsolete, func(other string) bool { return other == name })
}

func (j *Journal) removeIfExists(name string) error {
	if err := j.disk.Remove(name); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// removeObsolete removes the obsolete files as far as the disk permits it.
func (j *Journal) removeObsolete() {
	var failed []string
	for _, name := range j.obsolete {
		if j.removeIfExists(name) != nil {
			failed = append(failed, name)
		}
	}
	if err := j.disk.SyncDir(); err != nil {
		// Files whose removal is lost in a crash are superseded when the journal is opened.
		return
	}
	j.obsolete = failed
}

// startSegment creates a segment whose first batch holds the identity, the hard state
// and entries, and makes it the open one. After an error the former segment remains open.
func (j *Journal) startSegment(entries []Entry) (err error) {
	hardState := j.hardState
	data, err := encodeBatch(j.identityHash, j.sequence+1, batch{Identity: j.identity, HardState: &hardState, Entries: entries})
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%020d", segmentPrefix, j.sequence+1)
	// A start that failed may have left a file with this name.
	if err := j.removeIfExists(name); err != nil {
		return err
	}
	file, err := j.disk.Create(name)
	if err != nil {
		return err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = j.disk.SyncDir()
	}
	if err != nil {
		_ = file.Close()
		if j.disk.Remove(name) != nil && !slices.Contains(j.obsolete, name) {
			j.obsolete = append(j.obsolete, name)
		}
		return err
	}
	j.keep(name)
	j.file, j.segment, j.sizeBytes = file, name, int64(len(data))
	j.sequence++
	return nil
}

// write appends one batch and syncs it.
func (j *Journal) write(b batch) error {
	if err := j.repair(); err != nil {
		return err
	}
	data, err := encodeBatch(j.identityHash, j.sequence+1, b)
	if err != nil {
		return err
	}
	if _, err = j.file.Write(data); err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		j.damaged = true
		// What was written is removed at once if the disk permits it, or by the next write.
		_ = j.repair()
		return err
	}
	j.sequence++
	j.sizeBytes += int64(len(data))
	return nil
}

// repair removes what a failed write may have left at the end of the open segment.
func (j *Journal) repair() error {
	if j.closed {
		return ErrClosed
	}
	if !j.damaged {
		return nil
	}
	_ = j.file.Close()
	return j.reopenSegment()
}

// reopenSegment opens the last segment for appending after its stored bytes. It truncates
// what follows them: after a failed sync the kernel may report later syncs as successful
// without storing the bytes, so they must be written anew.
func (j *Journal) reopenSegment() error {
	j.damaged = true
	file, err := j.disk.OpenAppend(j.segment, j.sizeBytes)
	if err != nil {
		return err
	}
	j.file = file
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	j.damaged = false
	return nil
}

// Close closes the open segment. Later writes fail with [ErrClosed].
func (j *Journal) Close() error {
	j.closed = true
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
