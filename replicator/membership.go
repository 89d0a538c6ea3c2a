package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

const (
	// membershipCheckIntervalMillis is the interval between two checks of the group's
	// membership.
	membershipCheckIntervalMillis = 150
	// maxCaughtUpLagEntries is the greatest lag behind the leader's log at which a
	// learner may become a voter.
	maxCaughtUpLagEntries = 16
	// unresponsiveVoterMillis is the time without replies after which a surplus voter
	// is removed.
	unresponsiveVoterMillis = 900
)

// maintainMembership bootstraps or joins a group while the replica is not a member or
// may have been removed, and changes the group's membership while the replica is the
// leader.
func (n *Node) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(membershipCheckIntervalMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		leaving := n.leaving
		notMember := indexOf(n.membership.Voters, n.self.Identity) < 0 && indexOf(n.membership.Learners, n.self.Identity) < 0
		isLeader := n.role == leader
		// A replica that was removed while it was isolated has not received the entry
		// that removed it.
		maybeRemoved := n.settings.DynamicMembership && time.Since(n.lastLeaderContact) > unresponsiveVoterMillis*time.Millisecond
		n.mu.Unlock()
		switch {
		case isLeader:
			n.reconcileMembership(ctx)
		case leaving:
		case notMember || maybeRemoved:
			n.discoverGroup(ctx)
		}
	}
}

// discoverGroup queries the instances that may belong to the group. If one of them
// does, this replica sends a join request. If all are reachable and uninitialized, the
// one with the lowest instance ID bootstraps the group.
func (n *Node) discoverGroup(ctx context.Context) {
	uninitialized := []Replica{n.self}
	allUninitialized := true
	for _, instance := range n.discoveryInstances() {
		if instance == n.settings.Instance {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond)
		status, err := n.transport.Status(requestCtx, instance, StatusRequest{GroupID: n.settings.GroupID})
		cancel()
		switch {
		case err != nil:
			allUninitialized = false
		case !status.Uninitialized:
			allUninitialized = false
			if n.join(ctx, instance, status) {
				return
			}
		default:
			uninitialized = append(uninitialized, status.Self)
		}
	}
	if allUninitialized && n.mayBootstrap() {
		n.bootstrapGroup(uninitialized)
	}
}

// discoveryInstances returns the instances to query for the group: those of the
// settings and, with dynamic membership, those of the last known voters.
func (n *Node) discoveryInstances() []figseam.InstanceID {
	instances := slices.Clone(n.settings.Voters)
	if !n.settings.DynamicMembership {
		return instances
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.membership.Voters {
		if !slices.Contains(instances, v.Instance) {
			instances = append(instances, v.Instance)
		}
	}
	return instances
}

// mayBootstrap reports whether this replica is the one that bootstraps the group:
// the configured voter with the lowest instance ID. With dynamic membership it must
// also be an initial member.
func (n *Node) mayBootstrap() bool {
	if n.settings.DynamicMembership && !n.settings.InitialMember {
		return false
	}
	return slices.Contains(n.settings.Voters, n.settings.Instance) && n.settings.Instance == slices.Min(n.settings.Voters)
}

// join sends a join request to the leader that an instance reports, or to the
// instance itself if it reports none. It reports whether the replica is a member
// afterwards.
func (n *Node) join(ctx context.Context, instance figseam.InstanceID, status StatusReply) bool {
	if status.Leader.Instance != "" {
		instance = status.Leader.Instance
	}
	if instance == n.settings.Instance {
		return false
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond)
	defer cancel()
	request := JoinRequest{GroupID: n.settings.GroupID, Replica: n.self, InitialMember: n.settings.InitialMember && n.isUninitialized()}
	reply, err := n.transport.Join(requestCtx, instance, request)
	return err == nil && reply.Accepted
}

func (n *Node) isUninitialized() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.uninitializedLocked()
}

// bootstrapGroup writes the first entry, a membership of the given voters. The other
// voters can vote before they receive it: the entry names them by the identities
// that they reported, and they have not voted yet.
func (n *Node) bootstrapGroup(voters []Replica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.uninitializedLocked() || n.stopCause != nil {
		return
	}
	command, err := cbor.Marshal(Membership{Voters: voters, TargetVoters: len(voters)})
	if err != nil {
		return
	}
	e := journaler.Entry{Index: 1, Term: n.term, Kind: kindMembership, Command: command}
	if !n.stored(n.journal.Append(0, []journaler.Entry{e})) {
		return
	}
	n.entries = append(n.entries, e)
	n.recordAppended(e)
	n.log.Info().Int("voters", len(voters)).Msg("bootstrapped the group")
}

// HandleJoin adds a new replica to the group as a learner, in place of an earlier
// learner on the same instance. The request is accepted if the replica is a member
// already or the membership change was committed.
func (n *Node) HandleJoin(ctx context.Context, r JoinRequest) JoinReply {
	n.mu.Lock()
	reply := JoinReply{Leader: n.leader.Instance}
	isMember := indexOf(n.membership.Voters, r.Replica.Identity) >= 0 || indexOf(n.membership.Learners, r.Replica.Identity) >= 0
	next, mayAdd := n.membership, n.mayChangeMembership() && r.GroupID == n.settings.GroupID
	n.mu.Unlock()
	if isMember || !mayAdd {
		reply.Accepted = isMember
		return reply
	}
	next.Learners = slices.DeleteFunc(slices.Clone(next.Learners), func(l Replica) bool { return l.Instance == r.Replica.Instance })
	next.Learners = append(next.Learners, r.Replica)
	if n.settings.DynamicMembership && r.InitialMember {
		next.TargetVoters++
	}
	reply.Accepted = n.proposeMembership(ctx, next) == nil
	return reply
}

// mayChangeMembership reports whether the membership may change now: this replica is
// the leader, and both an entry of its term and the last change are committed. The
// caller holds mu.
func (n *Node) mayChangeMembership() bool {
	term, ok := n.termAt(n.commitIndex)
	return n.role == leader && n.stopCause == nil && ok && term == n.term && n.membershipIndex <= n.commitIndex
}

func (n *Node) proposeMembership(ctx context.Context, m Membership) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	n.log.Info().Interface("group", m).Msg("changing the membership")
	ctx, cancel := context.WithTimeout(ctx, electionTimeoutMaxMillis*time.Millisecond)
	defer cancel()
	_, err = n.propose(ctx, newProposal(kindMembership, body))
	return err
}

// reconcileMembership changes the membership step by step until nextMembership
// returns no further change. The steps follow each other without a delay: between
// the promotion of a learner and the removal of the voter that it replaces, the loss
// of one more voter could cost the group its majority.
func (n *Node) reconcileMembership(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		next, changed := n.membership, false
		if n.mayChangeMembership() {
			next, changed = n.nextMembership()
		}
		n.mu.Unlock()
		if !changed || n.proposeMembership(ctx, next) != nil {
			return
		}
	}
}

// nextMembership returns the next step towards the target membership, and whether it
// changes anything: the removal of a replaced voter, the promotion of a learner that
// has caught up, or the removal of an unresponsive voter. A voter is replaced when
// its instance has another voter with a newer identity, which comes later in the
// list. The caller holds mu.
func (n *Node) nextMembership() (Membership, bool) {
	next := Membership{Voters: slices.Clone(n.membership.Voters), Learners: slices.Clone(n.membership.Learners), TargetVoters: n.membership.TargetVoters}
	for i, v := range next.Voters {
		replaced := slices.ContainsFunc(next.Voters[i+1:], func(newer Replica) bool { return newer.Instance == v.Instance })
		if replaced {
			next.Voters = slices.Delete(next.Voters, i, i+1)
			return next, true
		}
	}
	for i, l := range next.Learners {
		p := n.peers[l.Identity]
		caughtUp := p != nil && p.matchIndex > 0 && p.matchIndex+maxCaughtUpLagEntries >= n.lastIndex() &&
			time.Since(p.lastReply) < electionTimeoutMinMillis*time.Millisecond
		if caughtUp && (n.settings.DynamicMembership || slices.Contains(n.settings.Voters, l.Instance)) {
			next.Learners = slices.Delete(next.Learners, i, i+1)
			next.Voters = append(next.Voters, l)
			return next, true
		}
	}
	return n.withoutUnresponsiveVoter(next)
}

// withoutUnresponsiveVoter removes one unresponsive voter from a group with dynamic
// membership that has more voters than its target. The removed replica joins again
// once it reaches the group. The caller holds mu.
func (n *Node) withoutUnresponsiveVoter(m Membership) (Membership, bool) {
	if !n.settings.DynamicMembership || len(m.Voters) <= m.TargetVoters {
		return m, false
	}
	for i, v := range m.Voters {
		p := n.peers[v.Identity]
		if p == nil || time.Since(p.lastReply) < unresponsiveVoterMillis*time.Millisecond {
			continue
		}
		m.Voters = slices.Delete(m.Voters, i, i+1)
		return m, true
	}
	return m, false
}
