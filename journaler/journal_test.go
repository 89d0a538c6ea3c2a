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

// model is what a journal must hold: everything that was confirmed.
type model struct {
	ballot   journaler.HardState
	snapshot uint64
	entries  []journaler.Entry // from index 1 on, or behind an installed snapshot
}

// after returns the entries behind an index.
func (m model) after(index uint64) []journaler.Entry {
	var found []journaler.Entry
	for _, e := range m.entries {
		if e.Index > index {
			found = append(found, e)
		}
	}
	return found
}

func (m model) last() uint64 {
	if len(m.entries) == 0 {
		return m.snapshot
	}
	return m.entries[len(m.entries)-1].Index
}

// holds reports whether what was read is this state.
func (m model) holds(c journaler.RecoveredState) error {
	if c.HardState != m.ballot {
		return fmt.Errorf("ballot %v, expected %v", c.HardState, m.ballot)
	}
	if c.Snapshot.Index != m.snapshot {
		return fmt.Errorf("snapshot at %d, expected %d", c.Snapshot.Index, m.snapshot)
	}
	want := m.after(m.snapshot)
	if len(c.Entries) != len(want) {
		return fmt.Errorf("%d entries, expected %d", len(c.Entries), len(want))
	}
	for i := range want {
		if want[i].Index != c.Entries[i].Index || want[i].Term != c.Entries[i].Term ||
			string(want[i].Command) != string(c.Entries[i].Command) {
			return fmt.Errorf("entry %d differs", want[i].Index)
		}
	}
	return nil
}

// journalMachine drives a journal and its model. Each action works out the state
// that it leads to; if the disk fails in the middle, the journal may hold the
// state before or after.
type journalMachine struct {
	disk     *emulator.Disk
	journal  *journaler.Journal
	identity string
	now      model
	next     *model // set after a failed action
	term     uint64
}

func (m *journalMachine) act(t *rapid.T, next model, do func() error) {
	if m.next != nil {
		require.ErrorIs(t, do(), journaler.ErrFailed)
		return
	}
	if err := do(); err != nil {
		require.ErrorIs(t, err, emulator.ErrDiskFailed)
		m.next = &next
		return
	}
	m.now = next
}

func (m *journalMachine) Append(t *rapid.T) {
	next := m.now
	cutFrom := uint64(0)
	if own := next.after(next.snapshot); len(own) > 0 && rapid.Bool().Draw(t, "cut") {
		cutFrom = own[rapid.IntRange(0, len(own)-1).Draw(t, "at")].Index
		next.entries = next.entries[:len(next.entries)-int(next.last()-cutFrom)-1]
	}
	m.term++
	var added []journaler.Entry
	for range rapid.IntRange(1, 3).Draw(t, "count") {
		index := next.last() + uint64(len(added)) + 1
		added = append(added, journaler.Entry{Index: index, Term: m.term, Command: []byte(fmt.Sprint(index, m.term))})
	}
	next.entries = append(append([]journaler.Entry(nil), next.entries...), added...)
	m.act(t, next, func() error { return m.journal.Append(cutFrom, added) })
}

func (m *journalMachine) Ballot(t *rapid.T) {
	m.term++
	next := m.now
	next.ballot = journaler.HardState{Term: m.term, Vote: "x"}
	m.act(t, next, func() error { return m.journal.SaveHardState(next.ballot) })
}

func (m *journalMachine) Snapshot(t *rapid.T) {
	if m.now.last() == m.now.snapshot {
		t.Skip("nothing to snapshot")
	}
	next := m.now
	next.snapshot = uint64(rapid.IntRange(int(m.now.snapshot)+1, int(m.now.last())).Draw(t, "index"))
	s := journaler.Snapshot{Index: next.snapshot, Data: []byte("state")}
	m.act(t, next, func() error { return m.journal.SaveSnapshot(s, next.after(next.snapshot)) })
}

func (m *journalMachine) Install(t *rapid.T) {
	next := model{ballot: m.now.ballot, snapshot: m.now.last() + uint64(rapid.IntRange(1, 5).Draw(t, "ahead"))}
	s := journaler.Snapshot{Index: next.snapshot, Data: []byte("state")}
	m.act(t, next, func() error { return m.journal.SaveSnapshot(s, nil) })
}

func (m *journalMachine) FailSoon(t *rapid.T) {
	m.disk.FailAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
}

func (m *journalMachine) Crash(t *rapid.T) {
	seed := rapid.Uint64().Draw(t, "seed")
	m.disk.Crash(rand.New(rand.NewPCG(seed, 1)))
	m.reopen(t)
}

func (m *journalMachine) reopen(t *rapid.T) {
	journal, contents, err := journaler.Open(m.disk)
	require.NoError(t, err)
	if m.identity != "" {
		require.Equal(t, m.identity, contents.Identity)
	}
	m.identity, m.journal = contents.Identity, journal
	err = m.now.holds(contents)
	if err != nil && m.next != nil {
		if afterErr := m.next.holds(contents); afterErr == nil {
			m.now, err = *m.next, nil
		} else {
			err = errors.Join(err, afterErr)
		}
	}
	require.NoError(t, err)
	m.next = nil
}

// TestJournalKeepsWhatItConfirmed drives a journal on a disk that forgets, tears
// and fails, against a list in memory.
func TestJournalKeepsWhatItConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &journalMachine{disk: emulator.NewDisk()}
		m.reopen(t)
		t.Repeat(map[string]func(*rapid.T){
			"append": m.Append, "ballot": m.Ballot, "snapshot": m.Snapshot,
			"install": m.Install, "fail": m.FailSoon, "crash": m.Crash,
		})
	})
}

func filled(t *testing.T, batches int) (*emulator.Disk, string) {
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

// TestHoleIsRefused damages a synced batch before others.
func TestHoleIsRefused(t *testing.T) {
	disk, name := filled(t, 5)
	disk.CorruptByte(name, 150)
	_, _, err := journaler.Open(disk)
	hole, ok := errors.AsType[*journaler.CorruptionError](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, name, hole.File)
	require.Positive(t, hole.Offset)
	require.Less(t, hole.Offset, int64(150))
}

// TestTornTailIsCut damages the last batch.
func TestTornTailIsCut(t *testing.T) {
	disk, name := filled(t, 5)
	data, err := disk.ReadFile(name)
	require.NoError(t, err)
	disk.CorruptByte(name, len(data)-2)
	_, contents, err := journaler.Open(disk)
	require.NoError(t, err)
	require.Len(t, contents.Entries, 4)
	require.Positive(t, contents.TruncatedBytes)
}

// TestEmptyFolderIsNewIdentity erases a disk.
func TestEmptyFolderIsNewIdentity(t *testing.T) {
	disk, _ := filled(t, 2)
	_, before, err := journaler.Open(disk)
	require.NoError(t, err)
	disk.Erase()
	_, after, err := journaler.Open(disk)
	require.NoError(t, err)
	require.NotEqual(t, before.Identity, after.Identity)
	require.Empty(t, after.Entries)
}

// TestFolderRoundTrip uses the operating system's files.
func TestFolderRoundTrip(t *testing.T) {
	folder, err := journaler.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	j, _, err := journaler.Open(folder)
	require.NoError(t, err)
	require.NoError(t, j.Append(0, []journaler.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}))
	require.NoError(t, j.SaveSnapshot(journaler.Snapshot{Index: 1, Term: 1, Data: []byte("s")}, []journaler.Entry{{Index: 2, Term: 1}}))
	require.NoError(t, j.Append(2, []journaler.Entry{{Index: 2, Term: 2}}))
	require.NoError(t, j.Close())
	_, contents, err := journaler.Open(folder)
	require.NoError(t, err)
	require.Equal(t, uint64(1), contents.Snapshot.Index)
	require.Equal(t, uint64(2), contents.Entries[0].Term)
}
