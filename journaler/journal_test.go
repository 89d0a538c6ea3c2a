package journaler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/journaler"
)

// model is the expected content of a journal: all confirmed writes.
type model struct {
	hardState     journaler.HardState
	snapshotIndex uint64
	entries       []journaler.Entry // from index 1 on, or after an installed snapshot
}

func (m model) entriesAfter(index uint64) []journaler.Entry {
	var entries []journaler.Entry
	for _, e := range m.entries {
		if e.Index > index {
			entries = append(entries, e)
		}
	}
	return entries
}

// equal reports whether a journal in one state has the same contents as in the other.
func (m model) equal(other model) bool {
	return other.check(journaler.RecoveredState{
		HardState: m.hardState, Snapshot: journaler.Snapshot{Index: m.snapshotIndex}, Entries: m.entriesAfter(m.snapshotIndex),
	}) == nil
}

func (m model) lastIndex() uint64 {
	if len(m.entries) == 0 {
		return m.snapshotIndex
	}
	return m.entries[len(m.entries)-1].Index
}

// check returns an error if a recovered state differs from the model.
func (m model) check(recovered journaler.RecoveredState) error {
	if recovered.HardState != m.hardState {
		return fmt.Errorf("hard state %v, expected %v", recovered.HardState, m.hardState)
	}
	if recovered.Snapshot.Index != m.snapshotIndex {
		return fmt.Errorf("snapshot at %d, expected %d", recovered.Snapshot.Index, m.snapshotIndex)
	}
	want := m.entriesAfter(m.snapshotIndex)
	if len(recovered.Entries) != len(want) {
		return fmt.Errorf("%d entries, expected %d", len(recovered.Entries), len(want))
	}
	for i := range want {
		if want[i].Index != recovered.Entries[i].Index || want[i].Term != recovered.Entries[i].Term ||
			string(want[i].Command) != string(recovered.Entries[i].Command) {
			return fmt.Errorf("entry %d differs", want[i].Index)
		}
	}
	return nil
}

// journalMachine drives a journal and its model. Each action computes its resulting state. An
// action that fails changes nothing, but if the journal is opened anew before the next
// successful one, it may hold the state after the action.
type journalMachine struct {
	disk     *emulator.Disk
	journal  *journaler.Journal
	identity string
	current  model
	// afterFailures holds the states after the actions that failed since the last success.
	afterFailures []model
	// storedSnapshots holds the indexes of snapshots that may be stored although saving them
	// failed, or that may not be removed.
	storedSnapshots []uint64
	// failing is set once the disk may fail until the next crash, full while it may have no room.
	failing, full bool
	term          uint64
}

// perform runs an action that leads to the state next, and checks that it succeeds unless the
// disk fails or is full.
func (m *journalMachine) perform(t require.TestingT, next model, action func() error) {
	err := action()
	m.storedSnapshots = append(m.storedSnapshots, next.snapshotIndex)
	if err == nil {
		m.current, m.afterFailures = next, nil
		return
	}
	require.True(t, m.failing && errors.Is(err, emulator.ErrDiskFailed) || m.full && errors.Is(err, emulator.ErrDiskFull), "%v", err)
	m.afterFailures = append(m.afterFailures, next)
}

func (m *journalMachine) Append(t *rapid.T) {
	next := m.current
	truncateFrom := uint64(0)
	if entries := next.entriesAfter(next.snapshotIndex); len(entries) > 0 && rapid.Bool().Draw(t, "cut") {
		truncateFrom = entries[rapid.IntRange(0, len(entries)-1).Draw(t, "at")].Index
		next.entries = next.entries[:len(next.entries)-int(next.lastIndex()-truncateFrom)-1]
	}
	m.term++
	var added []journaler.Entry
	for range rapid.IntRange(1, 3).Draw(t, "count") {
		index := next.lastIndex() + uint64(len(added)) + 1
		added = append(added, journaler.Entry{Index: index, Term: m.term, Command: []byte(fmt.Sprint(index, m.term))})
	}
	next.entries = append(append([]journaler.Entry(nil), next.entries...), added...)
	m.perform(t, next, func() error { return m.journal.Append(truncateFrom, added) })
}

func (m *journalMachine) Ballot(t *rapid.T) {
	m.term++
	next := m.current
	next.hardState = journaler.HardState{Term: m.term, Vote: "x"}
	m.perform(t, next, func() error { return m.journal.SaveHardState(next.hardState) })
}

func (m *journalMachine) Snapshot(t *rapid.T) {
	if m.current.lastIndex() == m.current.snapshotIndex {
		t.Skip("nothing to snapshot")
	}
	next := m.current
	next.snapshotIndex = uint64(rapid.IntRange(int(m.current.snapshotIndex)+1, int(m.current.lastIndex())).Draw(t, "index"))
	s := journaler.Snapshot{Index: next.snapshotIndex, Data: []byte("state")}
	m.perform(t, next, func() error { return m.journal.SaveSnapshot(s, next.entriesAfter(next.snapshotIndex)) })
}

func (m *journalMachine) Install(t *rapid.T) {
	next := model{hardState: m.current.hardState, snapshotIndex: m.current.lastIndex() + uint64(rapid.IntRange(1, 5).Draw(t, "ahead"))}
	s := journaler.Snapshot{Index: next.snapshotIndex, Data: []byte("state")}
	m.perform(t, next, func() error { return m.journal.SaveSnapshot(s, nil) })
}

func (m *journalMachine) FailSoon(t *rapid.T) {
	m.disk.FailAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
	m.failing = true
}

func (m *journalMachine) Fill(t *rapid.T) {
	m.disk.SetFault(rapid.SampledFrom(emulator.DiskFaults).Draw(t, "fault"), rapid.IntRange(0, 12).Draw(t, "operations"))
	m.full = true
}

func (m *journalMachine) MakeRoom() {
	m.disk.SetFault(emulator.DiskFaultNone, 0)
	m.full = false
}

func (m *journalMachine) Crash(t *rapid.T) {
	seed := rapid.Uint64().Draw(t, "seed")
	m.disk.Crash(rand.New(rand.NewPCG(seed, 1)))
	m.failing = false
	m.reopen(t)
}

// Restart opens the journal anew without a crash of the machine.
func (m *journalMachine) Restart(t *rapid.T) {
	if m.failing {
		t.Skip("the disk may fail")
	}
	m.reopen(t)
}

// reopen opens the journal anew. If the disk is full, the first attempt may fail.
func (m *journalMachine) reopen(t require.TestingT) {
	journal, recovered, err := journaler.Open(m.disk)
	if m.full && err != nil {
		require.ErrorIs(t, err, emulator.ErrDiskFull)
		m.MakeRoom()
		journal, recovered, err = journaler.Open(m.disk)
	}
	require.NoError(t, err)
	if m.identity != "" {
		require.Equal(t, m.identity, recovered.Identity)
	}
	m.identity, m.journal = recovered.Identity, journal
	m.adopt(t, recovered)
}

// adopt checks that a recovered state is the current one or one after a failed action, with any
// of the snapshots that may be stored, and makes it the current one.
func (m *journalMachine) adopt(t require.TestingT, recovered journaler.RecoveredState) {
	require.Contains(t, append(m.storedSnapshots, m.current.snapshotIndex), recovered.Snapshot.Index)
	var errs []error
	for _, state := range append([]model{m.current}, m.afterFailures...) {
		if recovered.Snapshot.Index < state.snapshotIndex {
			continue
		}
		state.entries = state.entriesAfter(recovered.Snapshot.Index)
		state.snapshotIndex = recovered.Snapshot.Index
		err := state.check(recovered)
		if err == nil {
			m.current, m.afterFailures, m.storedSnapshots = state, nil, []uint64{state.snapshotIndex}
			return
		}
		errs = append(errs, err)
	}
	require.NoError(t, errors.Join(append(errs, errors.New("no state fits"))...))
}

// TestJournalKeepsConfirmedWrites compares a journal with a model in memory, on a disk
// that fails, runs out of room, and loses or tears unsynced writes in a crash.
func TestJournalKeepsConfirmedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &journalMachine{disk: emulator.NewDisk()}
		m.reopen(t)
		t.Repeat(map[string]func(*rapid.T){
			"append": m.Append, "ballot": m.Ballot, "snapshot": m.Snapshot,
			"install": m.Install, "fail": m.FailSoon, "crash": m.Crash,
			"fill": m.Fill, "make room": func(*rapid.T) { m.MakeRoom() }, "restart": m.Restart,
		})
	})
}

// newFilledDisk returns a disk whose journal holds the given number of batches of one
// entry each, and the name of its only segment.
func newFilledDisk(t *testing.T, batches int) (*emulator.Disk, string) {
	disk := emulator.NewDisk()
	j, _, err := journaler.Open(disk)
	require.NoError(t, err)
	for i := range batches {
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: uint64(i) + 1, Term: 1, Command: []byte("command")}}))
	}
	names, err := disk.List()
	require.NoError(t, err)
	require.Len(t, names, 1)
	return disk, names[0]
}

// TestOpenReportsDamageBeforeIntactBatch damages a synced batch that intact ones
// follow. It must not be truncated like a torn tail, since that would lose them.
func TestOpenReportsDamageBeforeIntactBatch(t *testing.T) {
	disk, name := newFilledDisk(t, 5)
	disk.CorruptByte(name, 150)
	_, _, err := journaler.Open(disk)
	corruption, ok := errors.AsType[*journaler.CorruptionError](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, name, corruption.File)
	require.Positive(t, corruption.Offset)
	require.Less(t, corruption.Offset, int64(150))
}

// TestOpenTruncatesTornTail damages the last batch, as an interrupted write does.
func TestOpenTruncatesTornTail(t *testing.T) {
	disk, name := newFilledDisk(t, 5)
	data, err := disk.ReadFile(name)
	require.NoError(t, err)
	disk.CorruptByte(name, len(data)-2)
	_, recovered, err := journaler.Open(disk)
	require.NoError(t, err)
	require.Len(t, recovered.Entries, 4)
	require.Positive(t, recovered.TruncatedBytes)
}

func TestErasedDirectoryGetsNewIdentity(t *testing.T) {
	disk, _ := newFilledDisk(t, 2)
	_, before, err := journaler.Open(disk)
	require.NoError(t, err)
	disk.Erase()
	_, after, err := journaler.Open(disk)
	require.NoError(t, err)
	require.NotEqual(t, before.Identity, after.Identity)
	require.Empty(t, after.Entries)
}

// TestJournalInDirectoryIsRecovered writes and recovers a journal in the operating
// system's file system.
func TestJournalInDirectoryIsRecovered(t *testing.T) {
	directory, err := journaler.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	j, _, err := journaler.Open(directory)
	require.NoError(t, err)
	require.NoError(t, j.Append(0, []journaler.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}))
	require.NoError(t, j.SaveSnapshot(journaler.Snapshot{Index: 1, Term: 1, Data: []byte("s")}, []journaler.Entry{{Index: 2, Term: 1}}))
	require.NoError(t, j.Append(2, []journaler.Entry{{Index: 2, Term: 2}}))
	require.NoError(t, j.Close())
	_, recovered, err := journaler.Open(directory)
	require.NoError(t, err)
	require.Equal(t, uint64(1), recovered.Snapshot.Index)
	require.Equal(t, uint64(2), recovered.Entries[0].Term)
}
