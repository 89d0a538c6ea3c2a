package publisher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// pushFanOut is the number of instances to which an instance pushes a new version.
	pushFanOut = 3
	// pullsPerGlobalPull sets how often a pull may cross data centres: on average, one in
	// pullsPerGlobalPull pulls chooses its peer from all data centres, the others from this
	// data centre.
	pullsPerGlobalPull = 4
	// pullIntervalMillis is the delay between two pulls.
	pullIntervalMillis = 1000
	// initialPullIntervalMillis is the delay between two pulls while an instance has no
	// version.
	initialPullIntervalMillis = 100
	// pullTimeoutMillis bounds one request to a peer, fullSetTimeoutMillis all requests of
	// one pull, which may fetch the full set.
	pullTimeoutMillis    = 500
	fullSetTimeoutMillis = 5000
)

// Transport carries updates between instances.
type Transport interface {
	// Pull requests the changes after a version from a peer, or the next page of the full
	// set if cursor is set.
	Pull(ctx context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (Update, error)
	// Push sends an update without waiting for a response.
	Push(to figseam.InstanceID, u Update)
}

// Gossiper distributes versions to all instances: it pushes new versions to a few peers
// and periodically pulls from one peer.
type Gossiper struct {
	store      *Store
	membership figseam.Membership
	transport  Transport
	// pushQueue holds new versions to push, pullQueue peers with a higher version.
	pushQueue chan Update
	pullQueue chan figseam.InstanceID
}

// NewGossiper returns a gossiper for a store.
func NewGossiper(store *Store, membership figseam.Membership, transport Transport) *Gossiper {
	g := &Gossiper{
		store: store, membership: membership, transport: transport,
		pushQueue: make(chan Update, 64), pullQueue: make(chan figseam.InstanceID, 16),
	}
	store.Subscribe(g.enqueuePush)
	return g
}

// enqueuePush queues a new version to be pushed: its delta or, if the store does not hold
// exactly one delta after the previous version, only the version number, so that peers pull
// it. If the queue is full, nothing is pushed and peers pull it at their next interval.
func (g *Gossiper) enqueuePush(c *figseam.Config) {
	u := g.store.UpdateSince(c.Version-1, nil)
	if u.FullSet || len(u.Deltas) != 1 {
		u = Update{Version: c.Version}
	}
	select {
	case g.pushQueue <- u:
	default:
	}
}

// HandlePush applies an update that a peer pushed. If this instance is still behind the
// peer afterwards, it pulls from the peer.
func (g *Gossiper) HandlePush(from figseam.InstanceID, u Update) {
	for _, d := range u.Deltas {
		g.store.ApplyDelta(d)
	}
	if u.Version > g.store.Version() {
		select {
		case g.pullQueue <- from:
		default:
		}
	}
}

// Run starts goroutines that push and pull until ctx is cancelled. The returned channel
// is closed when both have stopped.
func (g *Gossiper) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { g.pushLoop(ctx) })
	tasks.Go(func() { g.pullLoop(ctx) })
	go func() {
		defer close(done)
		tasks.Wait()
	}()
	return done
}

func (g *Gossiper) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-g.pushQueue:
			g.push(u)
		}
	}
}

// pullLoop runs in a goroutine of its own, so that an unresponsive peer does not delay
// pushes.
func (g *Gossiper) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(initialPullIntervalMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		if g.store.Version() > 0 {
			ticker.Reset(pullIntervalMillis * time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return
		case from := <-g.pullQueue:
			g.pull(ctx, from)
		case <-ticker.C:
			g.pullFromRandomPeer(ctx)
		}
	}
}

// push sends an update to up to pushFanOut random peers, of this data centre if it has
// any.
func (g *Gossiper) push(u Update) {
	for _, m := range g.randomPeers(pushFanOut, true) {
		g.transport.Push(m.ID, u)
	}
}

// pullFromRandomPeer pulls from a random member that accepts work and reports a higher
// version. If there is none, it pulls from a random peer, of this data centre or, on
// average once in pullsPerGlobalPull pulls, of any.
func (g *Gossiper) pullFromRandomPeer(ctx context.Context) {
	ownVersion := g.store.Version()
	var ahead []figseam.InstanceID
	for _, m := range g.membership.Members() {
		if m.ConfigVersion > ownVersion && m.AcceptsWork() && m.ID != g.membership.Self().ID {
			ahead = append(ahead, m.ID)
		}
	}
	if len(ahead) > 0 {
		g.pull(ctx, ahead[rand.IntN(len(ahead))])
		return
	}
	for _, m := range g.randomPeers(1, rand.IntN(pullsPerGlobalPull) != 0) {
		g.pull(ctx, m.ID)
	}
}

// randomPeers returns up to n random other members that are not dead. If local is set and
// this data centre has such members, it chooses only among these.
func (g *Gossiper) randomPeers(n int, local bool) []figseam.Member {
	self := g.membership.Self()
	var localPeers, peers []figseam.Member
	for _, m := range g.membership.Members() {
		if m.ID == self.ID || m.State == figseam.InstanceDead {
			continue
		}
		peers = append(peers, m)
		if m.DataCentre == self.DataCentre {
			localPeers = append(localPeers, m)
		}
	}
	if local && len(localPeers) > 0 {
		peers = localPeers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// pull brings this instance to a peer's version. It requests updates until the peer has
// no higher version or fullSetTimeoutMillis have passed.
func (g *Gossiper) pull(ctx context.Context, from figseam.InstanceID) {
	pullCtx, cancel := context.WithTimeout(ctx, fullSetTimeoutMillis*time.Millisecond)
	defer cancel()
	for pullCtx.Err() == nil {
		u, err := g.requestUpdate(pullCtx, from, g.store.Version(), nil)
		if err != nil || u.Version <= g.store.Version() {
			return
		}
		if u.FullSet {
			g.pullFullSet(pullCtx, from, u)
			continue
		}
		if len(u.Deltas) == 0 {
			return
		}
		for _, d := range u.Deltas {
			g.store.ApplyDelta(d)
		}
	}
}

// requestUpdate sends one pull request and waits at most pullTimeoutMillis for the
// response.
func (g *Gossiper) requestUpdate(ctx context.Context, from figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeoutMillis*time.Millisecond)
	defer cancel()
	return g.transport.Pull(ctx, from, after, cursor)
}

// pullFullSet fetches the remaining pages of the full set and applies them. The peer's
// version may advance between two pages; reconcilePages then applies the deltas since
// the version of the first page.
func (g *Gossiper) pullFullSet(ctx context.Context, from figseam.InstanceID, first Update) {
	objects := first.Objects
	last := first
	for last.NextCursor != nil {
		next, err := g.requestUpdate(ctx, from, 0, last.NextCursor)
		if err != nil {
			return
		}
		objects = append(objects, next.Objects...)
		last = next
	}
	if last.Version == first.Version {
		g.store.Replace(first.Version, objects)
		return
	}
	g.reconcilePages(ctx, from, first.Version, last.Version, objects)
}

// reconcilePages merges pages that were read at versions between first and last into the
// set of a single version, which is last or higher, and applies it.
func (g *Gossiper) reconcilePages(ctx context.Context, from figseam.InstanceID, first, last uint64, objects []Object) {
	byID := make(map[figseam.ObjectID][]byte, len(objects))
	for _, o := range objects {
		byID[o.ID] = o.Body
	}
	for version := first; version < last; {
		u, err := g.requestUpdate(ctx, from, version, nil)
		if err != nil || len(u.Deltas) == 0 {
			return
		}
		for _, d := range u.Deltas {
			for _, o := range d.Upsert {
				byID[o.ID] = o.Body
			}
			for _, id := range d.Delete {
				delete(byID, id)
			}
			version = d.Version
		}
		last = max(last, version)
	}
	g.store.Replace(last, sortedObjects(byID))
}
