package publisher_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/publisher"
)

// accountClass returns an account class, a kind of object without references to others.
func accountClass(name string, burst int) publisher.Object {
	body := fmt.Sprintf(`{"kind":"account_class","name":%q,"requests_per_s":1,"burst":%d}`, name, burst)
	return publisher.Object{ID: figseam.ObjectID{Kind: figseam.KindAccountClass, Name: name}, Body: []byte(body)}
}

// recordingSink records the deltas that a state machine applies.
type recordingSink struct{ deltas []publisher.Delta }

func (s *recordingSink) ApplyDelta(d publisher.Delta) bool {
	s.deltas = append(s.deltas, d)
	return true
}

func (s *recordingSink) Replace(uint64, []publisher.Object) bool { return true }

func apply(t require.TestingT, m *publisher.StateMachine, index uint64, c publisher.Change) publisher.ChangeResult {
	body, err := cbor.Marshal(c)
	require.NoError(t, err)
	var result publisher.ChangeResult
	require.NoError(t, cbor.Unmarshal(m.Apply(figseam.CommittedCommand{Index: index, Body: body}), &result))
	return result
}

// TestResentChangeGetsFirstResult guards against a change that is applied twice and
// against two applied changes with the same base version. It publishes changes with
// current and older bases and resends them, also after hundreds of other changes and
// after a restart from a snapshot.
func TestResentChangeGetsFirstResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := publisher.NewStateMachine(&recordingSink{})
		version, index := uint64(0), uint64(0)
		results := map[string]publisher.ChangeResult{}
		changes := map[string]publisher.Change{}
		var changeIDs []string
		publish := func(c publisher.Change) {
			index++
			result := apply(t, m, index, c)
			if first, ok := results[c.ID]; ok {
				switch {
				case version >= c.BaseVersion+1+publisher.RetainedChanges:
					require.Equal(t, publisher.ChangeResult{Status: publisher.StatusExpired, Version: version}, result)
				case first.Status == publisher.StatusApplied:
					require.Equal(t, first, result, "resend of %s", c.ID)
				default:
					require.Equal(t, publisher.ChangeResult{Status: publisher.StatusConflict, Version: version}, result)
				}
				return
			}
			if c.BaseVersion == version {
				require.Equal(t, publisher.ChangeResult{Status: publisher.StatusApplied, Version: version + 1}, result)
				version++
			} else {
				require.Equal(t, publisher.ChangeResult{Status: publisher.StatusConflict, Version: version}, result)
			}
			results[c.ID], changes[c.ID] = result, c
			changeIDs = append(changeIDs, c.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				base := version - uint64(rapid.IntRange(0, int(min(version, 3))).Draw(t, "behind"))
				publish(publisher.Change{ID: fmt.Sprint("c", len(changeIDs)), BaseVersion: base, Upsert: []publisher.Object{accountClass("a", len(changeIDs))}})
			},
			"resend": func(t *rapid.T) {
				if len(changeIDs) == 0 {
					t.Skip("no change was sent yet")
				}
				publish(changes[rapid.SampledFrom(changeIDs).Draw(t, "number")])
			},
			"hundreds": func(*rapid.T) {
				for range 300 {
					publish(publisher.Change{ID: fmt.Sprint("c", len(changeIDs)), BaseVersion: version})
				}
			},
			"restart": func(t *rapid.T) {
				data, err := m.Snapshot()
				require.NoError(t, err)
				m = publisher.NewStateMachine(&recordingSink{})
				require.NoError(t, m.Restore(data))
			},
		})
	})
}

// TestResentChangeExpiresAfterRetainedChanges resends an applied change after its record
// has been evicted. The result must not be a conflict, since that would mean that the
// change was not applied.
func TestResentChangeExpiresAfterRetainedChanges(t *testing.T) {
	m := publisher.NewStateMachine(&recordingSink{})
	first := publisher.Change{ID: "first", Upsert: []publisher.Object{accountClass("a", 1)}}
	require.Equal(t, publisher.StatusApplied, apply(t, m, 1, first).Status)
	for i := range uint64(publisher.RetainedChanges) {
		require.Equal(t, publisher.StatusApplied, apply(t, m, i+2, publisher.Change{ID: fmt.Sprint(i), BaseVersion: i + 1}).Status)
	}
	require.Equal(t, publisher.StatusExpired, apply(t, m, 9000, first).Status)
}

// TestStoreOnlyMovesToHigherVersions applies deltas and full sets in any order. It guards
// against an older version that replaces a newer one.
func TestStoreOnlyMovesToHigherVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.IntRange(1, 20).Draw(t, "versions")
		var all []publisher.Delta
		for v := 1; v <= versions; v++ {
			all = append(all, publisher.Delta{Version: uint64(v), Upsert: []publisher.Object{accountClass("a", v), accountClass(fmt.Sprint("b", v%3), v)}})
		}
		s := publisher.NewStore()
		lastVersion := uint64(0)
		s.Subscribe(func(c *figseam.Config) {
			require.Greater(t, c.Version, lastVersion)
			lastVersion = c.Version
			require.Equal(t, int(c.Version), c.AccountClasses["a"].Burst)
		})
		t.Repeat(map[string]func(*rapid.T){
			"delta": func(t *rapid.T) { s.ApplyDelta(rapid.SampledFrom(all).Draw(t, "delta")) },
			"whole": func(t *rapid.T) {
				v := rapid.IntRange(1, versions).Draw(t, "version")
				s.Replace(uint64(v), []publisher.Object{accountClass("a", v)})
			},
			"": func(t *rapid.T) { require.Equal(t, lastVersion, s.Version()) },
		})
	})
}

// network connects the gossipers of several instances in memory. An isolated instance
// reaches only other isolated ones.
type network struct {
	mu        sync.Mutex
	stores    map[figseam.InstanceID]*publisher.Store
	gossipers map[figseam.InstanceID]*publisher.Gossiper
	members   []figseam.Member
	isolated  map[figseam.InstanceID]bool
	lossRate  float64
	messages  int
	objects   int
}

// networkPeer is the transport and the membership of one instance.
type networkPeer struct {
	network *network
	self    figseam.Member
}

func (p networkPeer) Self() figseam.Member { return p.self }

func (p networkPeer) Members() []figseam.Member { return p.network.members }

// connect counts a message and returns the gossiper and store of its receiver, or nil if
// the message is lost.
func (p networkPeer) connect(to figseam.InstanceID) (*publisher.Gossiper, *publisher.Store) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.messages++
	if p.network.isolated[to] != p.network.isolated[p.self.ID] || rand.Float64() < p.network.lossRate {
		return nil, nil
	}
	return p.network.gossipers[to], p.network.stores[to]
}

func (p networkPeer) Pull(ctx context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (publisher.Update, error) {
	_, store := p.connect(to)
	if store == nil {
		<-ctx.Done()
		return publisher.Update{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	u := store.UpdateSince(after, cursor)
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.objects += len(u.Objects)
	for _, d := range u.Deltas {
		p.network.objects += len(d.Upsert)
	}
	return u, nil
}

func (p networkPeer) Push(to figseam.InstanceID, u publisher.Update) {
	if g, _ := p.connect(to); g != nil {
		p.network.mu.Lock()
		p.network.objects += len(u.Deltas)
		p.network.mu.Unlock()
		go g.HandlePush(p.self.ID, u)
	}
}

func newNetwork(instances int) *network {
	nw := &network{
		stores: map[figseam.InstanceID]*publisher.Store{}, gossipers: map[figseam.InstanceID]*publisher.Gossiper{},
		isolated: map[figseam.InstanceID]bool{},
	}
	for i := range instances {
		id := figseam.InstanceID(fmt.Sprintf("i%03d", i))
		nw.members = append(nw.members, figseam.Member{ID: id, DataCentre: "a", State: figseam.InstanceAlive})
	}
	for _, member := range nw.members {
		store := publisher.NewStore()
		nw.stores[member.ID] = store
		nw.gossipers[member.ID] = publisher.NewGossiper(store, networkPeer{nw, member}, networkPeer{nw, member})
	}
	return nw
}

func (nw *network) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var stopped []<-chan struct{}
	for _, g := range nw.gossipers {
		stopped = append(stopped, g.Run(ctx))
	}
	t.Cleanup(func() {
		cancel()
		for _, done := range stopped {
			<-done
		}
	})
}

func (nw *network) publish(version uint64) {
	nw.stores[nw.members[0].ID].ApplyDelta(publisher.Delta{
		Version: version, Upsert: []publisher.Object{accountClass(fmt.Sprint("c", version), int(version))},
	})
}

func (nw *network) allAtVersion(version uint64) bool {
	for id, s := range nw.stores {
		if s.Version() < version && !nw.isolated[id] {
			return false
		}
	}
	return true
}

// convergenceTimeout bounds the time until a new version is applied by all instances.
const convergenceTimeout = 4 * time.Second

// TestVersionsReachAllInstancesDespiteLossAndPartition publishes on one of 40 instances
// over links that lose 10 % of the messages. In some rounds ten instances are isolated and
// must catch up afterwards.
func TestVersionsReachAllInstancesDespiteLossAndPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(40)
		nw.lossRate = 0.1
		nw.run(t)
		version := uint64(0)
		for round := range 20 {
			isolated := round%4 == 2
			for i := 30; i < 40; i++ {
				nw.mu.Lock()
				nw.isolated[nw.members[i].ID] = isolated
				nw.mu.Unlock()
			}
			for range 30 {
				version++
				nw.publish(version)
			}
			time.Sleep(convergenceTimeout)
			require.True(t, nw.allAtVersion(version), "round %d", round)
		}
	})
}

// TestNewInstanceGetsFullSetDuringChanges starts an instance that pulls a full set of many
// pages while versions are published. It guards against pages of different versions that
// are applied as one set.
func TestNewInstanceGetsFullSetDuringChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(2)
		var objects []publisher.Object
		for i := range 9000 {
			objects = append(objects, accountClass(fmt.Sprintf("class-%05d", i), 1))
		}
		nw.stores["i000"].Replace(700, objects)
		nw.run(t)
		for v := uint64(701); v <= 720; v++ {
			nw.publish(v)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(convergenceTimeout)
		require.True(t, nw.allAtVersion(720))
		_, want := nw.stores["i000"].Objects()
		_, got := nw.stores["i001"].Objects()
		require.Equal(t, want, got)
	})
}

// TestGossipCostPerInstanceIsConstant checks that the number of messages and objects sent
// per instance and version does not grow with the number of instances.
func TestGossipCostPerInstanceIsConstant(t *testing.T) {
	cost := func(instances int) (messages, objects float64) {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(instances)
			nw.run(t)
			for v := uint64(1); v <= 20; v++ {
				nw.publish(v)
				time.Sleep(2 * time.Second)
			}
			nw.mu.Lock()
			defer nw.mu.Unlock()
			messages = float64(nw.messages) / float64(instances) / 20
			objects = float64(nw.objects) / float64(instances) / 20
		})
		return messages, objects
	}
	for _, n := range []int{10, 80, 320} {
		messages, objects := cost(n)
		t.Logf("%d instances: %.2f messages, %.2f objects per instance and version", n, messages, objects)
		require.Less(t, messages, 8.0)
		require.Less(t, objects, 5.0)
	}
}

// synchronousLog is a proposer that applies each command directly to a state machine.
type synchronousLog struct {
	mu      sync.Mutex
	machine *publisher.StateMachine
	index   uint64
}

func (l *synchronousLog) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(figseam.CommittedCommand{Index: l.index, Body: c.Body}), nil
}

// registerInput and registerOutput are the arguments and the result of one operation in the
// history that porcupine checks. An operation is a read of the version or a publication.
type registerInput struct {
	publish bool
	base    uint64
}

type registerOutput struct {
	version  uint64
	conflict bool
}

// register models the version as a register with a compare-and-set operation.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
		switch {
		case !in.publish:
			return out.version == version, version
		case out.conflict:
			return in.base != version, version
		default:
			return in.base == version && out.version == version+1, version + 1
		}
	},
}

// TestPublishesAreLinearizable publishes from concurrent clients and checks the history of
// calls and results with porcupine.
func TestPublishesAreLinearizable(t *testing.T) {
	store := publisher.NewStore()
	log := &synchronousLog{machine: publisher.NewStateMachine(store)}
	p := publisher.New(store, log)
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		tasks   sync.WaitGroup
	)
	start := time.Now()
	for client := range 4 {
		tasks.Go(func() {
			for i := range 25 {
				call := time.Since(start).Nanoseconds()
				base := store.Version()
				in := registerInput{publish: i%3 > 0, base: base}
				out := registerOutput{version: base}
				if in.publish {
					c := publisher.Change{ID: fmt.Sprint(client, "-", i), BaseVersion: base, Upsert: []publisher.Object{accountClass("a", i+1)}}
					version, err := p.Publish(context.Background(), c)
					out.version = version
					if r := figseam.AsRefusal(err); r != nil {
						out.conflict = r.Code == explainer.VersionConflict
					}
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(start).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	require.True(t, porcupine.CheckOperations(register, history))
}

// TestFaultyChangeIsNotPublished checks that the error lists all faults of a change and
// that no version is published.
func TestFaultyChangeIsNotPublished(t *testing.T) {
	store := publisher.NewStore()
	p := publisher.New(store, &synchronousLog{machine: publisher.NewStateMachine(store)})
	route := json.RawMessage(`{"kind":"route","name":"r","model":"nowhere","first_token_ms":-1}`)
	_, err := p.Publish(context.Background(), publisher.Change{ID: "n", Upsert: []publisher.Object{
		{ID: figseam.ObjectID{Kind: figseam.KindRoute, Name: "r"}, Body: route},
	}})
	faults, ok := errors.AsType[*publisher.ValidationError](err)
	require.True(t, ok, "%v", err)
	require.Len(t, faults.Faults, 3)
	require.Zero(t, store.Version())
}
