package replicator

import (
	"context"
	"slices"
	"time"
)

const (
	// leaveTimeoutMillis bounds the time for which a replica that is to stop waits until
	// the group has removed it.
	leaveTimeoutMillis = 1500
	// leaveRetryDelayMillis is the delay between two attempts.
	leaveRetryDelayMillis = 50
)

// leaveGroup has the group remove this replica, which is about to stop, from its voters if
// there are more of them than the target. Otherwise the loss of another voter could cost
// the group its majority until the leader notices that this one does not reply. The
// returned error is that of a replica that cannot go on meanwhile.
func (n *Node) leaveGroup(ctx context.Context) error {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeoutMillis*time.Millisecond)
	defer cancel()
	for !n.requestRemoval(ctx) {
		select {
		case <-ctx.Done():
			return nil
		case err := <-n.failure:
			return err
		case <-time.After(leaveRetryDelayMillis * time.Millisecond):
		}
	}
	return nil
}

// requestRemoval asks the leader to remove this replica. It reports whether the replica
// need not wait any longer.
func (n *Node) requestRemoval(ctx context.Context) bool {
	n.mu.Lock()
	surplus := n.isSurplusVoter(n.self)
	leader := n.leader
	n.mu.Unlock()
	request := LeaveRequest{GroupID: n.settings.GroupID, Replica: n.self}
	switch {
	case !surplus:
		return true
	case leader.Identity == n.self.Identity:
		return n.HandleLeave(ctx, request).Done
	case leader.Instance == "":
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond)
	defer cancel()
	reply, err := n.transport.Leave(ctx, leader.Instance, request)
	return err == nil && reply.Done
}

// HandleLeave removes a voter that is about to stop, unless the group has no surplus
// voters: then the voter is to be restarted, and remains a member.
func (n *Node) HandleLeave(ctx context.Context, r LeaveRequest) LeaveReply {
	n.mu.Lock()
	var reply LeaveReply
	next, mayChange := n.membership, n.mayChangeMembership() && r.GroupID == n.settings.GroupID
	reply.Done = mayChange && !n.isSurplusVoter(r.Replica)
	n.mu.Unlock()
	if reply.Done || !mayChange {
		return reply
	}
	next.Voters = slices.DeleteFunc(slices.Clone(next.Voters), func(v Replica) bool { return v.Identity == r.Replica.Identity })
	reply.Done = n.proposeMembership(ctx, next) == nil
	return reply
}

// isSurplusVoter reports whether a replica is a voter of a group with dynamic membership
// that has more voters than its target. The caller holds mu.
func (n *Node) isSurplusVoter(r Replica) bool {
	m := n.membership
	return n.settings.DynamicMembership && len(m.Voters) > m.TargetVoters && indexOf(m.Voters, r.Identity) >= 0
}
