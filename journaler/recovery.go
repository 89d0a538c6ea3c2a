package journaler

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

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

// readSegments reads all segments and determines the one to which batches are appended.
//
// A segment begins with everything that follows the snapshot for which it was created, so it
// supersedes those before it; their removal may have failed or been lost. A segment without
// an intact first batch, or whose first batch is not newer than the segment before it, is
// left from a start that failed, after which the journal went on with the segment before it.
func (j *Journal) readSegments(names []string, state *RecoveredState) error {
	tornBytes := int64(0)
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		data, err := j.disk.ReadFile(name)
		if err != nil {
			return err
		}
		first, isStart := j.segmentStart(data)
		if !isStart {
			if err := j.checkAbandoned(name, data); err != nil {
				return err
			}
			j.obsolete = append(j.obsolete, name)
			state.TruncatedBytes += int64(len(data))
			continue
		}
		if tornBytes > 0 && first != j.sequence+1 {
			return &CorruptionError{File: j.segment, Offset: j.sizeBytes, Detail: "damaged batch before a later segment"}
		}
		if j.segment != "" {
			j.obsolete = append(j.obsolete, j.segment)
		}
		j.segment, j.sequence = name, first-1
		intact, err := j.readSegment(name, data, state)
		if err != nil {
			return err
		}
		j.sizeBytes = int64(intact)
		tornBytes = int64(len(data) - intact)
	}
	state.TruncatedBytes += tornBytes
	return j.checkContiguous(state)
}

// segmentStart returns the sequence number of a segment's first batch, and whether the segment
// supersedes those that were read before.
func (j *Journal) segmentStart(data []byte) (sequence uint64, ok bool) {
	b, _, ok := decodeBatch(j.identityHash, 0, data)
	if !ok || b.Identity == "" {
		return 0, false
	}
	sequence = binary.LittleEndian.Uint64(data[12:])
	return sequence, sequence > j.sequence
}

// checkAbandoned returns an error if a segment without an intact first batch holds later ones.
func (j *Journal) checkAbandoned(name string, data []byte) error {
	if next := findLaterBatch(j.identityHash, j.sequence, data); next >= 0 {
		return &CorruptionError{File: name, Detail: fmt.Sprintf("damaged batch before a whole one at offset %d", next)}
	}
	return nil
}

// checkContiguous returns an error if entries are missing after the snapshot.
func (j *Journal) checkContiguous(state *RecoveredState) error {
	if len(state.Entries) > 0 && state.Entries[0].Index > state.Snapshot.Index+1 {
		return &CorruptionError{File: j.segment, Detail: fmt.Sprintf(
			"entries begin at %d, the snapshot ends at %d", state.Entries[0].Index, state.Snapshot.Index)}
	}
	return nil
}

// readSegment replays the batches of a segment and returns the length of its intact
// part.
func (j *Journal) readSegment(name string, data []byte, state *RecoveredState) (int, error) {
	offset := 0
	for offset < len(data) {
		b, size, ok := decodeBatch(j.identityHash, j.sequence+1, data[offset:])
		if !ok {
			if next := findLaterBatch(j.identityHash, j.sequence, data[offset:]); next >= 0 {
				return 0, &CorruptionError{File: name, Offset: int64(offset), Detail: fmt.Sprintf(
					"damaged batch before a whole one at offset %d", offset+next)}
			}
			return offset, nil
		}
		j.sequence++
		if err := j.replay(name, offset, b, state); err != nil {
			return 0, err
		}
		offset += size
	}
	return offset, nil
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
