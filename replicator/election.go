package replicator

import (
	"context"
	"math/rand/v2"
	"time"
)

// runElectionTimer starts an election when the election timeout passes without
// contact with a leader, and makes a leader without contact with a majority step
// down, until ctx is cancelled.
func (n *Node) runElectionTimer(ctx context.Context) {
	ticker := time.NewTicker(heartbeatIntervalMillis / 3 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.retryDisk()
		if n.checkElectionTimer() {
			n.campaign(ctx)
		}
	}
}

// checkElectionTimer reports whether this replica should start an election. It makes
// a leader without contact with a majority step down.
func (n *Node) checkElectionTimer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.role == leader {
		if !n.majorityResponds(now) {
			n.log.Warn().Uint64("term", n.term).Msg("no majority answers, stepping down")
			n.stepDown()
		}
		return false
	}
	if indexOf(n.membership.Voters, n.self.Identity) < 0 || n.stopCause != nil || n.diskError != nil {
		return false
	}
	if now.Before(n.electionDeadline) {
		return false
	}
	n.resetElectionTimer()
	return true
}

// resetElectionTimer postpones the next election by a random election timeout.
func (n *Node) resetElectionTimer() {
	jitterRange := time.Duration(electionTimeoutMaxMillis-electionTimeoutMinMillis) * time.Millisecond
	n.electionDeadline = time.Now().Add(electionTimeoutMinMillis*time.Millisecond + rand.N(jitterRange))
}

// campaign runs a pre-vote and, if a majority grants it, an election.
func (n *Node) campaign(ctx context.Context) {
	n.mu.Lock()
	request := n.newVoteRequest(n.term+1, true)
	n.mu.Unlock()
	if !n.collectVotes(ctx, request) {
		return
	}
	n.mu.Lock()
	if n.role == leader || n.term+1 != request.Header.Term || n.stopCause != nil {
		n.mu.Unlock()
		return
	}
	if !n.saveHardState(n.term+1, n.self.Identity) {
		n.mu.Unlock()
		return
	}
	n.role = candidate
	request = n.newVoteRequest(n.term, false)
	n.mu.Unlock()
	if n.collectVotes(ctx, request) {
		n.becomeLeader(request.Header.Term)
	}
}

func (n *Node) newVoteRequest(term uint64, preVote bool) VoteRequest {
	return VoteRequest{
		Header:  Header{GroupID: n.settings.GroupID, From: n.self, Term: term},
		PreVote: preVote, LastIndex: n.lastIndex(), LastTerm: n.lastTerm(),
	}
}

// collectVotes requests votes from all voters in parallel and reports whether a
// quorum granted them.
func (n *Node) collectVotes(ctx context.Context, request VoteRequest) bool {
	n.mu.Lock()
	voters := n.membership.Voters
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond)
	defer cancel()
	votes := make(chan vote, len(voters))
	outstanding := 0
	granted := 0
	anyErased := false
	for _, v := range voters {
		if v.Identity == n.self.Identity {
			granted++
			continue
		}
		outstanding++
		go func() { votes <- n.requestVote(ctx, v, request) }()
	}
	for ; outstanding > 0 && granted < quorum(len(voters), anyErased); outstanding-- {
		v := <-votes
		anyErased = anyErased || v.erased
		if v.granted {
			granted++
		}
	}
	return granted >= quorum(len(voters), anyErased)
}

// vote is the result of a request for a vote.
type vote struct {
	granted bool
	// erased reports that the voter's disk was erased, so that it cannot vote any more.
	erased bool
}

func (n *Node) requestVote(ctx context.Context, v Replica, request VoteRequest) vote {
	request.Header.ToIdentity = v.Identity
	reply, err := n.transport.Vote(ctx, v.Instance, request)
	if err != nil {
		return vote{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Term > n.term {
		// The term is adopted from the reply to a pre-vote, too. Otherwise the group could
		// remain without a leader: a replica with the newest log but an old term would
		// never win, and the others, whose logs are older, could not win either.
		n.adoptTerm(reply.Term)
	}
	return vote{granted: reply.Granted, erased: n.membership.isErased(v, reply.Successor)}
}

// HandleVote handles a candidate's request for a vote or a pre-vote.
func (n *Node) HandleVote(r VoteRequest) VoteReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isRecipient(r.Header) {
		return VoteReply{Term: n.term, Successor: n.successorOf(r.Header)}
	}
	leaderActive := time.Since(n.lastLeaderContact) < electionTimeoutMinMillis*time.Millisecond
	if n.role == leader || (leaderActive && n.leader.Identity != r.Header.From.Identity) {
		return VoteReply{Term: n.term}
	}
	upToDate := r.LastTerm > n.lastTerm() || (r.LastTerm == n.lastTerm() && r.LastIndex >= n.lastIndex())
	if r.PreVote {
		// A vote that cannot be stored would not be granted in the election.
		return VoteReply{Term: n.term, Granted: upToDate && r.Header.Term > n.term && n.diskError == nil}
	}
	if r.Header.Term < n.term {
		return VoteReply{Term: n.term}
	}
	if r.Header.Term > n.term && !n.adoptTerm(r.Header.Term) {
		return VoteReply{Term: n.term}
	}
	if !upToDate || (n.votedFor != "" && n.votedFor != r.Header.From.Identity) {
		return VoteReply{Term: n.term}
	}
	if !n.saveHardState(n.term, r.Header.From.Identity) {
		return VoteReply{Term: n.term}
	}
	n.resetElectionTimer()
	return VoteReply{Term: n.term, Granted: true}
}

// isRecipient reports whether a request is addressed to this replica and the
// replica is running. The caller holds mu.
func (n *Node) isRecipient(h Header) bool {
	return h.GroupID == n.settings.GroupID && h.ToIdentity == n.self.Identity && n.stopCause == nil
}

// successorOf returns this replica if a request of its group is addressed to another
// replica of its instance.
func (n *Node) successorOf(h Header) (r Replica) {
	if h.GroupID == n.settings.GroupID && h.ToIdentity != n.self.Identity {
		return n.self
	}
	return Replica{}
}

// adoptTerm makes this replica a follower in a higher term. It reports whether the
// term was stored. The caller holds mu.
func (n *Node) adoptTerm(term uint64) bool {
	if !n.saveHardState(term, "") {
		return false
	}
	n.stepDown()
	return true
}

// stepDown makes this replica a follower. Queued proposals fail as not proposed.
// Proposals in flight fail with ErrLeadershipLost, because the next leader may still
// commit them. The caller holds mu.
func (n *Node) stepDown() {
	if n.role == leader {
		n.setLeader(Replica{})
		for _, p := range n.peers {
			p.stop()
		}
		n.peers = map[string]*peer{}
		for _, p := range n.queued {
			p.outcome <- proposalOutcome{err: &NotLeaderError{}}
		}
		n.queued = nil
		for i, p := range n.inFlight {
			p.outcome <- proposalOutcome{err: ErrLeadershipLost}
			delete(n.inFlight, i)
		}
	}
	n.role = follower
	n.resetElectionTimer()
}

// becomeLeader makes this replica the leader after it won the election of a term,
// unless its term or role has changed since.
func (n *Node) becomeLeader(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != candidate || n.stopCause != nil {
		return
	}
	n.role = leader
	n.setLeader(n.self)
	n.lastAppend = time.Now()
	n.log.Info().Uint64("term", term).Uint64("last", n.lastIndex()).Msg("leading")
	n.queued = append(n.queued, newProposal(kindEmpty, nil))
	n.syncPeers()
	signal(n.wakeJournal)
}
