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
	// publishedVersions is the number of versions whose propagation is measured.
	publishedVersions = 10
	// publishIntervalMillis is the interval between two versions. It corresponds to about
	// 42,000 changes a day.
	publishIntervalMillis = 2000
	// deltaCount is the number of deltas over which the cost of applying one is averaged.
	deltaCount = 20
)

// accountObject returns the configuration object of the i-th client account.
func accountObject(i int) publisher.Object {
	name := fmt.Sprintf("account-%05d", i)
	return publisher.Object{
		ID:   figseam.ObjectID{Kind: figseam.KindAccount, Name: name},
		Body: fmt.Appendf(nil, `{"kind":"account","name":%q,"class":"gold"}`, name),
	}
}

// gossipNetwork connects the gossipers of this process and counts the messages and
// their encoded size.
type gossipNetwork struct {
	mu        sync.Mutex
	members   []figseam.Member
	stores    map[figseam.InstanceID]*publisher.Store
	gossipers map[figseam.InstanceID]*publisher.Gossiper
	messages  int
	bytes     int
}

// gossipPeer implements [figseam.Membership] and [publisher.Transport] for one
// instance of a network.
type gossipPeer struct {
	network *gossipNetwork
	self    figseam.Member
}

func (p gossipPeer) Self() figseam.Member { return p.self }

func (p gossipPeer) Members() []figseam.Member { return p.network.members }

func (p gossipPeer) countMessage(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.messages++
	p.network.bytes += len(data)
}

// Pull implements [publisher.Transport].
func (p gossipPeer) Pull(_ context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (publisher.Update, error) {
	update := p.network.stores[to].UpdateSince(after, cursor)
	p.countMessage(after)
	p.countMessage(update)
	return update, nil
}

// Push implements [publisher.Transport].
func (p gossipPeer) Push(to figseam.InstanceID, u publisher.Update) {
	p.countMessage(u)
	go p.network.gossipers[to].HandlePush(p.self.ID, u)
}

// measureConfigPropagation publishes versions on one instance of each data centre, as the
// replicated log does, and measures the time until all instances have them. size is the
// number of instances; the number of data centres is that of [measureMembership].
func measureConfigPropagation(size int) (map[string]float64, error) {
	n := &gossipNetwork{stores: map[figseam.InstanceID]*publisher.Store{}, gossipers: map[figseam.InstanceID]*publisher.Gossiper{}}
	dataCentreCount := min(16, max(1, size/4))
	for i := range size {
		n.members = append(n.members, figseam.Member{
			ID: figseam.InstanceID(fmt.Sprintf("instance-%03d", i)), DataCentre: figseam.DataCentre(fmt.Sprint("dc-", i%dataCentreCount)),
			State: figseam.InstanceAlive,
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	var exits []<-chan struct{}
	for _, m := range n.members {
		n.stores[m.ID] = publisher.NewStore()
		n.gossipers[m.ID] = publisher.NewGossiper(n.stores[m.ID], gossipPeer{n, m}, gossipPeer{n, m})
	}
	for _, g := range n.gossipers {
		exits = append(exits, g.Run(ctx))
	}
	defer func() {
		stop()
		for _, exit := range exits {
			<-exit
		}
	}()
	slowest := time.Duration(0)
	start := time.Now()
	for v := uint64(1); v <= publishedVersions; v++ {
		elapsed, err := n.publish(v, dataCentreCount)
		if err != nil {
			return nil, err
		}
		slowest = max(slowest, elapsed)
		time.Sleep(time.Until(start.Add(time.Duration(v) * publishIntervalMillis * time.Millisecond)))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	instanceSeconds := float64(size) * time.Since(start).Seconds()
	return map[string]float64{
		"slowest_millis": 1000 * slowest.Seconds(), "bytes_per_instance_s": float64(n.bytes) / instanceSeconds,
		"messages_per_instance_s": float64(n.messages) / instanceSeconds,
	}, nil
}

// publish applies a version on the first member of each data centre and returns the time
// until all members have it. It fails after 10 s.
func (n *gossipNetwork) publish(version uint64, dataCentreCount int) (time.Duration, error) {
	start := time.Now()
	for _, m := range n.members[:dataCentreCount] {
		n.stores[m.ID].ApplyDelta(publisher.Delta{Version: version, ChangeID: fmt.Sprint(version), Upsert: []publisher.Object{accountObject(int(version))}})
	}
	for time.Since(start) < 10*time.Second {
		if n.allStoresHave(version) {
			return time.Since(start), nil
		}
		time.Sleep(time.Millisecond)
	}
	return 0, errors.New("version did not spread within 10 s")
}

// allStoresHave reports whether every store has the version or a later one.
func (n *gossipNetwork) allStoresHave(version uint64) bool {
	for _, s := range n.stores {
		if s.Version() < version {
			return false
		}
	}
	return true
}

// measureConfigObjects measures the CPU time to apply and to validate a change to a
// configuration of size objects, and the configuration's encoded size and heap use.
func measureConfigObjects(size int) (map[string]float64, error) {
	var objects []publisher.Object
	for i := range size {
		objects = append(objects, accountObject(i))
	}
	class := publisher.Object{
		ID:   figseam.ObjectID{Kind: figseam.KindAccountClass, Name: "gold"},
		Body: []byte(`{"kind":"account_class","name":"gold","requests_per_s":5,"burst":5}`),
	}
	objects = append(objects, class)
	heapBefore := heapBytes()
	store := publisher.NewStore()
	store.Replace(1, objects)
	heap := heapBytes() - heapBefore
	cpuBefore := cpuSeconds()
	for v := range uint64(deltaCount) {
		if !store.ApplyDelta(publisher.Delta{Version: v + 2, Upsert: []publisher.Object{accountObject(int(v))}}) {
			return nil, errors.New("delta was not applied")
		}
	}
	applySeconds := (cpuSeconds() - cpuBefore) / deltaCount
	cpuBefore = cpuSeconds()
	if faults := publisher.ValidateChange(objects, publisher.Change{Upsert: []publisher.Object{accountObject(1)}}); len(faults) > 0 {
		return nil, &publisher.ValidationError{Faults: faults}
	}
	validateSeconds := cpuSeconds() - cpuBefore
	data, err := cbor.Marshal(objects)
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"core_ms_per_change_applied": 1000 * applySeconds, "core_ms_per_change_checked": 1000 * validateSeconds,
		"whole_set_bytes": float64(len(data)), "heap_bytes": heap,
	}, nil
}
