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

// ledger is a state machine that keeps every command in order.
type ledger struct {
	mu       sync.Mutex
	commands []string
}

func (l *ledger) Name() string { return "ledger" }

func (l *ledger) Apply(e figseam.CommittedCommand) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(e.Body))
	return e.Body
}

func (l *ledger) Snapshot() ([]byte, error) { return cbor.Marshal(l.all()) }

func (l *ledger) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cbor.Unmarshal(data, &l.commands)
}

func (l *ledger) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

// replica is one instance of the test group; its node and ledger are replaced
// when it restarts.
type replica struct {
	name   figseam.InstanceID
	disk   *emulator.Disk
	node   *replicator.Node
	ledger *ledger
	stop   context.CancelFunc
	ended  <-chan error
	err    error
}

// group is a set of replicas joined by links that can be cut, that delay, double
// and lose messages.
type group struct {
	voters []figseam.InstanceID

	// seeds makes the group open: replicas look for it at these instances, and those
	// in first start with the whole system.
	seeds []figseam.InstanceID
	first map[figseam.InstanceID]bool

	// machines makes further state machines for each start of a replica.
	machines func() []figseam.StateMachine

	mu       sync.Mutex
	replicas map[figseam.InstanceID]*replica
	cut      map[[2]figseam.InstanceID]bool
	loss     float64
	double   float64
	random   *rand.Rand
}

func newGroup(seed uint64, names ...figseam.InstanceID) *group {
	g := &group{
		replicas: map[figseam.InstanceID]*replica{}, cut: map[[2]figseam.InstanceID]bool{},
		random: rand.New(rand.NewPCG(seed, 2)), voters: names,
	}
	for _, n := range names {
		g.replicas[n] = &replica{name: n, disk: emulator.NewDisk()}
	}
	return g
}

// names returns the instances whose replicas are to vote.
func (g *group) names() []figseam.InstanceID { return g.voters }

func (g *group) start(t require.TestingT, name figseam.InstanceID) {
	r := g.replicas[name]
	l := &ledger{}
	machines := []figseam.StateMachine{l}
	if g.machines != nil {
		machines = append(machines, g.machines()...)
	}
	settings := replicator.Settings{Instance: name, Voters: g.voters, SnapshotThresholdEntries: 8}
	if g.seeds != nil {
		settings.DynamicMembership, settings.InitialMember = true, g.first[name]
		settings.Voters = g.seeds
		if !settings.InitialMember {
			// A later start is told of instances that are there then.
			settings.Voters = slices.Clone(g.voters)
		}
	}
	node, err := replicator.Open(settings, r.disk, link{g, name}, machines, zerolog.Nop())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	g.mu.Lock()
	r.node, r.ledger, r.stop = node, l, stop
	g.mu.Unlock()
	r.ended = node.Run(ctx)
}

func (g *group) startAll(t require.TestingT) {
	for _, n := range g.voters {
		g.start(t, n)
	}
}

// crash ends a replica and forgets what its disk had not synced.
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

func (g *group) setCut(a, b figseam.InstanceID, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[[2]figseam.InstanceID{a, b}] = cut
	g.cut[[2]figseam.InstanceID{b, a}] = cut
}

func (g *group) isolate(name figseam.InstanceID, cut bool) {
	for _, o := range g.voters {
		if o != name {
			g.setCut(name, o, cut)
		}
	}
}

// quiet ends the loss and doubling of messages.
func (g *group) quiet() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loss, g.double = 0, 0
}

// mend joins all links and starts what is down.
func (g *group) mend(t require.TestingT) {
	for _, n := range g.voters {
		g.isolate(n, false)
		if g.replicas[n].node == nil {
			g.start(t, n)
		}
	}
}

// route returns the receiver of a message and how often it arrives, after a
// delay. A message on a cut link vanishes without a sign.
func (g *group) route(from, to figseam.InstanceID) (node *replicator.Node, delay time.Duration, twice, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost = g.cut[[2]figseam.InstanceID{from, to}] || g.random.Float64() < g.loss
	delay = time.Duration(1+g.random.IntN(20)) * time.Millisecond
	if r, ok := g.replicas[to]; ok {
		node = r.node
	}
	return node, delay, g.random.Float64() < g.double, lost
}

// leader returns the replica that leads and is followed by a majority.
func (g *group) leader() *replica {
	var best *replica
	for _, n := range g.voters {
		r := g.replicas[n]
		if r.node == nil {
			continue
		}
		if s := r.node.Status(); s.Role == "leader" && (best == nil || s.Term > best.node.Status().Term) {
			best = r
		}
	}
	return best
}

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

// settled reports whether every replica is a voter, all have applied everything,
// and the group has no other member.
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
		if !slices.Equal(r.ledger.all(), l.ledger.all()) {
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
			t.Errorf("%s: %+v applied %d", n, s, len(r.ledger.all()))
		}
	}
	require.FailNow(t, "group did not settle within 60 s")
}

// link is the transport of one replica.
type link struct {
	g    *group
	from figseam.InstanceID
}

// pass carries a request to its receiver and the reply back.
func pass[Req, Resp any](ctx context.Context, l link, to figseam.InstanceID, request Req, serve func(*replicator.Node, Req) Resp) (Resp, error) {
	var none Resp
	node, delay, twice, lost := l.g.route(l.from, to)
	if lost || node == nil {
		<-ctx.Done()
		return none, ctx.Err()
	}
	time.Sleep(delay)
	// What arrives is a copy, as it is on a wire.
	response := serve(node, reencode(request))
	if twice {
		later := 2 * delay
		go func() {
			time.Sleep(later)
			serve(node, reencode(request))
		}()
	}
	_, delay, _, lost = l.g.route(to, l.from)
	if lost {
		<-ctx.Done()
		return none, ctx.Err()
	}
	time.Sleep(delay)
	return reencode(response), ctx.Err()
}

func reencode[T any](v T) T {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	var c T
	if err := cbor.Unmarshal(data, &c); err != nil {
		panic(err)
	}
	return c
}

func (l link) Vote(ctx context.Context, to figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
	return pass(ctx, l, to, r, (*replicator.Node).HandleVote)
}

func (l link) Append(ctx context.Context, to figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
	return pass(ctx, l, to, r, (*replicator.Node).HandleAppend)
}

func (l link) InstallSnapshot(ctx context.Context, to figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
	return pass(ctx, l, to, r, (*replicator.Node).HandleInstallSnapshot)
}

func (l link) Status(ctx context.Context, to figseam.InstanceID, r replicator.StatusRequest) (replicator.StatusReply, error) {
	return pass(ctx, l, to, r, func(n *replicator.Node, _ replicator.StatusRequest) replicator.StatusReply { return n.Status() })
}

func (l link) Join(ctx context.Context, to figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
	return pass(ctx, l, to, r, func(n *replicator.Node, r replicator.JoinRequest) replicator.JoinReply { return n.HandleJoin(ctx, r) })
}

func (l link) Propose(ctx context.Context, to figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
	return pass(ctx, l, to, r, func(n *replicator.Node, r replicator.ProposeRequest) replicator.ProposeReply {
		return n.HandlePropose(ctx, r)
	})
}

// history is what the test knows of the commands it proposed.
type history struct {
	mu      sync.Mutex
	applied []string // confirmed, in the order of confirmation
	refused []string // must never appear
	next    int
	tasks   sync.WaitGroup
}

func (h *history) propose(n *replicator.Node, limit time.Duration) {
	h.mu.Lock()
	h.next++
	command := fmt.Sprint(h.next)
	h.mu.Unlock()
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_, err := n.Propose(ctx, figseam.Command{Machine: "ledger", Body: []byte(command)})
		h.mu.Lock()
		defer h.mu.Unlock()
		switch {
		case err == nil:
			h.applied = append(h.applied, command)
		case errors.Is(err, figseam.ErrNotProposed):
			h.refused = append(h.refused, command)
		}
	})
}

// proposeToLeaders proposes a command to every replica that believes to lead.
func (h *history) proposeToLeaders(g *group) {
	for _, n := range g.voters {
		if r := g.replicas[n]; r.node != nil && r.node.Status().Role == "leader" {
			h.propose(r.node, 3*time.Second)
		}
	}
}

// check holds that a final state has every confirmed command once, and none that
// was refused.
func (h *history) check(t require.TestingT, final []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := map[string]int{}
	for _, c := range final {
		count[c]++
		if count[c] > 1 {
			t.Errorf("command %s was applied twice", c)
		}
	}
	for _, c := range h.applied {
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

// bubble hides the deadline of a test, which must not be read in virtual time.
type bubble struct{ rapid.TB }

// TestGroupLosesNothing drives a group through cuts, crashes, lost disks and bad
// links, and then holds the replicas against what was confirmed.
func TestGroupLosesNothing(t *testing.T) {
	confirmed, terms, lost := 0, uint64(0), 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			g := newGroup(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
			g.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
			g.double = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			h := &history{}
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
					g.mend(t)
					time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				},
				"isolate": func(t *rapid.T) { g.isolate(name.Draw(t, "name"), true) },
				"join":    func(t *rapid.T) { g.isolate(name.Draw(t, "name"), false) },
				"crash":   func(t *rapid.T) { g.crash(name.Draw(t, "name")) },
				"lose": func(t *rapid.T) {
					if !g.settled() {
						t.Skip("a repair is under way")
					}
					n := name.Draw(t, "name")
					g.crash(n)
					g.replicas[n].disk.Erase()
					lost++
					g.start(t, n)
				},
			})
			g.quiet()
			g.mend(t)
			h.tasks.Wait()
			g.awaitSettled(t)
			h.check(t, g.leader().ledger.all())
			confirmed += len(h.applied)
			terms += g.leader().node.Status().Term
		})
	})
	t.Logf("commands confirmed: %d, terms: %d, disks lost: %d", confirmed, terms, lost)
}
