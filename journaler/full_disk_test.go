package journaler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/journaler"
)

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
