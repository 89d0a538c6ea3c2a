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
