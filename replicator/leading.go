package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/figseam/figseam/journaler"
)

// peer is what a leader knows of another replica. The node's mutex guards it;
// its task is sendTo.
type peer struct {
	replica  Replica
	next     uint64
	match    uint64
	answered time.Time
	wake     chan struct{}
	stop     context.CancelFunc
}

// syncPeers starts and stops the peers' tasks so that they fit the group.
func (n *Node) syncPeers() {
	wanted := slices.Concat(n.group.Voters, n.group.Learners)
	for id, p := range n.peers {
		if indexOf(wanted, id) < 0 {
			p.stop()
			delete(n.peers, id)
		}
	}
	for _, r := range wanted {
		if r.Identity == n.self.Identity || n.peers[r.Identity] != nil || n.base0 == nil {
			continue
		}
		ctx, stop := context.WithCancel(n.base0)
		p := &peer{replica: r, next: n.lastIndex() + 1, answered: time.Now(), wake: make(chan struct{}, 1), stop: stop}
		n.peers[r.Identity] = p
		n.tasks.Go(func() { n.sendTo(ctx, p) })
	}
}

// writeBatches appends pending commands to the journal, all that wait at once.
func (n *Node) writeBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wakeJournal:
		}
		n.writeBatch()
	}
}

func (n *Node) writeBatch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != leader || len(n.pending) == 0 || n.broken != nil {
		return
	}
	batch := n.pending
	n.pending = nil
	now := time.Now()
	n.lastLogMillis += now.Sub(n.lastAppend).Milliseconds()
	n.lastAppend = now
	entries := make([]journaler.Entry, 0, len(batch))
	for i, p := range batch {
		e := journaler.Entry{
			Index: n.lastIndex() + 1 + uint64(i), Term: n.term, LogMillis: n.lastLogMillis,
			Kind: p.kind, Command: p.body,
		}
		entries = append(entries, e)
	}
	if err := n.journal.Append(0, entries); err != nil {
		n.fail(err)
		return
	}
	for i, e := range entries {
		n.entries = append(n.entries, e)
		n.noteEntry(e)
		batch[i].term = e.Term
		n.waiting[e.Index] = batch[i]
	}
	n.syncPeers()
	for _, p := range n.peers {
		signal(p.wake)
	}
	n.advanceCommit()
}

// advanceCommit commits what a majority of voters has, if it is of this term.
func (n *Node) advanceCommit() {
	if n.role != leader || len(n.group.Voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(n.group.Voters))
	for _, v := range n.group.Voters {
		switch p := n.peers[v.Identity]; {
		case v.Identity == n.self.Identity:
			matches = append(matches, n.lastIndex())
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := n.termAt(index); ok && term == n.term && index > n.commit {
		n.commit = index
		signal(n.wakeApply)
	}
}

// sendTo keeps one peer up to date until ctx ends.
func (n *Node) sendTo(ctx context.Context, p *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		more := n.sendOnce(ctx, p)
		if more {
			signal(p.wake)
		}
		timer.Reset(heartbeatMillis * time.Millisecond)
	}
}

// sendOnce sends what the peer lacks next. It reports whether there is more.
func (n *Node) sendOnce(ctx context.Context, p *peer) bool {
	n.mu.Lock()
	if n.role != leader {
		n.mu.Unlock()
		return false
	}
	if p.next <= n.base {
		n.mu.Unlock()
		return n.sendSnapshot(ctx, p)
	}
	prevTerm, _ := n.termAt(p.next - 1)
	request := AppendRequest{
		Header:    n.header(p.replica),
		PrevIndex: p.next - 1, PrevTerm: prevTerm, LeaderCommit: n.commit, Entries: n.from(p.next),
	}
	n.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, requestMillis*time.Millisecond)
	reply, err := n.transport.Append(call, p.replica.Instance, request)
	cancel()
	if err != nil {
		return false
	}
	return n.noteReply(p, request.Header.Term, reply)
}

func (n *Node) header(to Replica) Header {
	return Header{GroupID: n.settings.GroupID, ToIdentity: to.Identity, From: n.self, Term: n.term}
}

func (n *Node) noteReply(p *peer, term uint64, reply AppendReply) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Term > n.term {
		n.adoptTerm(reply.Term)
		return false
	}
	if n.role != leader || n.term != term || reply.Term == 0 {
		return false
	}
	p.answered = time.Now()
	if !reply.Success {
		p.next = max(1, min(reply.NextIndex, p.next-1))
		return true
	}
	p.match = max(p.match, reply.MatchIndex)
	p.next = p.match + 1
	n.advanceCommit()
	return p.next <= n.lastIndex()
}

// partBytes is the length of one part of a snapshot.
const partBytes = 512 << 10

// sendSnapshot sends the newest snapshot to a peer that is too far behind.
func (n *Node) sendSnapshot(ctx context.Context, p *peer) bool {
	n.mu.Lock()
	snapshot, err := n.journal.LatestSnapshot()
	header := n.header(p.replica)
	n.mu.Unlock()
	if err != nil || snapshot.Index == 0 {
		return false
	}
	data, err := encodeState(snapshot)
	if err != nil {
		return false
	}
	for at := 0; ; at += partBytes {
		end := min(at+partBytes, len(data))
		call, cancel := context.WithTimeout(ctx, requestMillis*time.Millisecond*4)
		reply, err := n.transport.InstallSnapshot(call, p.replica.Instance, InstallSnapshotRequest{
			Header: header, SnapshotIndex: snapshot.Index, Offset: at, Chunk: data[at:end], Done: end == len(data),
		})
		cancel()
		if err != nil || !reply.Success {
			return false
		}
		if end == len(data) {
			return n.noteReply(p, header.Term, reply)
		}
		n.mu.Lock()
		p.answered = time.Now()
		n.mu.Unlock()
	}
}
