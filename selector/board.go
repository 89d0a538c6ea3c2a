package selector

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// failureWeight is the weight of one answer in the share of failures.
	failureWeight = 0.15
	// failureFadeMillis is how long a share of failures takes to fall to a third
	// without any answer.
	failureFadeMillis = 6000
	// loadFadeMillis is the same for what an endpoint said of its load.
	loadFadeMillis = 250
	// latencyWeight is the weight of one answer in the usual latency.
	latencyWeight = 0.1
	// patienceFactor times the usual latency, and at least patienceMillis, is how
	// long an endpoint may have work without any answer.
	patienceFactor = 4
	patienceMillis = 150
	// forgetMillis is when the record of an endpoint without work is dropped.
	forgetMillis = 60_000
	// othersMillis is how long what other instances have under way is believed.
	othersMillis = 1500
	// fullMillis is how long an endpoint that said that it is full is left alone.
	fullMillis = 60
	// unreachedMillis is how long others are told of an endpoint that could not be
	// reached, and unreachedMost from how many of them it is left alone.
	unreachedMillis = 1000
	unreachedMost   = 2
	// doubtfulMillis is how long a data centre is in doubt.
	doubtfulMillis = 3000
	// memoryFill is the part of an engine's memory that requests are placed on.
	memoryFill = 0.96
)

// record is what one instance knows of an endpoint.
type record struct {
	work       float64 // expected milliseconds of own work under way
	underWay   int
	tokens     int     // of memory that own requests need
	said       float64 // work of others, as the endpoint said itself
	saidAt     time.Time
	failure    float64
	failureAt  time.Time
	inRow      int
	answeredAt time.Time // or when the first of the work under way began
	usedAt     time.Time
	latency    float64
	trying     bool
	fullUntil  time.Time
	// heardAt is when it last answered, unreachedAt when it could not be reached; zero
	// after it answered.
	heardAt     time.Time
	unreachedAt time.Time
}

// unreached reports whether the endpoint could not be reached at the last try.
func (r *record) unreached(now time.Time) bool {
	return !r.unreachedAt.IsZero() && now.Sub(r.unreachedAt) < unreachedMillis*time.Millisecond
}

// Tracker keeps what is believed of endpoints. It is safe for concurrent use.
type Tracker struct {
	// mu guards everything below.
	mu       sync.Mutex
	records  map[key]*record
	others   map[uint32]figseam.EndpointUsage
	othersAt time.Time
	changed  chan struct{}
	centres  map[figseam.DataCentre]*contact
}

// contact is when endpoints of a data centre last answered, and when one could not
// be reached.
type contact struct {
	answeredAt    time.Time
	unreachableAt time.Time
}

// doubtful reports whether the data centre seems to be cut off: an endpoint could
// not be reached lately, and none has answered since.
func (c *contact) doubtful(now time.Time) bool {
	return c != nil && c.unreachableAt.After(c.answeredAt) && now.Sub(c.unreachableAt) < doubtfulMillis*time.Millisecond
}

// key names one run of an endpoint: one that starts anew begins with a clean
// record.
type key struct {
	id   string
	born int64
}

// NewTracker returns an empty board.
func NewTracker() *Tracker {
	return &Tracker{records: map[key]*record{}, changed: make(chan struct{}), centres: map[figseam.DataCentre]*contact{}}
}

// Changed returns a channel that is closed when a place may have become free.
func (b *Tracker) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Tracker) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// LocalUsage returns what this instance has under way, and the endpoints that it could not
// reach.
func (b *Tracker) LocalUsage() []figseam.EndpointUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var all []figseam.EndpointUsage
	for k, r := range b.records {
		unreached := r.unreached(now)
		if r.underWay == 0 && !unreached {
			continue
		}
		u := figseam.EndpointUsage{
			Endpoint: figseam.HashEndpoint(k.id), Requests: r.underWay, WorkMillis: int(r.work), MemoryTokens: r.tokens,
		}
		if unreached {
			u.UnreachableFrom = 1
		}
		all = append(all, u)
	}
	return all
}

// SetRemoteUsage tells what all other instances together have under way.
func (b *Tracker) SetRemoteUsage(all []figseam.EndpointUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.othersAt = make(map[uint32]figseam.EndpointUsage, len(all)), time.Now()
	for _, u := range all {
		b.others[u.Endpoint] = u
	}
	b.signal()
}

// otherUse returns what other instances have under way at an endpoint.
func (b *Tracker) otherUse(id string, now time.Time) (figseam.EndpointUsage, bool) {
	if now.Sub(b.othersAt) > othersMillis*time.Millisecond {
		return figseam.EndpointUsage{}, false
	}
	return b.others[figseam.HashEndpoint(id)], true
}

func keyOf(e figseam.ListedEndpoint) key { return key{id: e.ID, born: e.StartedMillis} }

func (b *Tracker) record(e figseam.ListedEndpoint) *record {
	k := keyOf(e)
	r, ok := b.records[k]
	if !ok {
		r = &record{}
		b.records[k] = r
	}
	return r
}

// InFlightRequest is a request under way at an endpoint. End must be called once.
type InFlightRequest struct {
	b        *Tracker
	endpoint figseam.ListedEndpoint
	began    time.Time
	millis   float64
	tokens   int
	answered bool
}

// StartRequest notes that a request is sent. millis is how long it is expected to keep
// the endpoint busy, tokens the memory that it needs there.
func (b *Tracker) StartRequest(e figseam.ListedEndpoint, millis float64, tokens int) *InFlightRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.record(e)
	if r.underWay == 0 {
		r.answeredAt = now
	}
	if r.inRow >= failuresInRow {
		r.trying = true
	}
	r.work += millis
	r.tokens += tokens
	r.underWay++
	r.usedAt = now
	return &InFlightRequest{b: b, endpoint: e, began: now, millis: millis, tokens: tokens}
}

// RecordResponse notes a sign of life: the head of an answer or an event.
func (w *InFlightRequest) RecordResponse() {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	r := w.b.record(w.endpoint)
	now := time.Now()
	r.answeredAt, r.heardAt, r.unreachedAt = now, now, time.Time{}
	w.b.contact(w.endpoint).answeredAt = now
	if !w.answered {
		w.answered = true
		millis := float64(now.Sub(w.began).Milliseconds())
		if r.latency == 0 {
			r.latency = millis
		}
		r.latency += latencyWeight * (millis - r.latency)
	}
}

// Result says how a request ended at an endpoint.
type Result int

// Verdicts.
const (
	// ResultIgnored says nothing of the endpoint, such as a caller who left.
	ResultIgnored Result = iota
	ResultSuccess
	ResultFailure
	// ResultNoResponse is Bad, and may be the fault of the way to the endpoint.
	ResultNoResponse
	// ResultUnreachable is the same, and others are told of it.
	ResultUnreachable
)

func (b *Tracker) contact(e figseam.ListedEndpoint) *contact {
	c, ok := b.centres[e.DataCentre]
	if !ok {
		c = &contact{}
		b.centres[e.DataCentre] = c
	}
	return c
}

// Finish notes how the request ended.
func (w *InFlightRequest) Finish(v Result) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	r := w.b.record(w.endpoint)
	r.work = max(0, r.work-w.millis)
	r.tokens -= w.tokens
	r.underWay--
	w.b.signal()
	r.trying = false
	now := time.Now()
	r.usedAt = now
	switch v {
	case ResultSuccess:
		r.failure = fade(r.failure, now.Sub(r.failureAt), failureFadeMillis) * (1 - failureWeight)
		r.failureAt, r.inRow, r.unreachedAt = now, 0, time.Time{}
	case ResultFailure:
		r.fail(now)
	case ResultNoResponse:
		r.fail(now)
		w.b.contact(w.endpoint).unreachableAt = now
	case ResultUnreachable:
		r.fail(now)
		r.unreachedAt = now
		w.b.contact(w.endpoint).unreachableAt = now
	case ResultIgnored:
	}
}

// RecordFailure notes a failure of an endpoint that showed elsewhere: the result of its
// prefill was gone when another engine asked for it.
func (b *Tracker) RecordFailure(e figseam.ListedEndpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(e)
	r.fail(time.Now())
	r.usedAt = time.Now()
}

// fail notes a failure.
func (r *record) fail(now time.Time) {
	r.failure = fade(r.failure, now.Sub(r.failureAt), failureFadeMillis)
	r.failure += failureWeight * (1 - r.failure)
	r.failureAt = now
	r.inRow++
}

// MarkFull notes that an endpoint said that it has no room.
func (b *Tracker) MarkFull(e figseam.ListedEndpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(e).fullUntil = time.Now().Add(fullMillis * time.Millisecond)
	time.AfterFunc(fullMillis*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.signal()
	})
}

// RecordLoad notes what an endpoint said of its load: others are the requests beside
// this instance's own, each of which is expected to take millis.
func (b *Tracker) RecordLoad(e figseam.ListedEndpoint, load figseam.EndpointLoad, millis float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(e)
	others := max(0, load.Running+load.Waiting-r.underWay)
	r.said, r.saidAt = float64(others)*millis, time.Now()
}

// Candidates returns what is believed of endpoints, without those to avoid. need
// is the memory in tokens that a request wants of an engine that has memory; 0
// for a request that needs none.
func (b *Tracker) Candidates(endpoints []figseam.ListedEndpoint, avoid func(figseam.ListedEndpoint) bool, need, memory int) []Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	all := make([]Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Draining || avoid(e) {
			continue
		}
		all = append(all, b.candidate(e, now, need, memory))
	}
	return all
}

func (b *Tracker) candidate(e figseam.ListedEndpoint, now time.Time, need, memory int) Candidate {
	c := Candidate{Endpoint: e, ResponseTimeoutMillis: patienceMillis}
	r, ok := b.records[keyOf(e)]
	if !ok {
		r = &record{}
	}
	others, known := b.otherUse(e.ID, now)
	c.WorkMillis = r.work + float64(others.WorkMillis)
	if !known {
		c.WorkMillis += fade(r.said, now.Sub(r.saidAt), loadFadeMillis)
	}
	if memory > 0 {
		used := r.tokens + others.MemoryTokens
		c.MemoryUtilization = float64(used) / float64(memory)
		full := used > 0 && float64(used+need) > memoryFill*float64(memory)
		c.BestFit = need > 0
		c.Full = need > 0 && (full || now.Before(r.fullUntil))
	}
	c.FailureRate = fade(r.failure, now.Sub(r.failureAt), failureFadeMillis)
	c.ConsecutiveFailures, c.ProbeInFlight = r.inRow, r.trying
	c.UnreachableByPeers = others.UnreachableFrom >= unreachedMost && others.UnreachableFrom > others.Requests && now.Sub(r.heardAt) > unreachedMillis*time.Millisecond
	c.DataCentreSuspect = b.centres[e.DataCentre].doubtful(now)
	c.SinceFailureMillis = float64(now.Sub(r.failureAt).Milliseconds())
	c.ResponseTimeoutMillis = max(patienceMillis, patienceFactor*r.latency)
	if r.underWay > 0 {
		c.NoResponseMillis = float64(now.Sub(r.answeredAt).Milliseconds())
	}
	return c
}

// EvictIdle drops the records of endpoints that were not used for long.
func (b *Tracker) EvictIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, r := range b.records {
		if r.underWay == 0 && time.Since(r.usedAt) > forgetMillis*time.Millisecond {
			delete(b.records, k)
		}
	}
}

// fade lets a value fall to a third in millis.
func fade(value float64, age time.Duration, millis float64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp(-float64(age.Milliseconds())/millis)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
