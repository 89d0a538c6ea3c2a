package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

// HandleAppend handles entries or a heartbeat from the leader.
func (n *Node) HandleAppend(r AppendRequest) AppendReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRecipient(r.Header) {
		return AppendReply{Successor: n.successorOf(r.Header)}
	}
	if !n.acceptLeader(r.Header) {
		return n.rejectLeader(r.Header)
	}
	if n.diskError != nil && len(r.Entries) == 0 {
		return AppendReply{}
	}
	entries, prevIndex := r.Entries, r.PrevIndex
	for len(entries) > 0 && prevIndex < n.baseIndex {
		prevIndex = entries[0].Index
		entries = entries[1:]
	}
	if prevIndex < n.baseIndex {
		return AppendReply{Term: n.term, Success: true, MatchIndex: n.baseIndex}
	}
	if term, ok := n.termAt(prevIndex); !ok || (prevIndex == r.PrevIndex && term != r.PrevTerm) {
		return AppendReply{Term: n.term, NextIndex: n.conflictIndex(prevIndex)}
	}
	if !n.appendMissing(entries) {
		return AppendReply{}
	}
	matchIndex := r.PrevIndex + uint64(len(r.Entries))
	if commitIndex := min(r.LeaderCommit, matchIndex); commitIndex > n.commitIndex {
		n.commitIndex = commitIndex
		signal(n.wakeApply)
	}
	if n.commitIndex >= r.LeaderCommit {
		n.lastCaughtUp = time.Now()
	}
	return AppendReply{Term: n.term, Success: true, MatchIndex: matchIndex}
}

// acceptLeader makes the sender of a request this replica's leader. It reports false
// if the sender's term is outdated or the new term could not be stored. The caller
// holds mu.
func (n *Node) acceptLeader(h Header) bool {
	if h.Term < n.term {
		return false
	}
	if h.Term > n.term && !n.adoptTerm(h.Term) {
		// Commands that this instance receives still find the leader.
		n.setLeader(h.From)
		return false
	}
	if n.role != follower {
		n.stepDown()
	}
	n.setLeader(h.From)
	n.lastLeaderContact = time.Now()
	n.resetElectionTimer()
	return true
}

// rejectLeader returns the reply to a request that [Node.acceptLeader] did not accept. It has no
// term if the sender's term is not outdated but could not be stored: the sender then is to
// repeat the request, and to take this replica for one that does not respond. The caller holds
// mu.
func (n *Node) rejectLeader(h Header) AppendReply {
	if h.Term < n.term {
		return AppendReply{Term: n.term}
	}
	return AppendReply{}
}

// setLeader records the leader and notifies those that wait for another one. The caller
// holds mu.
func (n *Node) setLeader(l Replica) {
	if n.leader.Identity == l.Identity {
		return
	}
	n.leader = l
	close(n.leaderChanged)
	n.leaderChanged = make(chan struct{})
}

// awaitOtherLeader blocks until a leader on another instance than the given one is known, or
// until the context ends.
func (n *Node) awaitOtherLeader(ctx context.Context, instance figseam.InstanceID) {
	for {
		n.mu.Lock()
		leader, changed := n.leader.Instance, n.leaderChanged
		n.mu.Unlock()
		if leader != "" && leader != instance {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// conflictIndex returns the index from which the leader should retry: the one after
// the end of this log, or the first entry of the conflicting term.
func (n *Node) conflictIndex(prevIndex uint64) uint64 {
	if prevIndex > n.lastIndex() {
		return n.lastIndex() + 1
	}
	conflictingTerm, _ := n.termAt(prevIndex)
	for prevIndex > n.baseIndex+1 {
		if t, _ := n.termAt(prevIndex - 1); t != conflictingTerm {
			break
		}
		prevIndex--
	}
	return prevIndex
}

// appendMissing stores the entries that the log lacks. It truncates conflicting
// entries, which a former leader appended but never committed. It reports whether
// the entries were stored. The caller holds mu.
func (n *Node) appendMissing(entries []journaler.Entry) bool {
	for len(entries) > 0 {
		term, ok := n.termAt(entries[0].Index)
		if !ok || term != entries[0].Term {
			break
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	var truncateFrom uint64
	if entries[0].Index <= n.lastIndex() {
		truncateFrom = entries[0].Index
	}
	if !n.stored(n.journal.Append(truncateFrom, entries)) {
		return false
	}
	if truncateFrom > 0 {
		// The remaining entries are copied, because other goroutines may still read the
		// truncated ones.
		n.entries = slices.Clone(n.entries[:truncateFrom-n.baseIndex-1])
		n.recomputeMembership()
	}
	for _, e := range entries {
		n.entries = append(n.entries, e)
		n.recordAppended(e)
	}
	return true
}

// recomputeMembership determines the current membership after entries were
// truncated.
func (n *Node) recomputeMembership() {
	n.membership, n.membershipIndex = n.appliedMembership, n.appliedMembershipIndex
	for _, e := range n.entries {
		if e.Index > n.appliedMembershipIndex {
			n.recordAppended(e)
		}
	}
}
