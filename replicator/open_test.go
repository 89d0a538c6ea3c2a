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

// newOpenGroup returns a group of which the first three are seeds and all start
// with the whole system.
func newOpenGroup(seed uint64, names ...figseam.InstanceID) *group {
	g := newGroup(seed, names...)
	g.seeds = names[:min(3, len(names))]
	g.first = map[figseam.InstanceID]bool{}
	for _, n := range names {
		g.first[n] = true
	}
	return g
}

// add starts an instance with an empty disk that is not there from the start.
func (g *group) add(t require.TestingT, name figseam.InstanceID) {
	g.mu.Lock()
	g.voters = append(slices.Clone(g.voters), name)
	g.replicas[name] = &replica{name: name, disk: emulator.NewDisk()}
	g.mu.Unlock()
	g.start(t, name)
}

// remove ends an instance for good.
func (g *group) remove(name figseam.InstanceID) {
	g.crash(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.voters = slices.DeleteFunc(slices.Clone(g.voters), func(n figseam.InstanceID) bool { return n == name })
}

func (g *group) propose(t require.TestingT, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := g.awaitLeader(t).node.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte(text)}); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.FailNow(t, "a command was not applied within 20 s")
}

func TestOpenGroupTakesInAllWhoStartWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGroup(1, "a", "b", "c", "d", "e", "f")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		require.Equal(t, 6, g.leader().node.Status().Membership.TargetVoters)
	})
}

// TestOnlyTheFirstStartFounds holds that emptied instances do not found a second
// group beside one that they cannot see.
func TestOnlyTheFirstStartFounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGroup(1, "a", "b", "c")
		g.first = map[figseam.InstanceID]bool{}
		g.startAll(t)
		defer g.stopAll()
		time.Sleep(20 * time.Second)
		require.Nil(t, g.leader())
	})
}

// TestReplacedVoterLeavesBeforeASecondLoss replaces an instance by one at another
// address; soon after, one of the others may be lost too.
func TestReplacedVoterLeavesBeforeASecondLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		g.propose(t, "before")
		g.remove("a")
		g.add(t, "x")
		time.Sleep(4 * time.Second)
		g.crash("b")
		g.propose(t, "after")
		require.Equal(t, []string{"before", "after"}, g.leader().ledger.all())
	})
}

// TestRemovedVoterComesBack isolates a voter while another one joins, so that it is
// removed without knowing it.
func TestRemovedVoterComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGroup(1, "a", "b", "c")
		g.startAll(t)
		defer g.stopAll()
		g.awaitSettled(t)
		g.add(t, "x")
		g.isolate("a", true)
		time.Sleep(6 * time.Second)
		require.Len(t, g.awaitLeader(t).node.Status().Membership.Voters, 3)
		g.isolate("a", false)
		g.awaitSettled(t)
		require.Len(t, g.leader().node.Status().Membership.Voters, 4)
	})
}

// TestOpenGroupKeepsWhatItConfirmed loses disks, replaces instances and cuts them
// off, one at a time, against a list of confirmed commands.
func TestOpenGroupKeepsWhatItConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			g := newOpenGroup(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			var confirmed []string
			for i := range rapid.IntRange(2, 8).Draw(t, "steps") {
				text := fmt.Sprintf("command %d", i)
				g.propose(t, text)
				confirmed = append(confirmed, text)
				victim := g.voters[rapid.IntRange(0, len(g.voters)-1).Draw(t, "victim")]
				switch rapid.SampledFrom([]string{"wipe", "replace", "crash", "isolate"}).Draw(t, "what") {
				case "wipe":
					g.crash(victim)
					g.first[victim] = false
					g.replicas[victim].disk = emulator.NewDisk()
					g.start(t, victim)
				case "replace":
					g.remove(victim)
					g.add(t, figseam.InstanceID(fmt.Sprintf("x%d-%d", i, rand.IntN(1000))))
				case "crash":
					g.crash(victim)
					g.first[victim] = false
					g.start(t, victim)
				case "isolate":
					g.isolate(victim, true)
					time.Sleep(3 * time.Second)
					g.isolate(victim, false)
				}
				time.Sleep(4 * time.Second)
			}
			require.Subset(t, g.awaitLeader(t).ledger.all(), confirmed)
		})
	})
}
