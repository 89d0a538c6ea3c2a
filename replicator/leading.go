package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/figseam/figseam/journaler"
)

// peer is the leader's replication state of another replica. It is guarded by the
// node's mu; replicateTo runs in a goroutine of its own for each peer.
type peer struct {
	replica    Replica
	nextIndex  uint64
	matchIndex uint64
	lastReply  time.Time
	// erased is set once another replica replies from the peer's instance.
	erased bool
	wake   chan struct{}
	stop   context.CancelFunc
}

// syncPeers starts and stops replication so that it covers the current members. The
// caller holds mu.
func (n *Node) syncPeers() {
	members := slices.Concat(n.membership.Voters, n.membership.Learners)
	for id, p := range n.peers {
		if indexOf(members, id) < 0 {
			p.stop()
			delete(n.peers, id)
		}
	}
	for _, r := range members {
		if r.Identity == n.self.Identity || n.peers[r.Identity] != nil || n.runContext == nil {
			continue
		}
		ctx, stop := context.WithCancel(n.runContext)
		p := &peer{replica: r, nextIndex: n.lastIndex() + 1, lastReply: time.Now(), wake: make(chan struct{}, 1), stop: stop}
		n.peers[r.Identity] = p
		n.tasks.Go(func() { n.replicateTo(ctx, p) })
	}
}

// writeBatches appends queued proposals to the journal until ctx is cancelled. Each
// batch consists of all proposals that are queued when it is written.
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
	if n.role != leader || len(n.queued) == 0 || n.stopCause != nil {
		return
	}
	batch := n.queued
	n.queued = nil
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
	if !n.stored(n.journal.Append(0, entries)) {
		for _, p := range batch {
			// The journal may still be recovered with the entries if the process ends now.
			p.outcome <- proposalOutcome{err: ErrLeadershipLost}
		}
		return
	}
	for i, e := range entries {
		n.entries = append(n.entries, e)
		n.recordAppended(e)
		batch[i].term = e.Term
		n.inFlight[e.Index] = batch[i]
	}
	n.syncPeers()
	for _, p := range n.peers {
		signal(p.wake)
	}
	n.advanceCommit()
}

// advanceCommit commits the entries that a quorum of voters has stored, provided
// that the last of them is of the current term. The caller holds mu.
func (n *Node) advanceCommit() {
	if n.role != leader || len(n.membership.Voters) == 0 {
		return
	}
	index := n.storedIndex()
	if term, ok := n.termAt(index); ok && term == n.term && index > n.commitIndex {
		n.commitIndex = index
		signal(n.wakeApply)
	}
}

// replicateTo sends entries, snapshots and heartbeats to a peer until ctx is
// cancelled.
func (n *Node) replicateTo(ctx context.Context, p *peer) {
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
		timer.Reset(heartbeatIntervalMillis * time.Millisecond)
	}
}

// sendOnce sends the next entries to the peer, or a snapshot if the log no longer
// holds them. It reports whether there is more to send.
func (n *Node) sendOnce(ctx context.Context, p *peer) bool {
	n.mu.Lock()
	if n.role != leader {
		n.mu.Unlock()
		return false
	}
	if p.nextIndex <= n.baseIndex {
		header := n.newHeader(p.replica)
		n.mu.Unlock()
		return n.sendSnapshot(ctx, p, header)
	}
	prevTerm, _ := n.termAt(p.nextIndex - 1)
	request := AppendRequest{
		Header:    n.newHeader(p.replica),
		PrevIndex: p.nextIndex - 1, PrevTerm: prevTerm, LeaderCommit: n.commitIndex, Entries: n.entriesFrom(p.nextIndex),
	}
	n.mu.Unlock()
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond)
	reply, err := n.transport.Append(requestCtx, p.replica.Instance, request)
	cancel()
	if err != nil {
		return false
	}
	return n.handleReply(p, request.Header.Term, reply)
}

func (n *Node) newHeader(to Replica) Header {
	return Header{GroupID: n.settings.GroupID, ToIdentity: to.Identity, From: n.self, Term: n.term}
}

// handleReply updates the replication state of a peer from its reply to a request of
// the given term. It reports whether there is more to send.
func (n *Node) handleReply(p *peer, term uint64, reply AppendReply) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Term > n.term {
		n.adoptTerm(reply.Term)
		return false
	}
	if n.role != leader || n.term != term {
		return false
	}
	n.recordErased(p, reply)
	if reply.Term == 0 {
		return false
	}
	p.lastReply = time.Now()
	if !reply.Success {
		p.nextIndex = max(1, min(reply.NextIndex, p.nextIndex-1))
		return true
	}
	p.matchIndex = max(p.matchIndex, reply.MatchIndex)
	p.nextIndex = p.matchIndex + 1
	n.advanceCommit()
	return p.nextIndex <= n.lastIndex()
}

// snapshotChunkBytes is the size of the chunks in which a snapshot is sent.
const snapshotChunkBytes = 512 << 10

// sendSnapshot sends the latest snapshot to a peer that needs entries which the log
// no longer holds. The caller builds the header while it checks that this replica leads,
// since the replica may be a follower of a later term by now. It reports whether there is
// more to send.
func (n *Node) sendSnapshot(ctx context.Context, p *peer, header Header) bool {
	n.mu.Lock()
	snapshot, err := n.journal.LatestSnapshot()
	n.mu.Unlock()
	if err != nil || snapshot.Index == 0 {
		return false
	}
	data, err := encodeSnapshot(snapshot)
	if err != nil {
		return false
	}
	for offset := 0; ; offset += snapshotChunkBytes {
		end := min(offset+snapshotChunkBytes, len(data))
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond*4)
		reply, err := n.transport.InstallSnapshot(requestCtx, p.replica.Instance, InstallSnapshotRequest{
			Header: header, SnapshotIndex: snapshot.Index, Offset: offset, Chunk: data[offset:end], Done: end == len(data),
		})
		cancel()
		if err != nil {
			return false
		}
		if !reply.Success {
			n.handleRejectedSnapshot(p, reply)
			return false
		}
		if end == len(data) {
			return n.handleReply(p, header.Term, reply)
		}
		n.mu.Lock()
		p.lastReply = time.Now()
		n.mu.Unlock()
	}
}

// handleRejectedSnapshot adopts the term of a peer that rejected a snapshot because it
// is in a later term. Without that, the peer would reject every snapshot, and this
// replica would lead on without it.
func (n *Node) handleRejectedSnapshot(p *peer, reply AppendReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Term > n.term {
		n.adoptTerm(reply.Term)
		return
	}
	n.recordErased(p, reply)
}

// recordErased records that a peer's disk was erased if its reply shows that. The caller
// holds mu.
func (n *Node) recordErased(p *peer, reply AppendReply) {
	if p.erased || !n.membership.isErased(p.replica, reply.Successor) {
		return
	}
	p.erased = true
	n.log.Warn().Interface("replica", p.replica).Str("successor", reply.Successor.Identity).Msg("the disk of a replica was erased")
	n.advanceCommit()
}
