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
	// maintainMillis is how often the group's membership is looked at.
	maintainMillis = 150
	// caughtUpEntries is how far a learner may be behind when it becomes a voter.
	caughtUpEntries = 16
	// silentVoterMillis is how long a voter that others may replace must have been
	// silent before it is removed.
	silentVoterMillis = 900
)

// maintainGroup founds or joins a group while the replica is fresh, and changes
// the group's members while it leads.
func (n *Node) maintainGroup(ctx context.Context) {
	ticker := time.NewTicker(maintainMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		outside := indexOf(n.group.Voters, n.self.Identity) < 0 && indexOf(n.group.Learners, n.self.Identity) < 0
		leading := n.role == leader
		// A replica that was removed while it was cut off does not know of it.
		forgotten := n.settings.DynamicMembership && time.Since(n.contact) > silentVoterMillis*time.Millisecond
		n.mu.Unlock()
		switch {
		case leading:
			n.changeGroup(ctx)
		case outside || forgotten:
			n.findGroup(ctx)
		}
	}
}

// findGroup asks the instances where the group may be: if it exists there, this
// replica asks to be taken in; if all are fresh, the one with the lowest name
// founds the group.
func (n *Node) findGroup(ctx context.Context) {
	found := []Replica{n.self}
	complete := true
	for _, instance := range n.whereToLook() {
		if instance == n.settings.Instance {
			continue
		}
		call, cancel := context.WithTimeout(ctx, requestMillis*time.Millisecond)
		status, err := n.transport.Status(call, instance, StatusRequest{GroupID: n.settings.GroupID})
		cancel()
		switch {
		case err != nil:
			complete = false
		case !status.Uninitialized:
			complete = false
			if n.join(ctx, instance, status) {
				return
			}
		default:
			found = append(found, status.Self)
		}
	}
	if complete && n.isFounder() {
		n.foundGroup(found)
	}
}

// whereToLook returns the instances of the settings and those of the last group
// that this replica knew.
func (n *Node) whereToLook() []figseam.InstanceID {
	look := slices.Clone(n.settings.Voters)
	if !n.settings.DynamicMembership {
		return look
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.group.Voters {
		if !slices.Contains(look, v.Instance) {
			look = append(look, v.Instance)
		}
	}
	return look
}

func (n *Node) isFounder() bool {
	if n.settings.DynamicMembership && !n.settings.InitialMember {
		return false
	}
	return slices.Contains(n.settings.Voters, n.settings.Instance) && n.settings.Instance == slices.Min(n.settings.Voters)
}

// join asks the leader that an instance knows of. It reports whether this
// replica was taken in.
func (n *Node) join(ctx context.Context, instance figseam.InstanceID, status StatusReply) bool {
	if status.Leader.Instance != "" {
		instance = status.Leader.Instance
	}
	if instance == n.settings.Instance {
		return false
	}
	call, cancel := context.WithTimeout(ctx, requestMillis*time.Millisecond)
	defer cancel()
	request := JoinRequest{GroupID: n.settings.GroupID, Replica: n.self, InitialMember: n.settings.InitialMember && n.isFresh()}
	reply, err := n.transport.Join(call, instance, request)
	return err == nil && reply.Accepted
}

func (n *Node) isFresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fresh()
}

// foundGroup writes the first entry. The others need not have it to vote: they
// are named in it by the identities that they gave, and hold no vote yet.
func (n *Node) foundGroup(voters []Replica) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.fresh() || n.broken != nil {
		return
	}
	command, err := cbor.Marshal(Membership{Voters: voters, TargetVoters: len(voters)})
	if err != nil {
		return
	}
	e := journaler.Entry{Index: 1, Term: n.term, Kind: kindGroup, Command: command}
	if err := n.journal.Append(0, []journaler.Entry{e}); err != nil {
		n.fail(err)
		return
	}
	n.entries = append(n.entries, e)
	n.noteEntry(e)
	n.log.Info().Int("voters", len(voters)).Msg("founded a group")
}

// HandleJoin takes a new replica in as a learner.
func (n *Node) HandleJoin(ctx context.Context, r JoinRequest) JoinReply {
	n.mu.Lock()
	reply := JoinReply{Leader: n.leader.Instance}
	known := indexOf(n.group.Voters, r.Replica.Identity) >= 0 || indexOf(n.group.Learners, r.Replica.Identity) >= 0
	next, ok := n.group, n.mayChange() && r.GroupID == n.settings.GroupID
	n.mu.Unlock()
	if known || !ok {
		reply.Accepted = known
		return reply
	}
	next.Learners = slices.DeleteFunc(slices.Clone(next.Learners), func(o Replica) bool { return o.Instance == r.Replica.Instance })
	next.Learners = append(next.Learners, r.Replica)
	if n.settings.DynamicMembership && r.InitialMember {
		next.TargetVoters++
	}
	reply.Accepted = n.proposeGroup(ctx, next) == nil
	return reply
}

// mayChange reports whether the group may be changed now: this replica leads,
// an entry of its term is committed, and so is the last change.
func (n *Node) mayChange() bool {
	term, ok := n.termAt(n.commit)
	return n.role == leader && n.broken == nil && ok && term == n.term && n.groupIndex <= n.commit
}

func (n *Node) proposeGroup(ctx context.Context, g Membership) error {
	body, err := cbor.Marshal(g)
	if err != nil {
		return err
	}
	n.log.Info().Interface("group", g).Msg("changing the group")
	ctx, cancel := context.WithTimeout(ctx, electionMaxMillis*time.Millisecond)
	defer cancel()
	_, err = n.propose(ctx, newProposal(kindGroup, body))
	return err
}

// changeGroup changes the group one step after another until it is as wanted:
// between a learner's promotion and the removal of the voter that it replaces,
// one more loss could cost the majority, so the steps follow at once.
func (n *Node) changeGroup(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		next, changed := n.group, false
		if n.mayChange() {
			next, changed = n.nextGroup()
		}
		n.mu.Unlock()
		if !changed || n.proposeGroup(ctx, next) != nil {
			return
		}
	}
}

// nextGroup returns the next group on the way to the wanted one. A voter is
// replaced when its instance has another voter with a newer identity, which
// stands behind it in the list.
func (n *Node) nextGroup() (Membership, bool) {
	g := Membership{Voters: slices.Clone(n.group.Voters), Learners: slices.Clone(n.group.Learners), TargetVoters: n.group.TargetVoters}
	for i, v := range g.Voters {
		newer := slices.ContainsFunc(g.Voters[i+1:], func(o Replica) bool { return o.Instance == v.Instance })
		if newer {
			g.Voters = slices.Delete(g.Voters, i, i+1)
			return g, true
		}
	}
	for i, l := range g.Learners {
		p := n.peers[l.Identity]
		caughtUp := p != nil && p.match > 0 && p.match+caughtUpEntries >= n.lastIndex() &&
			time.Since(p.answered) < electionMinMillis*time.Millisecond
		if caughtUp && (n.settings.DynamicMembership || slices.Contains(n.settings.Voters, l.Instance)) {
			g.Learners = slices.Delete(g.Learners, i, i+1)
			g.Voters = append(g.Voters, l)
			return g, true
		}
	}
	return n.withoutSilentVoter(g)
}

// withoutSilentVoter removes a voter that does not answer from an open group
// that has more voters than it is meant to have. The removed replica joins again
// should it come back.
func (n *Node) withoutSilentVoter(g Membership) (Membership, bool) {
	if !n.settings.DynamicMembership || len(g.Voters) <= g.TargetVoters {
		return g, false
	}
	for i, v := range g.Voters {
		p := n.peers[v.Identity]
		if p == nil || time.Since(p.answered) < silentVoterMillis*time.Millisecond {
			continue
		}
		g.Voters = slices.Delete(g.Voters, i, i+1)
		return g, true
	}
	return g, false
}
