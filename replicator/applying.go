package replicator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

// machineStates is the data of a snapshot: the encoded state of each state
// machine by its name.
type machineStates map[string][]byte

// applyCommitted applies committed entries until ctx is cancelled, and takes
// snapshots.
func (n *Node) applyCommitted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wakeApply:
		}
		for n.applyBatch() {
			if ctx.Err() != nil {
				return
			}
		}
		if err := n.snapshotIfDue(); err != nil {
			n.mu.Lock()
			n.fail(err)
			n.mu.Unlock()
			return
		}
	}
}

// applyBatch applies a batch of committed entries. It reports whether more may be
// left.
func (n *Node) applyBatch() bool {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	if n.appliedIndex >= n.commitIndex {
		n.mu.Unlock()
		return false
	}
	batch := n.entriesFrom(n.appliedIndex + 1)
	if unapplied := n.commitIndex - n.appliedIndex; uint64(len(batch)) > unapplied {
		batch = batch[:unapplied]
	}
	n.mu.Unlock()
	for _, e := range batch {
		n.apply(e)
	}
	return len(batch) > 0
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
	n.appliedIndex = e.Index
	if e.Kind == kindMembership {
		// Decoding into appliedMembership would change memberships that share its slices.
		var m Membership
		_ = cbor.Unmarshal(e.Command, &m)
		n.appliedMembership, n.appliedMembershipIndex = m, e.Index
	}
	p, ok := n.inFlight[e.Index]
	if !ok {
		return
	}
	delete(n.inFlight, e.Index)
	if p.term != e.Term {
		p.outcome <- proposalOutcome{err: figseam.ErrNotProposed}
		return
	}
	p.outcome <- proposalOutcome{result: result}
}

// snapshotIfDue takes a snapshot if enough entries were applied since the last one.
func (n *Node) snapshotIfDue() error {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	due := n.appliedIndex-n.snapshotIndex >= n.settings.SnapshotThresholdEntries && !time.Now().Before(n.snapshotRetry)
	n.mu.Unlock()
	if !due {
		return nil
	}
	return n.takeSnapshot()
}

// takeSnapshot stores the state machines' state and discards the entries that it
// covers, except the most recent ones, which slow peers may still need. If the disk refuses
// the snapshot, the replica goes on without it. The caller holds applyMu.
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
	membership, err := cbor.Marshal(n.appliedMembership)
	if err != nil {
		return err
	}
	index := n.appliedIndex
	term, ok := n.termAt(index)
	if !ok {
		return errors.New("applied entry is not in the log")
	}
	following := n.entries[index-n.baseIndex:]
	s := journaler.Snapshot{Index: index, Term: term, LogMillis: n.logMillisAt(index), Data: data, Membership: membership}
	if !n.saveSnapshot(s, following) {
		return nil
	}
	n.snapshotIndex = index
	if trailing := n.settings.SnapshotThresholdEntries / trailingEntriesDivisor; index > n.baseIndex+trailing {
		baseIndex := index - trailing
		n.baseTerm, _ = n.termAt(baseIndex)
		n.entries = append([]journaler.Entry(nil), n.entries[baseIndex-n.baseIndex:]...)
		n.baseIndex = baseIndex
	}
	return nil
}

func (n *Node) logMillisAt(index uint64) int64 {
	if index <= n.baseIndex || index > n.lastIndex() {
		return n.lastLogMillis
	}
	return n.entries[index-n.baseIndex-1].LogMillis
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

func encodeSnapshot(s journaler.Snapshot) ([]byte, error) { return cbor.Marshal(s) }

// snapshotTransfer holds the chunks received so far of a snapshot from the leader.
type snapshotTransfer struct {
	term  uint64
	index uint64
	data  []byte
}

// HandleInstallSnapshot receives a chunk of a snapshot from the leader. Chunks must
// arrive in order; a chunk at offset 0 restarts the transfer. The last chunk
// installs the snapshot.
func (n *Node) HandleInstallSnapshot(r InstallSnapshotRequest) AppendReply {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRecipient(r.Header) {
		return AppendReply{Successor: n.successorOf(r.Header)}
	}
	if !n.acceptLeader(r.Header) {
		return n.rejectLeader(r.Header)
	}
	if time.Now().Before(n.snapshotRetry) {
		return AppendReply{}
	}
	if r.Offset == 0 {
		n.incomingSnapshot = snapshotTransfer{term: r.Header.Term, index: r.SnapshotIndex}
	}
	if n.incomingSnapshot.term != r.Header.Term || n.incomingSnapshot.index != r.SnapshotIndex || len(n.incomingSnapshot.data) != r.Offset {
		return AppendReply{Term: n.term}
	}
	n.incomingSnapshot.data = append(n.incomingSnapshot.data, r.Chunk...)
	if !r.Done {
		return AppendReply{Term: n.term, Success: true}
	}
	data := n.incomingSnapshot.data
	n.incomingSnapshot = snapshotTransfer{}
	installed, err := n.installSnapshot(data)
	switch {
	case err != nil:
		n.fail(err)
		return AppendReply{}
	case !installed:
		return AppendReply{}
	}
	return AppendReply{Term: n.term, Success: true, MatchIndex: n.snapshotIndex}
}

// installSnapshot replaces the state machines' state and the log by an encoded
// snapshot, unless its entries are already applied. It reports false if the disk refuses the
// snapshot; the state and the log then are as before. The caller holds applyMu and mu.
func (n *Node) installSnapshot(data []byte) (installed bool, err error) {
	var s journaler.Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return false, err
	}
	if s.Index <= n.appliedIndex {
		return true, nil
	}
	var membership Membership
	if err := cbor.Unmarshal(s.Membership, &membership); err != nil {
		return false, err
	}
	var following []journaler.Entry
	if term, ok := n.termAt(s.Index); ok && term == s.Term {
		following = append(following, n.entries[s.Index-n.baseIndex:]...)
	}
	if !n.saveSnapshot(s, following) {
		return false, nil
	}
	if err := n.restoreMachines(s.Data); err != nil {
		return false, err
	}
	n.entries, n.baseIndex, n.baseTerm, n.snapshotIndex = following, s.Index, s.Term, s.Index
	n.commitIndex, n.appliedIndex = max(n.commitIndex, s.Index), s.Index
	n.membership, n.membershipIndex, n.appliedMembership, n.appliedMembershipIndex = membership, s.Index, membership, s.Index
	n.lastLogMillis = s.LogMillis
	for _, e := range n.entries {
		n.recordAppended(e)
	}
	return true, nil
}
