package relayer

import (
	"math"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/queuer"
)

const (
	// rateSeconds is how long what came counts in a rate.
	rateSeconds = 10
	// firstRateSeconds is the least time that a rate is taken over.
	firstRateSeconds = 1
	// stayWeight is the weight of one request in the mean stay on a decode engine.
	stayWeight = 0.05
	// firstStayMillis is the mean before the first request has ended, and counts as
	// much as firstStays of them: those that end first are the short ones.
	firstStayMillis = 3500
	firstStays      = 5
	// othersMillis is how long what other instances' requests ask for is believed.
	othersMillis = 1500
)

// rooms are the queues for the decode engines of each service.
type rooms struct {
	changed func() <-chan struct{}

	// mu guards everything below.
	mu     sync.Mutex
	queues map[string]*queuer.Queue
	// demands is what the requests of each service ask.
	demands map[string]demand
}

// otherDemands is what the requests of other instances ask for. It is safe for
// concurrent use.
type otherDemands struct {
	// mu guards everything below.
	mu    sync.Mutex
	all   []figseam.ServiceDemand
	until figseam.Deadline
}

func (r *rooms) queue(service string) *queuer.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queues[service]
	if !ok {
		q = queuer.New(r.changed)
		r.queues[service] = q
	}
	return q
}

// LocalDemand returns what the requests of this instance ask of each service, of those of
// which they ask anything.
func (r *Relayer) LocalDemand() []figseam.ServiceDemand {
	r.rooms.mu.Lock()
	defer r.rooms.mu.Unlock()
	now := time.Now()
	var all []figseam.ServiceDemand
	for service, q := range r.rooms.queues {
		waiting, timely := q.QueuedTokens()
		rates := r.rooms.demands[service]
		d := figseam.ServiceDemand{
			QueuedTokens: waiting, OnTimeTokens: timely,
			OfferedPrefillMillis: int(rates.prefill.perSecond(now)), OfferedDecodeTokens: int(rates.tokens.perSecond(now)),
		}
		if d != (figseam.ServiceDemand{}) {
			d.Service = figseam.HashService(service)
			all = append(all, d)
		}
	}
	return all
}

// SetRemoteDemand tells what the requests of all other instances together ask for.
func (r *Relayer) SetRemoteDemand(all []figseam.ServiceDemand) {
	r.others.mu.Lock()
	defer r.others.mu.Unlock()
	r.others.all, r.others.until = all, figseam.DeadlineAfterMillis(othersMillis)
}

// of returns what is asked of a service, nothing once it is too old.
func (o *otherDemands) of(service string) figseam.ServiceDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until.Passed() {
		return figseam.ServiceDemand{}
	}
	hash := figseam.HashService(service)
	for _, d := range o.all {
		if d.Service == hash {
			return d
		}
	}
	return figseam.ServiceDemand{}
}

// demand is what the requests of a service ask.
type demand struct {
	prefill rate
	tokens  rate
}

// rate is how much comes in a second; what came long ago counts less.
type rate struct {
	value float64
	at    time.Time
	// since is when the first came.
	since time.Time
}

// perSecond returns the rate. In the first seconds what came is divided by the
// time since the first, as what came before is not known.
func (r rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	age := max(firstRateSeconds, now.Sub(r.since).Seconds())
	return r.faded(now) / (1 - math.Exp(-age/rateSeconds))
}

func (r rate) faded(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateSeconds)
}

func (r rate) with(amount float64, now time.Time) rate {
	if r.since.IsZero() {
		r.since = now
	}
	return rate{value: r.faded(now) + amount/rateSeconds, at: now, since: r.since}
}

// stays is the mean time that requests keep their memory on a decode engine.
type stays struct {
	// mu guards everything below.
	mu     sync.Mutex
	millis float64
	// noted is how many requests the mean rests on.
	noted float64
}

func (s *stays) note(stay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.mean()
	s.noted++
	s.millis = mean + max(stayWeight, 1/(firstStays+s.noted))*(float64(stay.Milliseconds())-mean)
}

func (s *stays) get() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean()
}

func (s *stays) mean() float64 {
	if s.noted == 0 {
		return firstStayMillis
	}
	return s.millis
}

// count notes what a request asks: so much prefill, and memory for tokens during a
// stay.
func (r *rooms) count(service string, prefillMillis float64, tokens int, stayMillis float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	d := r.demands[service]
	r.demands[service] = demand{
		prefill: d.prefill.with(prefillMillis, now),
		tokens:  d.tokens.with(float64(tokens)*stayMillis/1000, now),
	}
}
