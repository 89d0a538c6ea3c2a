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
type CallFunc func(ctx context.Context, to figseam.InstanceID, r PollRequest) (PollReply, error)

// Subscriber follows keeping instances.
type Subscriber struct {
	self PollRequest
	call CallFunc
	// where returns the instances to begin with.
	where func() []figseam.InstanceID
	// has returns the version and the list's digest that this instance has.
	has func() (version, digest uint64)
	// take is given every reply.
	take func(PollReply)
	// followers returns the instances that follow this one, if any.
	followers func() []figseam.InstanceID
	log       zerolog.Logger

	keepers []Voter
	// places is where keepers are, as far as is known.
	places   map[figseam.InstanceID]figseam.DataCentre
	current  figseam.InstanceID
	near     bool
	inTouch  bool
	relayAt  time.Time
	returnAt time.Time
	keeper   atomic.Pointer[figseam.InstanceID]
}

// NewSubscriber returns a follower. self names this instance; followers may be nil.
func NewSubscriber(self PollRequest, call CallFunc, where func() []figseam.InstanceID, has func() (version, digest uint64),
	take func(PollReply), followers func() []figseam.InstanceID, log zerolog.Logger,
) *Subscriber {
	return &Subscriber{
		self: self, call: call, where: where, has: has, take: take, followers: followers, log: log,
		places: map[figseam.InstanceID]figseam.DataCentre{},
	}
}

// CurrentVoter returns the keeping instance that is followed, empty for none.
func (f *Subscriber) CurrentVoter() figseam.InstanceID {
	if k := f.keeper.Load(); k != nil {
		return *k
	}
	return ""
}

// Run follows until ctx ends. It returns a channel that is closed at its end.
func (f *Subscriber) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			f.step(ctx)
		}
	}()
	return ended
}

func (f *Subscriber) step(ctx context.Context) {
	to := f.choose()
	if to == "" {
		if !f.search(ctx) {
			f.pause(ctx)
		}
		return
	}
	reply, err := f.ask(ctx, to, f.request())
	if err != nil || !reply.HasQuorum {
		f.leave(to, err)
	}
	if err != nil {
		f.pause(ctx)
		return
	}
	f.learn(to, reply)
}

// choose returns the keeper to ask: the current one, or now and then a near one.
func (f *Subscriber) choose() figseam.InstanceID {
	if f.self.IsVoter {
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
func (f *Subscriber) search(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		from  figseam.InstanceID
		reply PollReply
		err   error
	}
	candidates := f.candidates()
	if f.self.IsVoter {
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
		if a.reply.HasQuorum {
			return true
		}
	}
	return false
}

// learn takes a reply over and follows its sender if that is in touch.
func (f *Subscriber) learn(from figseam.InstanceID, reply PollReply) {
	f.take(reply)
	if len(reply.Voters) > 0 {
		f.keepers = reply.Voters
	}
	for _, k := range reply.Voters {
		if k.DataCentre != "" {
			f.places[k.Instance] = k.DataCentre
		}
	}
	f.places[from] = reply.DataCentre
	if reply.HasQuorum {
		f.settle(from, reply)
	}
}

// leader returns the instance that a keeper follows, unless it leads itself.
func (f *Subscriber) leader() figseam.InstanceID {
	for _, i := range f.where() {
		if i != f.self.Instance {
			return i
		}
	}
	return ""
}

// candidates returns the known keepers and those of the settings.
func (f *Subscriber) candidates() []figseam.InstanceID {
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
func (f *Subscriber) request() PollRequest {
	r := f.self
	r.ConfigVersion, r.ListDigest = f.has()
	if now := time.Now(); f.followers != nil && now.After(f.relayAt) {
		f.relayAt = now.Add(relayMillis * time.Millisecond)
		r.Subscribers = f.followers()
	}
	return r
}

func (f *Subscriber) ask(ctx context.Context, to figseam.InstanceID, r PollRequest) (PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (holdMillis+callMillis)*time.Millisecond)
	defer cancel()
	return f.call(ctx, to, r)
}

func (f *Subscriber) settle(to figseam.InstanceID, r PollReply) {
	if !f.inTouch {
		f.log.Info().Str("keeper", string(to)).Msg("keeper regained")
	}
	f.inTouch, f.current, f.near = true, to, r.DataCentre == f.self.DataCentre
	f.keeper.Store(&to)
}

func (f *Subscriber) leave(from figseam.InstanceID, err error) {
	if from != f.current {
		return
	}
	f.log.Warn().Err(err).Str("keeper", string(from)).Msg("keeper lost")
	f.current, f.inTouch = "", false
	f.keeper.Store(nil)
}

func (f *Subscriber) pause(ctx context.Context) {
	timer := time.NewTimer(pauseMillis*time.Millisecond + rand.N(pauseMillis*time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
