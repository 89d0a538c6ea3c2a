package benchmarker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/publisher"
)

const (
	spreadVersions = 10
	// spreadPauseMillis is the time between two changes at 42,000 a day.
	spreadPauseMillis = 2000
	deltas            = 20
)

func account(i int) publisher.Object {
	name := fmt.Sprintf("account-%05d", i)
	return publisher.Object{
		ID:   figseam.ObjectID{Kind: figseam.KindAccount, Name: name},
		Body: fmt.Appendf(nil, `{"kind":"account","name":%q,"class":"gold"}`, name),
	}
}

// net joins spreaders in memory and counts what they send.
type net struct {
	mu        sync.Mutex
	members   []figseam.Member
	stores    map[figseam.InstanceID]*publisher.Store
	spreaders map[figseam.InstanceID]*publisher.Gossiper
	messages  int
	bytes     int
}

// netPeer is the membership and the peers of one instance.
type netPeer struct {
	n    *net
	self figseam.Member
}

func (p netPeer) Self() figseam.Member { return p.self }

func (p netPeer) Members() []figseam.Member { return p.n.members }

func (p netPeer) count(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return
	}
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	p.n.messages++
	p.n.bytes += len(data)
}

// Pull implements publisher.Peers.
func (p netPeer) Pull(_ context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (publisher.Update, error) {
	u := p.n.stores[to].UpdateSince(after, cursor)
	p.count(after)
	p.count(u)
	return u, nil
}

// Push implements publisher.Peers.
func (p netPeer) Push(to figseam.InstanceID, u publisher.Update) {
	p.count(u)
	go p.n.spreaders[to].HandlePush(p.self.ID, u)
}

// configSpread publishes versions to one instance of each data centre, as the log
// does, and measures the time until all have them.
func configSpread(size int) (map[string]float64, error) {
	n := &net{stores: map[figseam.InstanceID]*publisher.Store{}, spreaders: map[figseam.InstanceID]*publisher.Gossiper{}}
	centres := min(16, max(1, size/4))
	for i := range size {
		n.members = append(n.members, figseam.Member{
			ID: figseam.InstanceID(fmt.Sprintf("instance-%03d", i)), DataCentre: figseam.DataCentre(fmt.Sprint("dc-", i%centres)),
			State: figseam.InstanceAlive,
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	var ends []<-chan struct{}
	for _, m := range n.members {
		n.stores[m.ID] = publisher.NewStore()
		n.spreaders[m.ID] = publisher.NewGossiper(n.stores[m.ID], netPeer{n, m}, netPeer{n, m})
	}
	for _, s := range n.spreaders {
		ends = append(ends, s.Run(ctx))
	}
	defer func() {
		stop()
		for _, e := range ends {
			<-e
		}
	}()
	slowest := time.Duration(0)
	began := time.Now()
	for v := uint64(1); v <= spreadVersions; v++ {
		took, err := n.publish(v, centres)
		if err != nil {
			return nil, err
		}
		slowest = max(slowest, took)
		time.Sleep(time.Until(began.Add(time.Duration(v) * spreadPauseMillis * time.Millisecond)))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	each := float64(size) * time.Since(began).Seconds()
	return map[string]float64{
		"slowest_millis": 1000 * slowest.Seconds(), "bytes_per_instance_s": float64(n.bytes) / each,
		"messages_per_instance_s": float64(n.messages) / each,
	}, nil
}

func (n *net) publish(version uint64, centres int) (time.Duration, error) {
	began := time.Now()
	for _, m := range n.members[:centres] {
		n.stores[m.ID].ApplyDelta(publisher.Delta{Version: version, ChangeID: fmt.Sprint(version), Upsert: []publisher.Object{account(int(version))}})
	}
	for time.Since(began) < 10*time.Second {
		if n.everywhere(version) {
			return time.Since(began), nil
		}
		time.Sleep(time.Millisecond)
	}
	return 0, errors.New("version did not spread within 10 s")
}

func (n *net) everywhere(version uint64) bool {
	for _, s := range n.stores {
		if s.Version() < version {
			return false
		}
	}
	return true
}

// configObjects measures a change, a check and the whole set with size objects.
func configObjects(size int) (map[string]float64, error) {
	var objects []publisher.Object
	for i := range size {
		objects = append(objects, account(i))
	}
	class := publisher.Object{
		ID:   figseam.ObjectID{Kind: figseam.KindAccountClass, Name: "gold"},
		Body: []byte(`{"kind":"account_class","name":"gold","requests_per_s":5,"burst":5}`),
	}
	objects = append(objects, class)
	before := heapBytes()
	s := publisher.NewStore()
	s.Replace(1, objects)
	heap := heapBytes() - before
	cpu := cpuSeconds()
	for v := range uint64(deltas) {
		if !s.ApplyDelta(publisher.Delta{Version: v + 2, Upsert: []publisher.Object{account(int(v))}}) {
			return nil, errors.New("delta was not applied")
		}
	}
	apply := (cpuSeconds() - cpu) / deltas
	cpu = cpuSeconds()
	if faults := publisher.ValidateChange(objects, publisher.Change{Upsert: []publisher.Object{account(1)}}); len(faults) > 0 {
		return nil, &publisher.ValidationError{Faults: faults}
	}
	check := cpuSeconds() - cpu
	whole, err := cbor.Marshal(objects)
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"core_ms_per_change_applied": 1000 * apply, "core_ms_per_change_checked": 1000 * check,
		"whole_set_bytes": float64(len(whole)), "heap_bytes": heap,
	}, nil
}
