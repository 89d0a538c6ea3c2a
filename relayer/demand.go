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

// Demand returns what the requests of this instance ask of each service, as uses
// of endpoints that stand for it: the memory for which they wait, and the prefill
// that they bring in a second.
func (r *Relayer) Demand() []figseam.EndpointUse {
	r.rooms.mu.Lock()
	defer r.rooms.mu.Unlock()
	var all []figseam.EndpointUse
	for service, q := range r.rooms.queues {
		waiting, timely := q.Tokens()
		if waiting > 0 {
			all = append(all, figseam.EndpointUse{Endpoint: figseam.HashEndpoint(QueueName(service)), Tokens: waiting})
		}
		if timely > 0 {
			all = append(all, figseam.EndpointUse{Endpoint: figseam.HashEndpoint(TimelyName(service)), Tokens: timely})
		}
		d := r.rooms.demands[service]
		now := time.Now()
		if millis := d.prefill.perSecond(now); millis >= 1 {
			all = append(all, figseam.EndpointUse{
				Endpoint: figseam.HashEndpoint(DemandName(service)), WorkMillis: int(millis), Tokens: int(d.tokens.perSecond(now)),
			})
		}
	}
	return all
}

// QueueName names the endpoint that stands for a service's queue.
func QueueName(service string) string { return "queue/" + service }

// TimelyName names the endpoint that stands for the requests of a service's queue
// that can still meet their target.
func TimelyName(service string) string { return "timely/" + service }

// DemandName names the endpoint that stands for what a service's requests ask in a
// second: WorkMillis of prefill, and memory for Tokens, each held for a second.
func DemandName(service string) string { return "demand/" + service }

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
