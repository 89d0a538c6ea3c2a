package relayer

import (
	"math"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/queuer"
)

const (
	// rateDecaySeconds is the time constant of the exponential decay of a [rate].
	rateDecaySeconds = 10
	// minRateSeconds is the shortest time over which a rate is averaged.
	minRateSeconds = 1
	// minResidenceWeight is the least weight of one request in the mean residence time on
	// a decode engine.
	minResidenceWeight = 0.05
	// initialResidenceMillis is the mean before the first request has ended. It counts
	// as much as initialResidenceWeight requests, because short requests end first and
	// would bias the mean.
	initialResidenceMillis = 3500
	initialResidenceWeight = 5
	// remoteDemandTTLMillis is the time after which the demand reported for other
	// instances is ignored.
	remoteDemandTTLMillis = 1500
)

// decodeQueues contains the queue for the decode engines of each service and the offered
// load of each service. It is safe for concurrent use.
type decodeQueues struct {
	// changed returns a channel that is closed when memory may have been freed.
	changed func() <-chan struct{}

	// mu guards everything below.
	mu        sync.Mutex
	byService map[string]*queuer.Queue
	offered   map[string]offeredLoad
}

// remoteDemand is the demand of the requests on all other instances. It is safe for
// concurrent use.
type remoteDemand struct {
	// mu guards everything below.
	mu        sync.Mutex
	services  []figseam.ServiceDemand
	expiresAt figseam.Deadline
}

// forService returns the queue of a service. It creates the queue on first use.
func (r *decodeQueues) forService(service string) *queuer.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.byService[service]
	if !ok {
		q = queuer.New(r.changed)
		r.byService[service] = q
	}
	return q
}

// LocalDemand returns the demand of this instance's requests for each service with a
// demand other than zero.
func (r *Relayer) LocalDemand() []figseam.ServiceDemand {
	r.queues.mu.Lock()
	defer r.queues.mu.Unlock()
	now := time.Now()
	var all []figseam.ServiceDemand
	for service, q := range r.queues.byService {
		queued, onTime := q.QueuedTokens()
		offered := r.queues.offered[service]
		d := figseam.ServiceDemand{
			QueuedTokens: queued, OnTimeTokens: onTime,
			OfferedPrefillMillis: int(offered.prefillMillis.perSecond(now)), OfferedDecodeTokens: int(offered.residentTokens.perSecond(now)),
		}
		if d != (figseam.ServiceDemand{}) {
			d.Service = figseam.HashService(service)
			all = append(all, d)
		}
		all = append(all, r.rankDemand(service, q)...)
	}
	return all
}

// rankDemand returns the demand of each rank but the most urgent one, which nobody asks for.
func (r *Relayer) rankDemand(service string, q *queuer.Queue) []figseam.ServiceDemand {
	index := r.index.Load()
	if index == nil || index.RankCount(service) < 2 {
		return nil
	}
	var all []figseam.ServiceDemand
	for rank, tokens := range q.OnTimeTokensByRank(index.RankCount(service)) {
		if rank > 0 && tokens > 0 {
			all = append(all, figseam.ServiceDemand{Service: figseam.HashServiceRank(service, rank), OnTimeTokens: tokens})
		}
	}
	return all
}

// SetRemoteDemand replaces the total demand of the requests on all other instances.
func (r *Relayer) SetRemoteDemand(all []figseam.ServiceDemand) {
	r.remoteDemand.mu.Lock()
	defer r.remoteDemand.mu.Unlock()
	r.remoteDemand.services, r.remoteDemand.expiresAt = all, figseam.DeadlineAfterMillis(remoteDemandTTLMillis)
}

// forService returns the demand for a service; zero if it is unknown or has expired.
func (o *remoteDemand) forService(service string) figseam.ServiceDemand {
	return o.forHash(figseam.HashService(service))
}

// onTimeOfRanks returns the memory in tokens for requests that can still meet their latency
// target, of the ranks from first on and below end.
func (o *remoteDemand) onTimeOfRanks(service string, first, end int) int {
	tokens := 0
	for rank := first; rank < end; rank++ {
		tokens += o.forHash(figseam.HashServiceRank(service, rank)).OnTimeTokens
	}
	return tokens
}

// forHash returns the demand that a hash identifies; zero if it is unknown or has expired.
func (o *remoteDemand) forHash(hash uint32) figseam.ServiceDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.expiresAt.Passed() {
		return figseam.ServiceDemand{}
	}
	for _, d := range o.services {
		if d.Service == hash {
			return d
		}
	}
	return figseam.ServiceDemand{}
}

// offeredLoad is the load that the requests of a service offer per second: prefill time
// in milliseconds, and decode memory in tokens times the seconds that it is kept.
type offeredLoad struct {
	prefillMillis  rate
	residentTokens rate
}

// rate is an exponentially decaying average of an amount per second.
type rate struct {
	value     float64
	updatedAt time.Time
	// firstAt is the time of the first amount.
	firstAt time.Time
}

// perSecond returns the rate. Amounts before the first recorded one are unknown rather
// than zero, so the rate is corrected for the short time since the first.
func (r rate) perSecond(now time.Time) float64 {
	if r.firstAt.IsZero() {
		return 0
	}
	age := max(minRateSeconds, now.Sub(r.firstAt).Seconds())
	return r.decayed(now) / (1 - math.Exp(-age/rateDecaySeconds))
}

// decayed returns the uncorrected rate at the given time.
func (r rate) decayed(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateDecaySeconds)
}

// add returns the rate with an amount added at the given time.
func (r rate) add(amount float64, now time.Time) rate {
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	return rate{value: r.decayed(now) + amount/rateDecaySeconds, updatedAt: now, firstAt: r.firstAt}
}

// residenceMean is the mean time that requests keep their memory on a decode engine. It
// is safe for concurrent use.
type residenceMean struct {
	// mu guards everything below.
	mu     sync.Mutex
	millis float64
	// samples is the number of requests in the mean.
	samples float64
}

// observe adds the residence time of a request that has ended.
func (s *residenceMean) observe(residence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.valueLocked()
	s.samples++
	s.millis = mean + max(minResidenceWeight, 1/(initialResidenceWeight+s.samples))*(float64(residence.Milliseconds())-mean)
}

// value returns the mean in milliseconds.
func (s *residenceMean) value() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.valueLocked()
}

// valueLocked returns the mean in milliseconds; the caller holds mu.
func (s *residenceMean) valueLocked() float64 {
	if s.samples == 0 {
		return initialResidenceMillis
	}
	return s.millis
}

// recordOffered adds the load of a request: prefillMillis of prefill, and memory for a
// number of tokens during residenceMillis.
func (r *decodeQueues) recordOffered(service string, prefillMillis float64, tokens int, residenceMillis float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	d := r.offered[service]
	r.offered[service] = offeredLoad{
		prefillMillis:  d.prefillMillis.add(prefillMillis, now),
		residentTokens: d.residentTokens.add(float64(tokens)*residenceMillis/1000, now),
	}
}
