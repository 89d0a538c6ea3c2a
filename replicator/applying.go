package replicator

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

// machineStates is the data of a snapshot.
type machineStates map[string][]byte

// applyCommitted applies committed entries until ctx ends.
func (n *Node) applyCommitted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wakeApply:
		}
		for n.applySome() {
			if ctx.Err() != nil {
				return
			}
		}
		if err := n.maybeSnapshot(); err != nil {
			n.mu.Lock()
			n.fail(err)
			n.mu.Unlock()
			return
		}
	}
}

// applySome applies a run of entries. It reports whether there may be more.
func (n *Node) applySome() bool {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.mu.Lock()
	if n.applied >= n.commit {
		n.mu.Unlock()
		return false
	}
	run := n.from(n.applied + 1)
	if most := n.commit - n.applied; uint64(len(run)) > most {
		run = run[:most]
	}
	n.mu.Unlock()
	for _, e := range run {
		n.apply(e)
	}
	return len(run) > 0
}

func (n *Node) apply(e journaler.Entry) {
	var result []byte
	if e.Kind == kindCommand {
		var c figseam.Command
		if cbor.Unmarshal(e.Command, &c) == nil {
			if m, ok := n.machines[c.Machine]; ok {
				result = m.Apply(figseam.CommittedCommand{Index: e.Index, LogMillis: e.LogMillis, Body: c.Body})
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = e.Index
	if e.Kind == kindGroup {
		_ = cbor.Unmarshal(e.Command, &n.appliedGroup)
		n.appliedGroupIndex = e.Index
	}
	p, ok := n.waiting[e.Index]
	if !ok {
		return
	}
	delete(n.waiting, e.Index)
	if p.term != e.Term {
		p.outcome <- proposalOutcome{err: figseam.ErrNotProposed}
		return
	}
	p.outcome <- proposalOutcome{result: result}
}

// maybeSnapshot takes a snapshot when enough entries have gathered.
func (n *Node) maybeSnapshot() error {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.mu.Lock()
	due := n.applied-n.snapshotIndex >= n.settings.SnapshotThresholdEntries
	n.mu.Unlock()
	if !due {
		return nil
	}
	return n.takeSnapshot()
}

// takeSnapshot stores the state and drops the entries that it replaces. The
// caller holds applying.
func (n *Node) takeSnapshot() error {
	states := machineStates{}
	for name, m := range n.machines {
		state, err := m.Snapshot()
		if err != nil {
			return err
		}
		states[name] = state
	}
	data, err := cbor.Marshal(states)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	group, err := cbor.Marshal(n.appliedGroup)
	if err != nil {
		return err
	}
	index := n.applied
	term, ok := n.termAt(index)
	if !ok {
		return errors.New("applied entry is not in the log")
	}
	following := n.entries[index-n.base:]
	s := journaler.Snapshot{Index: index, Term: term, LogMillis: n.millisAt(index), Data: data, Membership: group}
	if err := n.journal.SaveSnapshot(s, following); err != nil {
		return err
	}
	n.snapshotIndex = index
	if trailing := n.settings.SnapshotThresholdEntries / trailingShare; index > n.base+trailing {
		base := index - trailing
		n.baseTerm, _ = n.termAt(base)
		n.entries = append([]journaler.Entry(nil), n.entries[base-n.base:]...)
		n.base = base
	}
	return nil
}

func (n *Node) millisAt(index uint64) int64 {
	if index <= n.base || index > n.lastIndex() {
		return n.lastLogMillis
	}
	return n.entries[index-n.base-1].LogMillis
}

func (n *Node) restoreMachines(data []byte) error {
	var states machineStates
	if err := cbor.Unmarshal(data, &states); err != nil {
		return err
	}
	for name, state := range states {
		m, ok := n.machines[name]
		if !ok {
			return fmt.Errorf("snapshot has a state machine %q that this version does not know", name)
		}
		if err := m.Restore(state); err != nil {
			return err
		}
	}
	return nil
}

func encodeState(s journaler.Snapshot) ([]byte, error) { return cbor.Marshal(s) }

// installation gathers the parts of a snapshot. It is guarded by applying.
type installation struct {
	term  uint64
	index uint64
	data  []byte
}

// HandleInstallSnapshot takes a part of a snapshot from the leader.
func (n *Node) HandleInstallSnapshot(r InstallSnapshotRequest) AppendReply {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.addressed(r.Header) {
		return AppendReply{}
	}
	if !n.follow(r.Header) {
		return AppendReply{Term: n.term}
	}
	if r.Offset == 0 {
		n.install = installation{term: r.Header.Term, index: r.SnapshotIndex}
	}
	if n.install.term != r.Header.Term || n.install.index != r.SnapshotIndex || len(n.install.data) != r.Offset {
		return AppendReply{Term: n.term}
	}
	n.install.data = append(n.install.data, r.Chunk...)
	if !r.Done {
		return AppendReply{Term: n.term, Success: true}
	}
	data := n.install.data
	n.install = installation{}
	if err := n.installSnapshot(data); err != nil {
		n.fail(err)
		return AppendReply{}
	}
	return AppendReply{Term: n.term, Success: true, MatchIndex: n.snapshotIndex}
}

// installSnapshot replaces state and log. The caller holds applying and mu.
func (n *Node) installSnapshot(data []byte) error {
	var s journaler.Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Index <= n.applied {
		return nil
	}
	var g Membership
	if err := cbor.Unmarshal(s.Membership, &g); err != nil {
		return err
	}
	var following []journaler.Entry
	if term, ok := n.termAt(s.Index); ok && term == s.Term {
		following = append(following, n.entries[s.Index-n.base:]...)
	}
	if err := n.journal.SaveSnapshot(s, following); err != nil {
		return err
	}
	if err := n.restoreMachines(s.Data); err != nil {
		return err
	}
	n.entries, n.base, n.baseTerm, n.snapshotIndex = following, s.Index, s.Term, s.Index
	n.commit, n.applied = max(n.commit, s.Index), s.Index
	n.group, n.groupIndex, n.appliedGroup, n.appliedGroupIndex = g, s.Index, g, s.Index
	n.lastLogMillis = s.LogMillis
	for _, e := range n.entries {
		n.noteEntry(e)
	}
	return nil
}
