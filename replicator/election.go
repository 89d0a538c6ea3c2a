package replicator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/figseam/figseam/journaler"
)

// watchTime starts elections when no leader is heard of, and lets a leader that
// no majority answers step down.
func (n *Node) watchTime(ctx context.Context) {
	ticker := time.NewTicker(heartbeatMillis / 3 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.electionDue() {
			n.campaign(ctx)
		}
	}
}

func (n *Node) electionDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.role == leader {
		if !n.majorityAnswers(now) {
			n.log.Warn().Uint64("term", n.term).Msg("no majority answers, stepping down")
			n.stepDown()
		}
		return false
	}
	if indexOf(n.group.Voters, n.self.Identity) < 0 || n.broken != nil {
		return false
	}
	if now.Before(n.electAt) {
		return false
	}
	n.resetElection()
	return true
}

// resetElection puts the next election off by a random time.
func (n *Node) resetElection() {
	span := time.Duration(electionMaxMillis-electionMinMillis) * time.Millisecond
	n.electAt = time.Now().Add(electionMinMillis*time.Millisecond + rand.N(span))
}

// majorityAnswers reports whether a majority of voters answered lately.
func (n *Node) majorityAnswers(now time.Time) bool {
	answered := 0
	for _, v := range n.group.Voters {
		if v.Identity == n.self.Identity {
			answered++
			continue
		}
		if p, ok := n.peers[v.Identity]; ok && now.Sub(p.answered) < electionMinMillis*time.Millisecond {
			answered++
		}
	}
	return answered > len(n.group.Voters)/2
}

// campaign asks first whether an election could be won, then holds it.
func (n *Node) campaign(ctx context.Context) {
	n.mu.Lock()
	request := n.voteRequest(n.term+1, true)
	n.mu.Unlock()
	if !n.collect(ctx, request) {
		return
	}
	n.mu.Lock()
	if n.role == leader || n.term+1 != request.Header.Term || n.broken != nil {
		n.mu.Unlock()
		return
	}
	if !n.saveBallot(n.term+1, n.self.Identity) {
		n.mu.Unlock()
		return
	}
	n.role = candidate
	request = n.voteRequest(n.term, false)
	n.mu.Unlock()
	if n.collect(ctx, request) {
		n.lead(request.Header.Term)
	}
}

func (n *Node) voteRequest(term uint64, pre bool) VoteRequest {
	return VoteRequest{
		Header:  Header{GroupID: n.settings.GroupID, From: n.self, Term: term},
		PreVote: pre, LastIndex: n.lastIndex(), LastTerm: n.lastTerm(),
	}
}

// collect asks all voters at once and reports whether a majority grants.
func (n *Node) collect(ctx context.Context, request VoteRequest) bool {
	n.mu.Lock()
	voters := n.group.Voters
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestMillis*time.Millisecond)
	defer cancel()
	votes := make(chan bool, len(voters))
	asked := 0
	granted := 0
	for _, v := range voters {
		if v.Identity == n.self.Identity {
			granted++
			continue
		}
		asked++
		go func() { votes <- n.ask(ctx, v, request) }()
	}
	for ; asked > 0 && granted <= len(voters)/2; asked-- {
		if <-votes {
			granted++
		}
	}
	return granted > len(voters)/2
}

func (n *Node) ask(ctx context.Context, v Replica, request VoteRequest) bool {
	request.Header.ToIdentity = v.Identity
	reply, err := n.transport.Vote(ctx, v.Instance, request)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Term > n.term {
		// Also after a vote that binds nobody: otherwise a replica with the newest
		// log but an old term could never win, nor could the others.
		n.adoptTerm(reply.Term)
	}
	return reply.Granted
}

// HandleVote answers a candidate.
func (n *Node) HandleVote(r VoteRequest) VoteReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.addressed(r.Header) {
		return VoteReply{Term: n.term}
	}
	heard := time.Since(n.contact) < electionMinMillis*time.Millisecond
	if n.role == leader || (heard && n.leader.Identity != r.Header.From.Identity) {
		return VoteReply{Term: n.term}
	}
	current := r.LastTerm > n.lastTerm() || (r.LastTerm == n.lastTerm() && r.LastIndex >= n.lastIndex())
	if r.PreVote {
		return VoteReply{Term: n.term, Granted: current && r.Header.Term > n.term}
	}
	if r.Header.Term < n.term {
		return VoteReply{Term: n.term}
	}
	if r.Header.Term > n.term && !n.adoptTerm(r.Header.Term) {
		return VoteReply{Term: n.term}
	}
	if !current || (n.vote != "" && n.vote != r.Header.From.Identity) {
		return VoteReply{Term: n.term}
	}
	if !n.saveBallot(n.term, r.Header.From.Identity) {
		return VoteReply{Term: n.term}
	}
	n.resetElection()
	return VoteReply{Term: n.term, Granted: true}
}

func (n *Node) addressed(h Header) bool {
	return h.GroupID == n.settings.GroupID && h.ToIdentity == n.self.Identity && n.broken == nil
}

// saveBallot stores a term and vote before they are acted on.
func (n *Node) saveBallot(term uint64, vote string) bool {
	if n.broken != nil {
		return false
	}
	if err := n.journal.SaveHardState(journaler.HardState{Term: term, Vote: vote}); err != nil {
		n.fail(err)
		return false
	}
	n.term, n.vote = term, vote
	return true
}

// adoptTerm moves to a higher term as a follower.
func (n *Node) adoptTerm(term uint64) bool {
	if !n.saveBallot(term, "") {
		return false
	}
	n.stepDown()
	return true
}

// stepDown ends leadership or candidacy. Commands under way may still be
// applied under the next leader.
func (n *Node) stepDown() {
	if n.role == leader {
		n.leader = Replica{}
		for _, p := range n.peers {
			p.stop()
		}
		n.peers = map[string]*peer{}
		for _, p := range n.pending {
			p.outcome <- proposalOutcome{err: &NotLeaderError{}}
		}
		n.pending = nil
		for i, p := range n.waiting {
			p.outcome <- proposalOutcome{err: ErrLeadershipLost}
			delete(n.waiting, i)
		}
	}
	n.role = follower
	n.resetElection()
}

// lead begins to lead a term that was won.
func (n *Node) lead(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != candidate || n.broken != nil {
		return
	}
	n.role, n.leader = leader, n.self
	n.lastAppend = time.Now()
	n.log.Info().Uint64("term", term).Uint64("last", n.lastIndex()).Msg("leading")
	n.pending = append(n.pending, newProposal(kindEmpty, nil))
	n.syncPeers()
	signal(n.wakeJournal)
}
