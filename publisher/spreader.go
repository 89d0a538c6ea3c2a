package publisher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// fanOut is to how many instances a new version is pushed.
	fanOut = 3
	// farEvery is how many comparisons there are to one with another data centre.
	farEvery = 4
	// pullMillis is how often an instance compares its version with a peer's.
	pullMillis = 1000
	// firstPullMillis is the same while an instance has no version at all.
	firstPullMillis = 100
	// pullTimeoutMillis bounds the pull of deltas from one peer, wholeTimeoutMillis
	// that of the whole set.
	pullTimeoutMillis  = 500
	wholeTimeoutMillis = 5000
)

// Transport carries updates between instances.
type Transport interface {
	// Pull asks a peer for what follows a version.
	Pull(ctx context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (Update, error)
	// Push sends an update without waiting for an answer.
	Push(to figseam.InstanceID, u Update)
}

// Gossiper brings versions to all instances: it pushes new ones to a few peers
// and pulls from one peer at intervals.
type Gossiper struct {
	store      *Store
	membership figseam.Membership
	peers      Transport
	fresh      chan Update
	behind     chan figseam.InstanceID
}

// NewGossiper returns a spreader for a store.
func NewGossiper(store *Store, membership figseam.Membership, peers Transport) *Gossiper {
	s := &Gossiper{
		store: store, membership: membership, peers: peers,
		fresh: make(chan Update, 64), behind: make(chan figseam.InstanceID, 16),
	}
	store.Subscribe(s.noteVersion)
	return s
}

// noteVersion queues a new version for pushing. When the queue is full the peers
// pull it.
func (s *Gossiper) noteVersion(c *figseam.Config) {
	u := s.store.UpdateSince(c.Version-1, nil)
	if u.FullSet || len(u.Deltas) != 1 {
		u = Update{Version: c.Version}
	}
	select {
	case s.fresh <- u:
	default:
	}
}

// HandlePush takes a pushed update from a peer.
func (s *Gossiper) HandlePush(from figseam.InstanceID, u Update) {
	for _, d := range u.Deltas {
		s.store.ApplyDelta(d)
	}
	if u.Version > s.store.Version() {
		select {
		case s.behind <- from:
		default:
		}
	}
}

// Run pushes and pulls until ctx ends. It returns a channel that is closed at
// the end.
func (s *Gossiper) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { s.pushAll(ctx) })
	tasks.Go(func() { s.pullAll(ctx) })
	go func() {
		defer close(done)
		tasks.Wait()
	}()
	return done
}

func (s *Gossiper) pushAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-s.fresh:
			s.push(u)
		}
	}
}

// pullAll is apart from pushAll, so that a silent peer holds up no push.
func (s *Gossiper) pullAll(ctx context.Context) {
	ticker := time.NewTicker(firstPullMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		if s.store.Version() > 0 {
			ticker.Reset(pullMillis * time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return
		case from := <-s.behind:
			s.pull(ctx, from)
		case <-ticker.C:
			s.compare(ctx)
		}
	}
}

// push sends an update to a few random instances of this data centre.
func (s *Gossiper) push(u Update) {
	for _, m := range s.some(fanOut, true) {
		s.peers.Push(m.ID, u)
	}
}

// compare pulls from a random member, one with a higher version if any is known;
// now and then it is one of another data centre.
func (s *Gossiper) compare(ctx context.Context) {
	mine := s.store.Version()
	var ahead []figseam.InstanceID
	for _, m := range s.membership.Members() {
		if m.ConfigVersion > mine && m.AcceptsWork() && m.ID != s.membership.Self().ID {
			ahead = append(ahead, m.ID)
		}
	}
	if len(ahead) > 0 {
		s.pull(ctx, ahead[rand.IntN(len(ahead))])
		return
	}
	for _, m := range s.some(1, rand.IntN(farEvery) != 0) {
		s.pull(ctx, m.ID)
	}
}

// some returns up to n random other members, of this data centre if local is set
// and there are any.
func (s *Gossiper) some(n int, local bool) []figseam.Member {
	self := s.membership.Self()
	var near, all []figseam.Member
	for _, m := range s.membership.Members() {
		if m.ID == self.ID || m.State == figseam.InstanceDead {
			continue
		}
		all = append(all, m)
		if m.DataCentre == self.DataCentre {
			near = append(near, m)
		}
	}
	if local && len(near) > 0 {
		all = near
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// pull brings this instance to a peer's version. Pages of the whole set may be
// of different versions; the deltas since the first page's version make them
// one.
func (s *Gossiper) pull(ctx context.Context, from figseam.InstanceID) {
	whole, cancel := context.WithTimeout(ctx, wholeTimeoutMillis*time.Millisecond)
	defer cancel()
	for whole.Err() == nil {
		u, err := s.ask(whole, from, s.store.Version(), nil)
		if err != nil || u.Version <= s.store.Version() {
			return
		}
		if u.FullSet {
			s.pullWhole(whole, from, u)
			continue
		}
		if len(u.Deltas) == 0 {
			return
		}
		for _, d := range u.Deltas {
			s.store.ApplyDelta(d)
		}
	}
}

// ask sends one question, which a silent peer leaves open only for a short time.
func (s *Gossiper) ask(ctx context.Context, from figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeoutMillis*time.Millisecond)
	defer cancel()
	return s.peers.Pull(ctx, from, after, cursor)
}

func (s *Gossiper) pullWhole(ctx context.Context, from figseam.InstanceID, first Update) {
	objects := first.Objects
	last := first
	for last.NextCursor != nil {
		next, err := s.ask(ctx, from, 0, last.NextCursor)
		if err != nil {
			return
		}
		objects = append(objects, next.Objects...)
		last = next
	}
	if last.Version == first.Version {
		s.store.Replace(first.Version, objects)
		return
	}
	s.mend(ctx, from, first.Version, last.Version, objects)
}

// mend brings pages of versions first to last to one version at or above last.
func (s *Gossiper) mend(ctx context.Context, from figseam.InstanceID, first, last uint64, objects []Object) {
	byID := make(map[figseam.ObjectID][]byte, len(objects))
	for _, o := range objects {
		byID[o.ID] = o.Body
	}
	for version := first; version < last; {
		u, err := s.ask(ctx, from, version, nil)
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
	s.store.Replace(last, sortedObjects(byID))
}
