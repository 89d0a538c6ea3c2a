package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
)

// newDynamicGroup returns a group with dynamic membership. All its instances are
// initial members, and the first three are the seed instances.
func newDynamicGroup(seed uint64, names ...figseam.InstanceID) *group {
	g := newGroup(seed, names...)
	g.seedInstances = names[:min(3, len(names))]
	g.initialMembers = map[figseam.InstanceID]bool{}
	for _, n := range names {
		g.initialMembers[n] = true
	}
	return g
}

// addInstance starts an additional instance with an empty disk.
func (g *group) addInstance(t require.TestingT, name figseam.InstanceID) {
	g.mu.Lock()
	g.voters = append(slices.Clone(g.voters), name)
	g.replicas[name] = &replica{name: name, disk: emulator.NewDisk()}
	g.mu.Unlock()
	g.start(t, name)
}

// removeInstance stops an instance permanently.
func (g *group) removeInstance(name figseam.InstanceID) {
	g.crash(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.voters = slices.DeleteFunc(slices.Clone(g.voters), func(v figseam.InstanceID) bool { return v == name })
}

// stop stops a replica as planned. Its disk keeps all writes.
func (g *group) stop(name figseam.InstanceID) {
	r := g.replicas[name]
	r.stop()
	r.err = <-r.ended
	g.mu.Lock()
	defer g.mu.Unlock()
	r.node = nil
}

// stopInstance stops an instance as planned and permanently.
func (g *group) stopInstance(name figseam.InstanceID) {
	g.stop(name)
	g.removeInstance(name)
}

// split cuts all links between a part of the group and the rest.
func (g *group) split(part []figseam.InstanceID) {
	for _, a := range part {
		for _, b := range g.voters {
			if !slices.Contains(part, b) {
				g.setLinkCut(a, b, true)
			}
		}
	}
}

// loseDisk crashes an instance and starts it again with an empty disk, at once or after
// some seconds.
func (g *group) loseDisk(t require.TestingT, name figseam.InstanceID, pause bool) {
	g.crash(name)
	if pause {
		time.Sleep(3 * time.Second)
	}
	g.initialMembers[name] = false
	g.replicas[name].disk = emulator.NewDisk()
	g.start(t, name)
}

// follower returns a replica that does not lead.
func (g *group) follower() *replica {
	l := g.leader()
	for _, n := range g.voters {
		if n != l.name {
			return g.replicas[n]
		}
	}
	return nil
}

// propose retries a command until the leader has applied it.
func (g *group) propose(t require.TestingT, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := g.awaitLeader(t).node.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte(command)}); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.FailNow(t, "a command was not applied within 20 s")
}

func TestAllInitialMembersBecomeVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDynamicGroup(1, "a", "b", "c", "d", "e", "f")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		require.Equal(t, 6, g.leader().node.Status().Membership.TargetVoters)
	})
}

// TestOnlyInitialMembersBootstrap guards against a second group: instances whose
// disks were erased would bootstrap one if they could not reach the existing group.
func TestOnlyInitialMembersBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDynamicGroup(1, "a", "b", "c")
		g.initialMembers = map[figseam.InstanceID]bool{}
		g.startAll(t)
		defer g.stopAll()
		time.Sleep(20 * time.Second)
		require.Nil(t, g.leader())
	})
}

// TestReplacedVoterIsRemovedBeforeASecondLoss replaces an instance by one with
// another ID and then crashes a second instance. If the replaced instance were still a
// voter, the group would have no majority.
func TestReplacedVoterIsRemovedBeforeASecondLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDynamicGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		g.propose(t, "before")
		g.removeInstance("a")
		g.addInstance(t, "x")
		time.Sleep(4 * time.Second)
		g.crash("b")
		g.propose(t, "after")
		require.Equal(t, []string{"before", "after"}, g.leader().log.all())
	})
}

// TestDiskLostRightAfterReplacement guards against a group without a leader for good: a
// voter that a new one has replaced ends, and another voter loses its disk before the
// first one is removed. The two voters that are left hold all confirmed commands.
func TestDiskLostRightAfterReplacement(t *testing.T) {
	tests := []struct {
		name         string
		voters       []figseam.InstanceID
		disksLost    int
		withoutPause bool
	}{
		{"three voters", []figseam.InstanceID{"a", "b", "c"}, 1, false},
		{"three voters, no pause", []figseam.InstanceID{"a", "b", "c"}, 1, true},
		{"five voters", []figseam.InstanceID{"a", "b", "c", "d", "e"}, 2, false},
		{"five voters, no pause", []figseam.InstanceID{"a", "b", "c", "d", "e"}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newDynamicGroup(1, tt.voters...)
				g.startAll(t)
				defer g.stopAll()
				g.awaitSettled(t)
				g.addInstance(t, "x")
				g.awaitSettled(t)
				g.propose(t, "before")
				g.removeInstance(g.leader().name)
				g.propose(t, "after")
				for range tt.disksLost {
					g.loseDisk(t, g.awaitLeader(t).name, !tt.withoutPause)
				}
				g.propose(t, "last")
				require.Equal(t, []string{"before", "after", "last"}, g.leader().log.all())
				g.awaitSettled(t)
			})
		})
	}
}

// TestStoppedVoterLeavesGroup guards against a group that needs the vote of an instance
// that was stopped for good: it is stopped after a new one has joined, and another voter
// crashes right after that.
func TestStoppedVoterLeavesGroup(t *testing.T) {
	for _, stopsLeader := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader %t", stopsLeader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newDynamicGroup(1, "a", "b", "c")
				g.startAll(t)
				defer g.stopAll()
				g.awaitSettled(t)
				g.addInstance(t, "x")
				g.awaitSettled(t)
				g.propose(t, "before")
				stopped, crashed := g.leader().name, g.follower().name
				if !stopsLeader {
					stopped, crashed = crashed, stopped
				}
				g.stopInstance(stopped)
				g.crash(crashed)
				g.propose(t, "after")
				require.Equal(t, []string{"before", "after"}, g.leader().log.all())
			})
		})
	}
}

// TestRestartedVoterStaysInGroup stops the voters of a group without surplus voters one
// after the other, as for a new version, and checks that none is removed.
func TestRestartedVoterStaysInGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDynamicGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		for _, n := range g.voters {
			g.stop(n)
			require.Len(t, g.awaitLeader(t).node.Status().Membership.Voters, 3)
			g.start(t, n)
			g.awaitSettled(t)
		}
	})
}

// TestErasedVotersDoNotSplitGroup replaces and erases voters of groups of all sizes while the
// group is cut in two at random, and checks that no confirmed command is lost and no two
// leaders confirm different commands.
func TestErasedVotersDoNotSplitGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			names := []figseam.InstanceID{"a", "b", "c", "d", "e", "f"}[:rapid.IntRange(3, 6).Draw(t, "voters")]
			g := newDynamicGroup(rapid.Uint64().Draw(t, "seed"), names...)
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			h := &proposalHistory{}
			for i := range rapid.IntRange(1, 3).Draw(t, "replacements") {
				g.addInstance(t, figseam.InstanceID(fmt.Sprintf("x%d", i)))
				g.awaitSettled(t)
				if rapid.Bool().Draw(t, "removes") {
					g.removeInstance(rapid.SampledFrom(g.voters).Draw(t, "removed"))
				}
				g.split(rapid.SliceOfNDistinct(rapid.SampledFrom(g.voters), 1, len(g.voters)/2, rapid.ID[figseam.InstanceID]).Draw(t, "part"))
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "split ms")) * time.Millisecond)
				h.proposeToLeaders(g)
				for range (len(names) - 1) / 2 {
					time.Sleep(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
					h.proposeToLeaders(g)
					g.loseDisk(t, rapid.SampledFrom(g.voters).Draw(t, "erased"), rapid.Bool().Draw(t, "pause"))
				}
				h.proposeToLeaders(g)
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				g.heal(t)
				h.inFlight.Wait()
				g.awaitSettled(t)
			}
			h.check(t, g.leader().log.all())
		})
	})
}

// TestRemovedVoterRejoins isolates a voter until the leader has removed it, and checks
// that it becomes a voter again although it never received the entry that removed it.
func TestRemovedVoterRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDynamicGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		g.addInstance(t, "x")
		g.setIsolated("a", true)
		time.Sleep(6 * time.Second)
		require.Len(t, g.awaitLeader(t).node.Status().Membership.Voters, 3)
		g.setIsolated("a", false)
		g.awaitSettled(t)
		require.Len(t, g.leader().node.Status().Membership.Voters, 4)
	})
}

// TestDynamicGroupKeepsConfirmedCommands erases, replaces, restarts and isolates
// instances, one at a time, and checks that no confirmed command is lost.
func TestDynamicGroupKeepsConfirmedCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			g := newDynamicGroup(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			var confirmed []string
			for i := range rapid.IntRange(2, 8).Draw(t, "steps") {
				command := fmt.Sprintf("command %d", i)
				g.propose(t, command)
				confirmed = append(confirmed, command)
				victim := g.voters[rapid.IntRange(0, len(g.voters)-1).Draw(t, "victim")]
				switch rapid.SampledFrom([]string{"wipe", "replace", "crash", "isolate"}).Draw(t, "what") {
				case "wipe":
					g.crash(victim)
					g.initialMembers[victim] = false
					g.replicas[victim].disk = emulator.NewDisk()
					g.start(t, victim)
				case "replace":
					g.removeInstance(victim)
					g.addInstance(t, figseam.InstanceID(fmt.Sprintf("x%d-%d", i, rand.IntN(1000))))
				case "crash":
					g.crash(victim)
					g.initialMembers[victim] = false
					g.start(t, victim)
				case "isolate":
					g.setIsolated(victim, true)
					time.Sleep(3 * time.Second)
					g.setIsolated(victim, false)
				}
				time.Sleep(4 * time.Second)
			}
			require.Subset(t, g.awaitLeader(t).log.all(), confirmed)
		})
	})
}

// TestMembershipThatWasReadDoesNotChange guards against a membership that is decoded into the
// memory of an earlier one, which other goroutines still read.
func TestMembershipThatWasReadDoesNotChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newDynamicGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		g.addInstance(t, "x")
		g.awaitSettled(t)
		for i := range 20 {
			g.propose(t, fmt.Sprint(i))
		}
		restarted := g.follower().name
		g.crash(restarted)
		g.initialMembers[restarted] = false
		g.start(t, restarted)
		read := g.replicas[restarted].node.Status().Membership.Voters
		before := slices.Clone(read)
		require.Len(t, before, 4)
		g.stopInstance(before[0].Instance)
		time.Sleep(5 * time.Second)
		require.Len(t, g.awaitLeader(t).node.Status().Membership.Voters, 3)
		require.Equal(t, before, read)
	})
}
