package replicator

import (
	"slices"
	"time"
)

// quorum returns the number of voters that an election or a commit needs. That is a
// majority. If the number of voters is even and the disk of one of them is known to be
// erased, half of the voters suffice: whatever a majority has stored or voted for before,
// at least half of the voters did so besides the erased one, and two halves of an even
// number of voters intersect if neither contains the erased one. The caller must not
// count erased voters.
func quorum(voters int, anyErased bool) int {
	if anyErased {
		return (voters + 1) / 2
	}
	return voters/2 + 1
}

// isErased reports whether a reply shows that a voter's disk was erased: another replica
// replies from the voter's instance. It does not if the other replica is a voter of
// another instance, since two instances may have exchanged their disks.
func (m Membership) isErased(voter, successor Replica) bool {
	if successor.Identity == "" || successor.Instance != voter.Instance || successor.Identity == voter.Identity {
		return false
	}
	i := indexOf(m.Voters, successor.Identity)
	return i < 0 || m.Voters[i].Instance == voter.Instance
}

// anyVoterErased reports whether the leader knows of an erased voter. The caller holds mu.
func (n *Node) anyVoterErased() bool {
	return slices.ContainsFunc(n.membership.Voters, func(v Replica) bool {
		p := n.peers[v.Identity]
		return p != nil && p.erased
	})
}

// majorityResponds reports whether a quorum of voters, including this replica, replied
// within the minimum election timeout.
func (n *Node) majorityResponds(now time.Time) bool {
	responding := 0
	for _, v := range n.membership.Voters {
		if v.Identity == n.self.Identity {
			responding++
			continue
		}
		if p, ok := n.peers[v.Identity]; ok && !p.erased && now.Sub(p.lastReply) < electionTimeoutMinMillis*time.Millisecond {
			responding++
		}
	}
	return responding >= quorum(len(n.membership.Voters), n.anyVoterErased())
}

// storedIndex returns the highest index that a quorum of voters has stored. The caller
// holds mu.
func (n *Node) storedIndex() uint64 {
	matchIndexes := make([]uint64, 0, len(n.membership.Voters))
	for _, v := range n.membership.Voters {
		switch p := n.peers[v.Identity]; {
		case v.Identity == n.self.Identity:
			matchIndexes = append(matchIndexes, n.lastIndex())
		case p != nil && !p.erased:
			matchIndexes = append(matchIndexes, p.matchIndex)
		default:
			matchIndexes = append(matchIndexes, 0)
		}
	}
	slices.Sort(matchIndexes)
	return matchIndexes[len(matchIndexes)-quorum(len(matchIndexes), n.anyVoterErased())]
}
