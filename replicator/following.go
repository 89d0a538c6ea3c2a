package replicator

import (
	"slices"
	"time"

	"github.com/figseam/figseam/journaler"
)

// HandleAppend takes entries or a heartbeat from a leader.
func (n *Node) HandleAppend(r AppendRequest) AppendReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.addressed(r.Header) {
		return AppendReply{}
	}
	if !n.follow(r.Header) {
		return AppendReply{Term: n.term}
	}
	entries, prev := r.Entries, r.PrevIndex
	for len(entries) > 0 && prev < n.base {
		prev = entries[0].Index
		entries = entries[1:]
	}
	if prev < n.base {
		return AppendReply{Term: n.term, Success: true, MatchIndex: n.base}
	}
	if term, ok := n.termAt(prev); !ok || (prev == r.PrevIndex && term != r.PrevTerm) {
		return AppendReply{Term: n.term, NextIndex: n.retryFrom(prev)}
	}
	if !n.appendNew(entries) {
		return AppendReply{}
	}
	match := r.PrevIndex + uint64(len(r.Entries))
	if c := min(r.LeaderCommit, match); c > n.commit {
		n.commit = c
		signal(n.wakeApply)
	}
	return AppendReply{Term: n.term, Success: true, MatchIndex: match}
}

// follow recognises the leader of the request's term. It reports false for a
// leader of an earlier term.
func (n *Node) follow(h Header) bool {
	if h.Term < n.term {
		return false
	}
	if h.Term > n.term && !n.adoptTerm(h.Term) {
		return false
	}
	if n.role != follower {
		n.stepDown()
	}
	n.leader, n.contact = h.From, time.Now()
	n.resetElection()
	return true
}

// retryFrom returns where the logs may agree: behind this log's end, or at the
// start of the term that does not fit.
func (n *Node) retryFrom(prev uint64) uint64 {
	if prev > n.lastIndex() {
		return n.lastIndex() + 1
	}
	term, _ := n.termAt(prev)
	for prev > n.base+1 {
		if t, _ := n.termAt(prev - 1); t != term {
			break
		}
		prev--
	}
	return prev
}

// appendNew stores the entries that are not here yet, dropping those that a
// former leader left and that were never committed.
func (n *Node) appendNew(entries []journaler.Entry) bool {
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
	var cutFrom uint64
	if entries[0].Index <= n.lastIndex() {
		cutFrom = entries[0].Index
	}
	if err := n.journal.Append(cutFrom, entries); err != nil {
		n.fail(err)
		return false
	}
	if cutFrom > 0 {
		// A copy, since tasks may still read the dropped entries.
		n.entries = slices.Clone(n.entries[:cutFrom-n.base-1])
		n.recomputeGroup()
	}
	for _, e := range entries {
		n.entries = append(n.entries, e)
		n.noteEntry(e)
	}
	return true
}

// recomputeGroup finds the group in force after entries were dropped.
func (n *Node) recomputeGroup() {
	n.group, n.groupIndex = n.appliedGroup, n.appliedGroupIndex
	for _, e := range n.entries {
		if e.Index > n.appliedGroupIndex {
			n.noteEntry(e)
		}
	}
}
