package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/replicator"
)

// commandLog is a state machine that records all commands in order.
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandLog) Name() string { return "ledger" }

func (l *commandLog) Apply(e figseam.CommittedCommand) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(e.Body))
	return e.Body
}

func (l *commandLog) Snapshot() ([]byte, error) { return cbor.Marshal(l.all()) }

func (l *commandLog) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cbor.Unmarshal(data, &l.commands)
}

func (l *commandLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

// replica is an instance of the test group. Its node and log are replaced when it
// restarts; node is nil while the instance is down.
type replica struct {
	name  figseam.InstanceID
	disk  *emulator.Disk
	node  *replicator.Node
	log   *commandLog
	stop  context.CancelFunc
	ended <-chan error
	err   error
}

// group is a set of replicas. The links between them delay, duplicate and lose
// messages, and can be cut.
type group struct {
	voters []figseam.InstanceID

	// seedInstances, if set, enables dynamic membership: replicas look for the group
	// at these instances. initialMembers holds the replicas that start as initial
	// members.
	seedInstances  []figseam.InstanceID
	initialMembers map[figseam.InstanceID]bool

	// newMachines, if set, returns additional state machines for a replica that starts.
	newMachines func() []figseam.StateMachine

	mu            sync.Mutex
	replicas      map[figseam.InstanceID]*replica
	cutLinks      map[[2]figseam.InstanceID]bool
	lossRate      float64
	duplicateRate float64
	random        *rand.Rand
}

func newGroup(seed uint64, names ...figseam.InstanceID) *group {
	g := &group{
		replicas: map[figseam.InstanceID]*replica{}, cutLinks: map[[2]figseam.InstanceID]bool{},
		random: rand.New(rand.NewPCG(seed, 2)), voters: names,
	}
	for _, n := range names {
		g.replicas[n] = &replica{name: n, disk: emulator.NewDisk()}
	}
	return g
}

func (g *group) voterNames() []figseam.InstanceID { return g.voters }

// start opens and runs a replica. While its disk is full, it is opened again every half second.
func (g *group) start(t require.TestingT, name figseam.InstanceID) {
	r := g.replicas[name]
	l := &commandLog{}
	machines := []figseam.StateMachine{l}
	if g.newMachines != nil {
		machines = append(machines, g.newMachines()...)
	}
	settings := replicator.Settings{Instance: name, Voters: g.voters, SnapshotThresholdEntries: 8}
	if g.seedInstances != nil {
		settings.DynamicMembership, settings.InitialMember = true, g.initialMembers[name]
		settings.Voters = g.seedInstances
		if !settings.InitialMember {
			// A replica that starts later is configured with the current instances.
			settings.Voters = slices.Clone(g.voters)
		}
	}
	node, err := replicator.Open(settings, r.disk, link{g, name}, machines, zerolog.Nop())
	for errors.Is(err, emulator.ErrDiskFull) {
		time.Sleep(500 * time.Millisecond)
		node, err = replicator.Open(settings, r.disk, link{g, name}, machines, zerolog.Nop())
	}
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	g.mu.Lock()
	r.node, r.log, r.stop = node, l, stop
	g.mu.Unlock()
	r.ended = node.Run(ctx)
}

func (g *group) startAll(t require.TestingT) {
	for _, n := range g.voters {
		g.start(t, n)
	}
}

// crash stops a replica and discards the writes that its disk had not synced.
func (g *group) crash(name figseam.InstanceID) {
	r := g.replicas[name]
	if r.node == nil {
		return
	}
	g.mu.Lock()
	r.node = nil
	g.mu.Unlock()
	r.disk.FailAfter(0)
	r.stop()
	r.err = <-r.ended
	g.mu.Lock()
	defer g.mu.Unlock()
	r.disk.Crash(g.random)
}

func (g *group) stopAll() {
	for _, n := range g.voters {
		if r := g.replicas[n]; r.node != nil {
			r.stop()
			r.err = <-r.ended
		}
	}
}

func (g *group) setLinkCut(a, b figseam.InstanceID, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutLinks[[2]figseam.InstanceID{a, b}] = cut
	g.cutLinks[[2]figseam.InstanceID{b, a}] = cut
}

// setIsolated cuts or restores all links of an instance.
func (g *group) setIsolated(name figseam.InstanceID, isolated bool) {
	for _, other := range g.voters {
		if other != name {
			g.setLinkCut(name, other, isolated)
		}
	}
}

// stopMessageFaults ends the loss and duplication of messages.
func (g *group) stopMessageFaults() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lossRate, g.duplicateRate = 0, 0
}

// heal restores all links and starts the replicas that are down.
func (g *group) heal(t require.TestingT) {
	for _, n := range g.voters {
		g.setIsolated(n, false)
		if g.replicas[n].node == nil {
			g.start(t, n)
		}
	}
}

// route returns the receiver of a message, its delay, and whether it is duplicated
// or lost. A message on a cut link is lost without an error, as is one of a replica that
// has crashed.
func (g *group) route(from, to figseam.InstanceID) (node *replicator.Node, delay time.Duration, duplicated, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost = g.cutLinks[[2]figseam.InstanceID{from, to}] || g.random.Float64() < g.lossRate
	if r, ok := g.replicas[from]; ok && r.node == nil {
		lost = true
	}
	delay = time.Duration(1+g.random.IntN(20)) * time.Millisecond
	if r, ok := g.replicas[to]; ok {
		node = r.node
	}
	return node, delay, g.random.Float64() < g.duplicateRate, lost
}

// leader returns the leader of the highest term, or nil.
func (g *group) leader() *replica {
	var newest *replica
	for _, n := range g.voters {
		r := g.replicas[n]
		if r.node == nil {
			continue
		}
		if s := r.node.Status(); s.Role == "leader" && (newest == nil || s.Term > newest.node.Status().Term) {
			newest = r
		}
	}
	return newest
}

// awaitLeader waits until there is a leader that has committed its whole log.
func (g *group) awaitLeader(t require.TestingT) *replica {
	for range 600 {
		if r := g.leader(); r != nil {
			s := r.node.Status()
			if s.CommitIndex == s.LastIndex {
				return r
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.FailNow(t, "no leader within 30 s")
	return nil
}

// settled reports whether all replicas are voters, all have applied the same
// commands, and the group has no other member.
func (g *group) settled() bool {
	l := g.leader()
	if l == nil {
		return false
	}
	s := l.node.Status()
	if s.CommitIndex != s.LastIndex || len(s.Membership.Voters) != len(g.voters) || len(s.Membership.Learners) > 0 {
		return false
	}
	for _, n := range g.voters {
		r := g.replicas[n]
		if r.node == nil || r.node.Status().CommitIndex != s.CommitIndex || !slices.Contains(s.Membership.Voters, r.node.Self()) {
			return false
		}
		if !slices.Equal(r.log.all(), l.log.all()) {
			return false
		}
	}
	return true
}

func (g *group) awaitSettled(t require.TestingT) {
	for range 1200 {
		if g.settled() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, n := range g.voters {
		if r := g.replicas[n]; r.node != nil {
			s := r.node.Status()
			t.Errorf("%s: %+v applied %d", n, s, len(r.log.all()))
		}
	}
	require.FailNow(t, "group did not settle within 60 s")
}

// link is the transport of one replica.
type link struct {
	g    *group
	from figseam.InstanceID
}

// deliver sends a request to its receiver and returns the reply.
func deliver[Request, Reply any](ctx context.Context, l link, to figseam.InstanceID, request Request, handle func(*replicator.Node, Request) Reply) (Reply, error) {
	var zero Reply
	node, delay, duplicated, lost := l.g.route(l.from, to)
	if lost || node == nil {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	time.Sleep(delay)
	// The receiver is passed a copy, as over a network.
	reply := handle(node, reencode(request))
	if duplicated {
		duplicateDelay := 2 * delay
		go func() {
			time.Sleep(duplicateDelay)
			handle(node, reencode(request))
		}()
	}
	_, delay, _, lost = l.g.route(to, l.from)
	if lost {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	time.Sleep(delay)
	return reencode(reply), ctx.Err()
}

func reencode[T any](v T) T {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	var decoded T
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

func (l link) Vote(ctx context.Context, to figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
	return deliver(ctx, l, to, r, (*replicator.Node).HandleVote)
}

func (l link) Append(ctx context.Context, to figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
	return deliver(ctx, l, to, r, (*replicator.Node).HandleAppend)
}

func (l link) InstallSnapshot(ctx context.Context, to figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
	return deliver(ctx, l, to, r, (*replicator.Node).HandleInstallSnapshot)
}

func (l link) Status(ctx context.Context, to figseam.InstanceID, r replicator.StatusRequest) (replicator.StatusReply, error) {
	return deliver(ctx, l, to, r, func(n *replicator.Node, _ replicator.StatusRequest) replicator.StatusReply { return n.Status() })
}

func (l link) Join(ctx context.Context, to figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
	return deliver(ctx, l, to, r, func(n *replicator.Node, r replicator.JoinRequest) replicator.JoinReply { return n.HandleJoin(ctx, r) })
}

func (l link) Leave(ctx context.Context, to figseam.InstanceID, r replicator.LeaveRequest) (replicator.LeaveReply, error) {
	return deliver(ctx, l, to, r, func(n *replicator.Node, r replicator.LeaveRequest) replicator.LeaveReply {
		return n.HandleLeave(ctx, r)
	})
}

func (l link) Propose(ctx context.Context, to figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
	return deliver(ctx, l, to, r, func(n *replicator.Node, r replicator.ProposeRequest) replicator.ProposeReply {
		return n.HandlePropose(ctx, r)
	})
}

// proposalHistory records the outcome of the commands that a test proposed.
type proposalHistory struct {
	mu        sync.Mutex
	confirmed []string // in the order of confirmation
	refused   []string // must never be applied
	proposed  int
	inFlight  sync.WaitGroup
}

func (h *proposalHistory) propose(n *replicator.Node, timeout time.Duration) {
	h.mu.Lock()
	h.proposed++
	command := fmt.Sprint(h.proposed)
	h.mu.Unlock()
	h.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := n.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte(command)})
		h.mu.Lock()
		defer h.mu.Unlock()
		switch {
		case err == nil:
			h.confirmed = append(h.confirmed, command)
		case errors.Is(err, figseam.ErrNotProposed):
			h.refused = append(h.refused, command)
		}
	})
}

// proposeToLeaders proposes one command each to all replicas in the leader role.
func (h *proposalHistory) proposeToLeaders(g *group) {
	for _, n := range g.voters {
		if r := g.replicas[n]; r.node != nil && r.node.Status().Role == "leader" {
			h.propose(r.node, 3*time.Second)
		}
	}
}

// check verifies that every confirmed command was applied exactly once and that no
// refused command was applied.
func (h *proposalHistory) check(t require.TestingT, applied []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := map[string]int{}
	for _, c := range applied {
		count[c]++
		if count[c] > 1 {
			t.Errorf("command %s was applied twice", c)
		}
	}
	for _, c := range h.confirmed {
		if count[c] != 1 {
			t.Errorf("confirmed command %s is lost", c)
		}
	}
	for _, c := range h.refused {
		if count[c] != 0 {
			t.Errorf("refused command %s was applied", c)
		}
	}
}

// noDeadlineTB hides the deadline of a test from rapid, because a deadline in real
// time must not be compared with virtual time.
type noDeadlineTB struct{ rapid.TB }

// TestConfirmedCommandsSurviveFaults cuts links, crashes replicas, erases disks and
// loses messages, and checks that confirmed commands are applied exactly once and
// refused ones never.
func TestConfirmedCommandsSurviveFaults(t *testing.T) {
	confirmed, terms, disksLost := 0, uint64(0), 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			g := newGroup(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
			g.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
			g.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			h := &proposalHistory{}
			name := rapid.SampledFrom(g.voters)
			propose := func(t *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(t, "commands") {
					h.proposeToLeaders(g)
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"propose":      propose,
				"propose more": propose,
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				},
				"mend": func(t *rapid.T) {
					g.heal(t)
					time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				},
				"isolate": func(t *rapid.T) { g.setIsolated(name.Draw(t, "name"), true) },
				"join":    func(t *rapid.T) { g.setIsolated(name.Draw(t, "name"), false) },
				"crash":   func(t *rapid.T) { g.crash(name.Draw(t, "name")) },
				"lose": func(t *rapid.T) {
					if !g.settled() {
						t.Skip("the group has not settled yet")
					}
					n := name.Draw(t, "name")
					g.crash(n)
					g.replicas[n].disk.Erase()
					disksLost++
					g.start(t, n)
				},
			})
			g.stopMessageFaults()
			g.heal(t)
			h.inFlight.Wait()
			g.awaitSettled(t)
			h.check(t, g.leader().log.all())
			confirmed += len(h.confirmed)
			terms += g.leader().node.Status().Term
		})
	})
	t.Logf("commands confirmed: %d, terms: %d, disks lost: %d", confirmed, terms, disksLost)
}
