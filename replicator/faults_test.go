package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/deduplicator"
	"github.com/figseam/figseam/replicator"
)

// withSettledGroup runs a test in virtual time on a settled group of three replicas.
func withSettledGroup(t *testing.T, test func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		test(t, g)
	})
}

func propose(n *replicator.Node, command string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := n.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte(command)})
	return err
}

// TestIsolatedLeaderStepsDown isolates the leader for three hours. Its requests are lost
// without an error, so it can detect the isolation only by the missing replies.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		former := g.awaitLeader(t)
		g.setIsolated(former.name, true)
		require.Error(t, propose(former.node, "lost"), "a command must not be committed without a majority")
		require.ErrorIs(t, propose(former.node, "refused"), figseam.ErrNotProposed)
		time.Sleep(3 * time.Hour)
		next := g.awaitLeader(t)
		require.NotEqual(t, former.name, next.name)
		term := next.node.Status().Term
		require.NoError(t, propose(next.node, "kept"))
		g.setIsolated(former.name, false)
		g.awaitSettled(t)
		require.Equal(t, term, next.node.Status().Term, "the former leader must not depose its successor when it reconnects")
		require.Equal(t, []string{"kept"}, former.log.all())
	})
}

// TestGroupSurvivesLossOfEachDiskInTurn erases the disks one after another, each as
// soon as the replica of the previous one has been replaced.
func TestGroupSurvivesLossOfEachDiskInTurn(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		for i := range 40 {
			require.NoError(t, propose(g.awaitLeader(t).node, fmt.Sprint(i)))
		}
		want := g.awaitLeader(t).log.all()
		for _, name := range []figseam.InstanceID{"a", "b", "c"} {
			g.crash(name)
			g.replicas[name].disk.Erase()
			g.start(t, name)
			g.awaitSettled(t)
		}
		require.Equal(t, want, g.awaitLeader(t).log.all())
	})
}

// TestErasedMajorityDoesNotBootstrap guards against a new group of two replicas with
// erased disks while the third replica still holds the data of the old group.
func TestErasedMajorityDoesNotBootstrap(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		require.NoError(t, propose(g.awaitLeader(t).node, "kept"))
		g.awaitSettled(t)
		for _, name := range []figseam.InstanceID{"a", "b"} {
			g.crash(name)
			g.replicas[name].disk.Erase()
			g.start(t, name)
		}
		time.Sleep(time.Hour)
		require.Nil(t, g.leader(), "no replica may lead without a majority")
		require.True(t, g.replicas["a"].node.Status().Uninitialized)
		require.Equal(t, []string{"kept"}, g.replicas["c"].log.all())
	})
}

// TestErasedReplicaDoesNotVoteAsItsPredecessor erases the disk of one of the two
// replicas that hold the newest entries, while the third one lags behind. If the
// replica on the erased disk voted for the third one, a confirmed command would be
// lost.
func TestErasedReplicaDoesNotVoteAsItsPredecessor(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		l := g.awaitLeader(t)
		var others []figseam.InstanceID
		for _, n := range g.voters {
			if n != l.name {
				others = append(others, n)
			}
		}
		erased, lagging := others[0], others[1]
		g.setIsolated(lagging, true)
		require.NoError(t, propose(l.node, "kept"))
		g.setIsolated(l.name, true)
		g.crash(erased)
		g.replicas[erased].disk.Erase()
		g.setLinkCut(erased, lagging, false)
		g.start(t, erased)
		time.Sleep(10 * time.Minute)
		require.NotEqual(t, "leader", g.replicas[lagging].node.Status().Role)
		g.heal(t)
		g.awaitSettled(t)
		require.Equal(t, []string{"kept"}, g.replicas[lagging].log.all())
	})
}

// TestLeaderStepsDownOnRejectedSnapshot gives a replica that lies behind the start of
// the leader's log a later term, as a vote for a failed candidate does. It rejects the
// leader's snapshots, so the leader has to learn the term from the rejection.
func TestLeaderStepsDownOnRejectedSnapshot(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		l := g.awaitLeader(t)
		lagging := g.replicas[g.voters[0]]
		if lagging == l {
			lagging = g.replicas[g.voters[1]]
		}
		g.setIsolated(lagging.name, true)
		for i := range 40 {
			require.NoError(t, propose(g.awaitLeader(t).node, fmt.Sprint(i)))
		}
		laterTerm := l.node.Status().Term + 5
		lagging.node.HandleVote(replicator.VoteRequest{
			Header: replicator.Header{ToIdentity: lagging.node.Self().Identity, From: l.node.Self(), Term: laterTerm},
		})
		require.Equal(t, laterTerm, lagging.node.Status().Term)
		g.setIsolated(lagging.name, false)
		g.awaitSettled(t)
		require.GreaterOrEqual(t, g.awaitLeader(t).node.Status().Term, laterTerm)
		require.Len(t, lagging.log.all(), 40)
	})
}

// sendCounter counts how often each key was sent to the endpoint.
type sendCounter struct {
	mu         sync.Mutex
	countByKey map[string]int
}

func (s *sendCounter) record(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countByKey[key]++
}

// sendUnderClaim claims a key and records a send, in the way package forwarder does.
func (s *sendCounter) sendUnderClaim(d *deduplicator.Deduplicator, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	claim, stored, err := d.Claim(ctx, key, [32]byte{})
	if err != nil || stored != nil {
		return
	}
	if claim.SendDeadline.Passed() {
		_ = d.Release(ctx, claim)
		return
	}
	s.record(key)
	_ = d.Complete(ctx, claim, figseam.StoredResponse{Status: 200, Body: []byte(key)})
}

// TestClaimsOverGroupSendAtMostOnce makes calls through every replica while links are
// cut and replicas crash, and checks that no request is sent to the endpoint twice.
func TestClaimsOverGroupSendAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			g := newGroup(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
			g.newMachines = func() []figseam.StateMachine { return []figseam.StateMachine{deduplicator.NewStateMachine()} }
			g.lossRate = 0.05
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			sends := &sendCounter{countByKey: map[string]int{}}
			var calls sync.WaitGroup
			name := rapid.SampledFrom(g.voters)
			t.Repeat(map[string]func(*rapid.T){
				"call": func(t *rapid.T) {
					n := name.Draw(t, "name")
					r := g.replicas[n]
					key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
					if r.node == nil {
						return
					}
					client := replicator.NewClient(r.node, link{g, n}, g.voterNames)
					d := deduplicator.New(n, client, func(figseam.InstanceID) bool { return false })
					calls.Go(func() { sends.sendUnderClaim(d, key) })
				},
				"wait":    func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
				"isolate": func(t *rapid.T) { g.setIsolated(name.Draw(t, "name"), true) },
				"crash":   func(t *rapid.T) { g.crash(name.Draw(t, "name")) },
				"mend":    func(t *rapid.T) { g.heal(t) },
			})
			calls.Wait()
			for key, n := range sends.countByKey {
				require.LessOrEqual(t, n, 1, "key %s was sent more than once", key)
			}
		})
	})
}

// TestClientWithoutReplicaFindsLeader proposes from an instance without a replica
// while the leader crashes repeatedly.
func TestClientWithoutReplicaFindsLeader(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		client := replicator.NewClient(nil, link{g, "outside"}, g.voterNames)
		for i := range 5 {
			l := g.awaitLeader(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			result, err := client.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte(fmt.Sprint(i))})
			cancel()
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint(i), string(result))
			g.crash(l.name)
			time.Sleep(5 * time.Second)
			g.heal(t)
			g.awaitSettled(t)
		}
	})
}

// TestProposalWithoutMajorityFails proposes a command while every replica is
// isolated.
func TestProposalWithoutMajorityFails(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		for _, n := range g.voters {
			g.setIsolated(n, true)
		}
		time.Sleep(5 * time.Second)
		client := replicator.NewClient(g.replicas["b"].node, link{g, "b"}, g.voterNames)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := client.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte("x")})
		require.Error(t, err)
		require.True(t, errors.Is(err, figseam.ErrNotProposed) || errors.Is(err, context.DeadlineExceeded), "%v", err)
	})
}

// TestStoppedLeaderDelaysNoCommandPastElection guards against commands that wait for a
// stopped leader although their instance knows the next one.
func TestStoppedLeaderDelaysNoCommandPastElection(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		l := g.awaitLeader(t)
		from := g.follower()
		client := replicator.NewClient(from.node, link{g, from.name}, g.voterNames)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var commands sync.WaitGroup
		confirmedAt := make(chan time.Time, 1000)
		propose := func() {
			_, err := client.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte("x")})
			require.NoError(t, err)
			confirmedAt <- time.Now()
		}
		g.setIsolated(l.name, true)
		leaderKnown := func() bool {
			s := from.node.Status().Leader.Instance
			return s != "" && s != l.name
		}
		for !leaderKnown() {
			commands.Go(propose)
			time.Sleep(20 * time.Millisecond)
		}
		known := time.Now()
		commands.Wait()
		close(confirmedAt)
		for at := range confirmedAt {
			require.Less(t, at.Sub(known), 400*time.Millisecond, "a command waited for the stopped leader")
		}
	})
}
