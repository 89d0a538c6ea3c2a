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
	// stayWeight is the weight of one request in the mean stay on a decode engine,
	// firstStayMillis the mean before the first one.
	stayWeight      = 0.05
	firstStayMillis = 2500
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
		if n := q.Tokens(); n > 0 {
			all = append(all, figseam.EndpointUse{Endpoint: figseam.HashEndpoint(QueueName(service)), Tokens: n})
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
}

func (r rate) perSecond(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateSeconds)
}

func (r rate) with(amount float64, now time.Time) rate {
	return rate{value: r.perSecond(now) + amount/rateSeconds, at: now}
}

// stays is the mean time that requests keep their memory on a decode engine.
type stays struct {
	// mu guards millis.
	mu     sync.Mutex
	millis float64
}

func (s *stays) note(stay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.millis = s.mean() + stayWeight*(float64(stay.Milliseconds())-s.mean())
}

func (s *stays) mean() float64 {
	if s.millis == 0 {
		return firstStayMillis
	}
	return s.millis
}

func (s *stays) get() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean()
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
