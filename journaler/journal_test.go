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

// fullDiskSteps are the actions of [TestFullDiskAtEachStep], each with the state after it.
func fullDiskSteps(j func() *journaler.Journal) []struct {
	next model
	run  func() error
} {
	entries := func(from, to uint64) (all []journaler.Entry) {
		for i := from; i <= to; i++ {
			all = append(all, journaler.Entry{Index: i, Term: 1, Command: []byte(fmt.Sprint("command ", i))})
		}
		return all
	}
	hard := journaler.HardState{Term: 2, Vote: "x"}
	return []struct {
		next model
		run  func() error
	}{
		{model{entries: entries(1, 3)}, func() error { return j().Append(0, entries(1, 3)) }},
		{model{entries: entries(1, 3), hardState: hard}, func() error { return j().SaveHardState(hard) }},
		{model{entries: entries(1, 5), hardState: hard}, func() error { return j().Append(3, entries(3, 5)) }},
		{model{entries: entries(1, 5), hardState: hard, snapshotIndex: 4}, func() error {
			return j().SaveSnapshot(journaler.Snapshot{Index: 4, Data: []byte("state")}, entries(5, 5))
		}},
		{model{entries: entries(1, 7), hardState: hard, snapshotIndex: 4}, func() error { return j().Append(0, entries(6, 7)) }},
		{model{hardState: hard, snapshotIndex: 9}, func() error {
			return j().SaveSnapshot(journaler.Snapshot{Index: 9, Data: []byte("state")}, nil)
		}},
		{model{entries: entries(10, 11), hardState: hard, snapshotIndex: 9}, func() error { return j().Append(0, entries(10, 11)) }},
		{model{entries: entries(10, 11), hardState: hard, snapshotIndex: 11}, func() error {
			return j().SaveSnapshot(journaler.Snapshot{Index: 11, Data: []byte("state")}, nil)
		}},
	}
}

// TestFullDiskAtEachStep fills the disk before each operation of the journal: its first start,
// batches, snapshots, new segments, removals and opening it anew. It guards against a journal that
// accepts nothing more, cannot be opened or has lost something once there is room again.
func TestFullDiskAtEachStep(t *testing.T) {
	const operations = 60 // more than all actions together need
	for _, fault := range emulator.DiskFaults {
		for n := range operations {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s refused from operation %d on, restarted %t", fault, n, restart), func(t *testing.T) {
					playFullDisk(t, fault, n, restart)
				})
			}
		}
	}
}

// playFullDisk performs all steps on a disk that runs out of room after some operations. A step
// that fails is tried once more, with a restart in between if restart is set, and then with room
// again. After each step the machine crashes and the journal is opened anew.
func playFullDisk(t *testing.T, fault emulator.DiskFault, operations int, restart bool) {
	m := &journalMachine{disk: emulator.NewDisk(), full: true}
	random := rand.New(rand.NewPCG(1, uint64(operations)))
	m.disk.SetFault(fault, operations)
	m.reopen(t)
	for _, step := range fullDiskSteps(func() *journaler.Journal { return m.journal }) {
		for range 2 {
			if m.current.equal(step.next) {
				break // A restart has recovered the step that failed.
			}
			m.perform(t, step.next, step.run)
			if restart && m.full && len(m.afterFailures) > 0 {
				m.reopen(t)
			}
		}
		if !m.current.equal(step.next) {
			m.MakeRoom()
			m.perform(t, step.next, step.run)
		}
		require.True(t, m.current.equal(step.next))
		if !m.full {
			m.disk.Crash(random)
			m.reopen(t)
		}
	}
	m.MakeRoom()
	last := m.current.lastIndex()
	require.NoError(t, m.journal.SaveSnapshot(journaler.Snapshot{Index: last, Data: []byte("state")}, nil))
	require.Zero(t, m.journal.ObsoleteFiles())
	names, err := m.disk.List()
	require.NoError(t, err)
	require.Len(t, names, 2, "one segment and one snapshot remain")
}

// TestFailedSyncIsNotTrusted guards against the loss of confirmed writes in a crash, after a sync was
// refused and the journal was opened anew: what the sync concerned can be read, but later syncs
// do not store it.
func TestFailedSyncIsNotTrusted(t *testing.T) {
	for seed := range uint64(20) {
		disk := emulator.NewDisk()
		j, _, err := journaler.Open(disk)
		require.NoError(t, err)
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: 1, Term: 1}}))
		disk.SetFault(emulator.DiskFaultSyncs, 0)
		require.ErrorIs(t, j.Append(0, []journaler.Entry{{Index: 2, Term: 1}}), emulator.ErrDiskFull)
		disk.SetFault(emulator.DiskFaultNone, 0)
		j, recovered, err := journaler.Open(disk)
		require.NoError(t, err)
		next := recovered.Entries[len(recovered.Entries)-1].Index + 1
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: next, Term: 2}}))
		disk.Crash(rand.New(rand.NewPCG(seed, 1)))
		_, recovered, err = journaler.Open(disk)
		require.NoError(t, err)
		require.Equal(t, next, recovered.Entries[len(recovered.Entries)-1].Index)
	}
}

// TestAbandonedSegmentIsIgnored guards against the loss of all that was stored after the start of a
// segment failed, if a crash brings its file back.
func TestAbandonedSegmentIsIgnored(t *testing.T) {
	reappeared := 0
	for seed := range uint64(20) {
		disk := emulator.NewDisk()
		j, _, err := journaler.Open(disk)
		require.NoError(t, err)
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: 1, Term: 1}}))
		// Ten operations store the snapshot and write the segment, the next one syncs its name.
		disk.SetFault(emulator.DiskFaultSyncs, 10)
		require.ErrorIs(t, j.SaveSnapshot(journaler.Snapshot{Index: 1, Data: []byte("state")}, nil), emulator.ErrDiskFull)
		disk.SetFault(emulator.DiskFaultNone, 0)
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: 2, Term: 1}}))
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: 3, Term: 1}}))
		disk.Crash(rand.New(rand.NewPCG(seed, 1)))
		names, err := disk.List()
		require.NoError(t, err)
		if len(names) > 2 {
			reappeared++
		}
		_, recovered, err := journaler.Open(disk)
		require.NoError(t, err)
		require.Equal(t, uint64(3), recovered.Entries[len(recovered.Entries)-1].Index)
	}
	require.Positive(t, reappeared)
}

// TestSnapshotInUseIsNotRemoved guards against the removal of a snapshot that could not be removed
// when an older one superseded it, and that is in use again.
func TestSnapshotInUseIsNotRemoved(t *testing.T) {
	disk := emulator.NewDisk()
	j, _, err := journaler.Open(disk)
	require.NoError(t, err)
	save := func(index uint64, fault emulator.DiskFault, operations int) error {
		disk.SetFault(fault, operations)
		defer disk.SetFault(emulator.DiskFaultNone, 0)
		return j.SaveSnapshot(journaler.Snapshot{Index: index, Data: []byte("state")}, nil)
	}
	// The first six operations store the snapshot: those up to the segment that follows it.
	require.Error(t, save(100, emulator.DiskFaultCreation, 6))
	require.NoError(t, save(50, emulator.DiskFaultRemoval, 11))
	require.Positive(t, j.ObsoleteFiles())
	require.NoError(t, save(100, emulator.DiskFaultNone, 0))
	_, recovered, err := journaler.Open(disk)
	require.NoError(t, err)
	require.Equal(t, uint64(100), recovered.Snapshot.Index)
}

// TestSupersededSegmentsAreNoDamage guards against a journal that cannot be opened, or has lost its
// newest segment, because the removal of older segments failed or was lost in a crash.
func TestSupersededSegmentsAreNoDamage(t *testing.T) {
	disk := emulator.NewDisk()
	j, _, err := journaler.Open(disk)
	require.NoError(t, err)
	disk.SetFault(emulator.DiskFaultRemoval, 0)
	for i := uint64(1); i <= 4; i++ {
		require.NoError(t, j.Append(0, []journaler.Entry{{Index: i, Term: 1, Command: []byte("command")}}))
		require.NoError(t, j.SaveHardState(journaler.HardState{Term: i}))
		if i < 4 {
			err := j.SaveSnapshot(journaler.Snapshot{Index: i, Data: []byte("state")}, nil)
			require.ErrorIs(t, err, emulator.ErrDiskFull, "the snapshot cannot be renamed")
			disk.SetFault(emulator.DiskFaultNone, 0)
			// The operations up to the new segment succeed, the removals after it do not.
			disk.SetFault(emulator.DiskFaultRemoval, 11)
			require.NoError(t, j.SaveSnapshot(journaler.Snapshot{Index: i, Data: []byte("state")}, nil))
		}
	}
	disk.SetFault(emulator.DiskFaultNone, 0)
	names, err := disk.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 4)
	// One of the older segments is missing, as after removals of which a crash lost some.
	require.NoError(t, disk.Remove(names[1]))
	_, recovered, err := journaler.Open(disk)
	require.NoError(t, err)
	require.Equal(t, uint64(3), recovered.Snapshot.Index)
	require.Equal(t, uint64(4), recovered.HardState.Term)
	require.Len(t, recovered.Entries, 1)
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
