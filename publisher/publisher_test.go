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

// class returns an account class, which refers to nothing.
func class(name string, burst int) publisher.Object {
	body := fmt.Sprintf(`{"kind":"account_class","name":%q,"requests_per_s":1,"burst":%d}`, name, burst)
	return publisher.Object{ID: figseam.ObjectID{Kind: figseam.KindAccountClass, Name: name}, Body: []byte(body)}
}

// deltas keeps what a machine announces.
type deltas struct{ all []publisher.Delta }

func (d *deltas) ApplyDelta(delta publisher.Delta) bool {
	d.all = append(d.all, delta)
	return true
}

func (d *deltas) Replace(uint64, []publisher.Object) bool { return true }

func apply(t require.TestingT, m *publisher.StateMachine, index uint64, c publisher.Change) publisher.ChangeResult {
	body, err := cbor.Marshal(c)
	require.NoError(t, err)
	var o publisher.ChangeResult
	require.NoError(t, cbor.Unmarshal(m.Apply(figseam.CommittedCommand{Index: index, Body: body}), &o))
	return o
}

// TestChangesHaveOneOutcome races changes with equal bases and resends them, also
// after hundreds of others and a restart from a snapshot.
func TestChangesHaveOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := publisher.NewStateMachine(&deltas{})
		version, index := uint64(0), uint64(0)
		outcomes := map[string]publisher.ChangeResult{}
		changes := map[string]publisher.Change{}
		var numbers []string
		publish := func(c publisher.Change) {
			index++
			o := apply(t, m, index, c)
			if first, ok := outcomes[c.ID]; ok {
				switch {
				case version >= c.BaseVersion+1+publisher.RetainedChanges:
					require.Equal(t, publisher.ChangeResult{Status: publisher.StatusExpired, Version: version}, o)
				case first.Status == publisher.StatusApplied:
					require.Equal(t, first, o, "resend of %s", c.ID)
				default:
					require.Equal(t, publisher.ChangeResult{Status: publisher.StatusConflict, Version: version}, o)
				}
				return
			}
			if c.BaseVersion == version {
				require.Equal(t, publisher.ChangeResult{Status: publisher.StatusApplied, Version: version + 1}, o)
				version++
			} else {
				require.Equal(t, publisher.ChangeResult{Status: publisher.StatusConflict, Version: version}, o)
			}
			outcomes[c.ID], changes[c.ID] = o, c
			numbers = append(numbers, c.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				base := version - uint64(rapid.IntRange(0, int(min(version, 3))).Draw(t, "behind"))
				publish(publisher.Change{ID: fmt.Sprint("c", len(numbers)), BaseVersion: base, Upsert: []publisher.Object{class("a", len(numbers))}})
			},
			"resend": func(t *rapid.T) {
				if len(numbers) == 0 {
					t.Skip("nothing sent yet")
				}
				publish(changes[rapid.SampledFrom(numbers).Draw(t, "number")])
			},
			"hundreds": func(*rapid.T) {
				for range 300 {
					publish(publisher.Change{ID: fmt.Sprint("c", len(numbers)), BaseVersion: version})
				}
			},
			"restart": func(t *rapid.T) {
				data, err := m.Snapshot()
				require.NoError(t, err)
				m = publisher.NewStateMachine(&deltas{})
				require.NoError(t, m.Restore(data))
			},
		})
	})
}

// TestForgottenChangeIsSaidSo resends a change after more versions than are kept.
func TestForgottenChangeIsSaidSo(t *testing.T) {
	m := publisher.NewStateMachine(&deltas{})
	first := publisher.Change{ID: "first", Upsert: []publisher.Object{class("a", 1)}}
	require.Equal(t, publisher.StatusApplied, apply(t, m, 1, first).Status)
	for i := range uint64(publisher.RetainedChanges) {
		require.Equal(t, publisher.StatusApplied, apply(t, m, i+2, publisher.Change{ID: fmt.Sprint(i), BaseVersion: i + 1}).Status)
	}
	require.Equal(t, publisher.StatusExpired, apply(t, m, 9000, first).Status)
}

// TestStoreOnlyMovesForward gives a store deltas and whole versions in any order.
func TestStoreOnlyMovesForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "versions")
		var all []publisher.Delta
		for v := 1; v <= count; v++ {
			all = append(all, publisher.Delta{Version: uint64(v), Upsert: []publisher.Object{class("a", v), class(fmt.Sprint("b", v%3), v)}})
		}
		s := publisher.NewStore()
		seen := uint64(0)
		s.Subscribe(func(c *figseam.Config) {
			require.Greater(t, c.Version, seen)
			seen = c.Version
			require.Equal(t, int(c.Version), c.Classes["a"].Burst)
		})
		t.Repeat(map[string]func(*rapid.T){
			"delta": func(t *rapid.T) { s.ApplyDelta(rapid.SampledFrom(all).Draw(t, "delta")) },
			"whole": func(t *rapid.T) {
				v := rapid.IntRange(1, count).Draw(t, "version")
				s.Replace(uint64(v), []publisher.Object{class("a", v)})
			},
			"": func(t *rapid.T) { require.Equal(t, seen, s.Version()) },
		})
	})
}

// mesh joins the spreaders of several instances in memory.
type mesh struct {
	mu        sync.Mutex
	stores    map[figseam.InstanceID]*publisher.Store
	spreaders map[figseam.InstanceID]*publisher.Gossiper
	members   []figseam.Member
	cut       map[figseam.InstanceID]bool
	loss      float64
	messages  int
	objects   int
}

type meshPeer struct {
	m    *mesh
	self figseam.Member
}

func (p meshPeer) Self() figseam.Member { return p.self }

func (p meshPeer) Members() []figseam.Member { return p.m.members }

func (p meshPeer) reach(to figseam.InstanceID) (*publisher.Gossiper, *publisher.Store) {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	p.m.messages++
	if p.m.cut[to] != p.m.cut[p.self.ID] || rand.Float64() < p.m.loss {
		return nil, nil
	}
	return p.m.spreaders[to], p.m.stores[to]
}

func (p meshPeer) Pull(ctx context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (publisher.Update, error) {
	_, store := p.reach(to)
	if store == nil {
		<-ctx.Done()
		return publisher.Update{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	u := store.UpdateSince(after, cursor)
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	p.m.objects += len(u.Objects)
	for _, d := range u.Deltas {
		p.m.objects += len(d.Upsert)
	}
	return u, nil
}

func (p meshPeer) Push(to figseam.InstanceID, u publisher.Update) {
	if s, _ := p.reach(to); s != nil {
		p.m.mu.Lock()
		p.m.objects += len(u.Deltas)
		p.m.mu.Unlock()
		go s.HandlePush(p.self.ID, u)
	}
}

func newMesh(instances int) *mesh {
	m := &mesh{
		stores: map[figseam.InstanceID]*publisher.Store{}, spreaders: map[figseam.InstanceID]*publisher.Gossiper{},
		cut: map[figseam.InstanceID]bool{},
	}
	for i := range instances {
		id := figseam.InstanceID(fmt.Sprintf("i%03d", i))
		m.members = append(m.members, figseam.Member{ID: id, DataCentre: "a", State: figseam.InstanceAlive})
	}
	for _, member := range m.members {
		store := publisher.NewStore()
		m.stores[member.ID] = store
		m.spreaders[member.ID] = publisher.NewGossiper(store, meshPeer{m, member}, meshPeer{m, member})
	}
	return m
}

func (m *mesh) run(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var ends []<-chan struct{}
	for _, s := range m.spreaders {
		ends = append(ends, s.Run(ctx))
	}
	t.Cleanup(func() {
		stop()
		for _, e := range ends {
			<-e
		}
	})
}

func (m *mesh) publish(version uint64) {
	m.stores[m.members[0].ID].ApplyDelta(publisher.Delta{
		Version: version, Upsert: []publisher.Object{class(fmt.Sprint("c", version), int(version))},
	})
}

func (m *mesh) everywhere(version uint64) bool {
	for id, s := range m.stores {
		if s.Version() < version && !m.cut[id] {
			return false
		}
	}
	return true
}

// inForceWithin is the time in which a version must be in force everywhere.
const inForceWithin = 4 * time.Second

// TestVersionsSpread publishes to one of many instances, over links that lose
// messages, and cuts off some of them for a while.
func TestVersionsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(40)
		m.loss = 0.1
		m.run(t)
		version := uint64(0)
		for round := range 20 {
			cut := round%4 == 2
			for i := 30; i < 40; i++ {
				m.mu.Lock()
				m.cut[m.members[i].ID] = cut
				m.mu.Unlock()
			}
			for range 30 {
				version++
				m.publish(version)
			}
			time.Sleep(inForceWithin)
			require.True(t, m.everywhere(version), "round %d", round)
		}
	})
}

// TestWholeSetSpreads gives a new instance a set of many pages while it changes.
func TestWholeSetSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(2)
		var objects []publisher.Object
		for i := range 9000 {
			objects = append(objects, class(fmt.Sprintf("class-%05d", i), 1))
		}
		m.stores["i000"].Replace(700, objects)
		m.run(t)
		for v := uint64(701); v <= 720; v++ {
			m.publish(v)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(inForceWithin)
		require.True(t, m.everywhere(720))
		_, want := m.stores["i000"].Objects()
		_, got := m.stores["i001"].Objects()
		require.Equal(t, want, got)
	})
}

// TestSpreadCostIsFlat holds that the messages and objects sent per instance and
// version do not grow with the number of instances.
func TestSpreadCostIsFlat(t *testing.T) {
	cost := func(instances int) (messages, objects float64) {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(instances)
			m.run(t)
			for v := uint64(1); v <= 20; v++ {
				m.publish(v)
				time.Sleep(2 * time.Second)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			messages = float64(m.messages) / float64(instances) / 20
			objects = float64(m.objects) / float64(instances) / 20
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

// directLog is a proposer that applies to one machine.
type directLog struct {
	mu    sync.Mutex
	m     *publisher.StateMachine
	index uint64
}

func (l *directLog) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.m.Apply(figseam.CommittedCommand{Index: l.index, Body: c.Body}), nil
}

// registerInput is an operation of the history that porcupine judges.
type registerInput struct {
	publish bool
	base    uint64
}

type registerOutput struct {
	version  uint64
	conflict bool
}

// register is a version that changes by compare and set.
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

// TestPublishesAreLinearizable races operators and lets porcupine judge.
func TestPublishesAreLinearizable(t *testing.T) {
	store := publisher.NewStore()
	log := &directLog{m: publisher.NewStateMachine(store)}
	p := publisher.New(store, log)
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		tasks   sync.WaitGroup
	)
	began := time.Now()
	for client := range 4 {
		tasks.Go(func() {
			for i := range 25 {
				call := time.Since(began).Nanoseconds()
				base := store.Version()
				in := registerInput{publish: i%3 > 0, base: base}
				out := registerOutput{version: base}
				if in.publish {
					c := publisher.Change{ID: fmt.Sprint(client, "-", i), BaseVersion: base, Upsert: []publisher.Object{class("a", i+1)}}
					version, err := p.Publish(context.Background(), c)
					out.version = version
					if r := figseam.AsRefusal(err); r != nil {
						out.conflict = r.Code == explainer.VersionConflict
					}
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(began).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	require.True(t, porcupine.CheckOperations(register, history))
}

// TestFaultyChangeIsNotPublished holds that every fault of a change is listed and
// nothing is published.
func TestFaultyChangeIsNotPublished(t *testing.T) {
	store := publisher.NewStore()
	p := publisher.New(store, &directLog{m: publisher.NewStateMachine(store)})
	route := json.RawMessage(`{"kind":"route","name":"r","model":"nowhere","first_token_ms":-1}`)
	_, err := p.Publish(context.Background(), publisher.Change{ID: "n", Upsert: []publisher.Object{
		{ID: figseam.ObjectID{Kind: figseam.KindRoute, Name: "r"}, Body: route},
	}})
	faults, ok := errors.AsType[*publisher.ValidationError](err)
	require.True(t, ok, "%v", err)
	require.Len(t, faults.Faults, 3)
	require.Zero(t, store.Version())
}
