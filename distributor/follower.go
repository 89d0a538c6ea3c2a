package distributor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// callMillis bounds one request to a keeper, beside the time for which it
	// holds the request.
	callMillis = 400
	// pauseMillis is the pause after a failed request.
	pauseMillis = 50
	// returnMillis is how often a follower of a far keeper tries a near one.
	returnMillis = 5000
	// relayMillis is how often a keeper tells the leader of its own followers.
	relayMillis = 2000
)

// CallFunc sends a request to a keeping instance.
type CallFunc func(ctx context.Context, to figseam.InstanceID, r Request) (Reply, error)

// Follower follows keeping instances.
type Follower struct {
	self Request
	call CallFunc
	// where returns the instances to begin with.
	where func() []figseam.InstanceID
	// has returns the version and the list's digest that this instance has.
	has func() (version, digest uint64)
	// take is given every reply.
	take func(Reply)
	// followers returns the instances that follow this one, if any.
	followers func() []figseam.InstanceID
	log       zerolog.Logger

	keepers []Keeper
	// places is where keepers are, as far as is known.
	places   map[figseam.InstanceID]figseam.DataCentre
	current  figseam.InstanceID
	near     bool
	inTouch  bool
	relayAt  time.Time
	returnAt time.Time
	keeper   atomic.Pointer[figseam.InstanceID]
}

// NewFollower returns a follower. self names this instance; followers may be nil.
func NewFollower(self Request, call CallFunc, where func() []figseam.InstanceID, has func() (version, digest uint64),
	take func(Reply), followers func() []figseam.InstanceID, log zerolog.Logger,
) *Follower {
	return &Follower{
		self: self, call: call, where: where, has: has, take: take, followers: followers, log: log,
		places: map[figseam.InstanceID]figseam.DataCentre{},
	}
}

// Keeper returns the keeping instance that is followed, empty for none.
func (f *Follower) Keeper() figseam.InstanceID {
	if k := f.keeper.Load(); k != nil {
		return *k
	}
	return ""
}

// Run follows until ctx ends. It returns a channel that is closed at its end.
func (f *Follower) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			f.step(ctx)
		}
	}()
	return ended
}

func (f *Follower) step(ctx context.Context) {
	to := f.choose()
	if to == "" {
		if !f.search(ctx) {
			f.pause(ctx)
		}
		return
	}
	reply, err := f.ask(ctx, to, f.request())
	if err != nil || !reply.Quorum {
		f.leave(to, err)
	}
	if err != nil {
		f.pause(ctx)
		return
	}
	f.learn(to, reply)
}

// choose returns the keeper to ask: the current one, or now and then a near one.
func (f *Follower) choose() figseam.InstanceID {
	if f.self.Keeps {
		return f.leader()
	}
	if f.current == "" || f.near || time.Now().Before(f.returnAt) {
		return f.current
	}
	f.returnAt = time.Now().Add(returnMillis * time.Millisecond)
	for _, c := range f.candidates() {
		if place := f.places[c]; place == "" || place == f.self.DataCentre {
			return c
		}
	}
	return f.current
}

// search asks all known keepers at once and follows the first that is in touch with
// a majority. What the others tell is taken over as well: in a data centre that is
// cut off it is the best there is.
func (f *Follower) search(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		from  figseam.InstanceID
		reply Reply
		err   error
	}
	candidates := f.candidates()
	if f.self.Keeps {
		candidates = nil
	}
	request := f.request()
	answers := make(chan answer, len(candidates))
	for _, to := range candidates {
		go func() {
			reply, err := f.ask(ctx, to, request)
			answers <- answer{from: to, reply: reply, err: err}
		}()
	}
	for range candidates {
		a := <-answers
		if a.err != nil {
			continue
		}
		f.learn(a.from, a.reply)
		if a.reply.Quorum {
			return true
		}
	}
	return false
}

// learn takes a reply over and follows its sender if that is in touch.
func (f *Follower) learn(from figseam.InstanceID, reply Reply) {
	f.take(reply)
	if len(reply.Keepers) > 0 {
		f.keepers = reply.Keepers
	}
	for _, k := range reply.Keepers {
		if k.DataCentre != "" {
			f.places[k.Instance] = k.DataCentre
		}
	}
	f.places[from] = reply.DataCentre
	if reply.Quorum {
		f.settle(from, reply)
	}
}

// leader returns the instance that a keeper follows, unless it leads itself.
func (f *Follower) leader() figseam.InstanceID {
	for _, i := range f.where() {
		if i != f.self.Instance {
			return i
		}
	}
	return ""
}

// candidates returns the known keepers and those of the settings.
func (f *Follower) candidates() []figseam.InstanceID {
	var all []figseam.InstanceID
	for _, k := range f.keepers {
		if k.Instance != f.self.Instance {
			all = append(all, k.Instance)
		}
	}
	for _, i := range f.where() {
		if i != f.self.Instance && !slices.Contains(all, i) {
			all = append(all, i)
		}
	}
	return all
}

// request returns what is asked now.
func (f *Follower) request() Request {
	r := f.self
	r.Version, r.Digest = f.has()
	if now := time.Now(); f.followers != nil && now.After(f.relayAt) {
		f.relayAt = now.Add(relayMillis * time.Millisecond)
		r.Followers = f.followers()
	}
	return r
}

func (f *Follower) ask(ctx context.Context, to figseam.InstanceID, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, (holdMillis+callMillis)*time.Millisecond)
	defer cancel()
	return f.call(ctx, to, r)
}

func (f *Follower) settle(to figseam.InstanceID, r Reply) {
	if !f.inTouch {
		f.log.Info().Str("keeper", string(to)).Msg("keeper regained")
	}
	f.inTouch, f.current, f.near = true, to, r.DataCentre == f.self.DataCentre
	f.keeper.Store(&to)
}

func (f *Follower) leave(from figseam.InstanceID, err error) {
	if from != f.current {
		return
	}
	f.log.Warn().Err(err).Str("keeper", string(from)).Msg("keeper lost")
	f.current, f.inTouch = "", false
	f.keeper.Store(nil)
}

func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(pauseMillis*time.Millisecond + rand.N(pauseMillis*time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
