package selector

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// failureWeight is the weight of one request in the moving average of the failure
	// rate.
	failureWeight = 0.15
	// failureDecayMillis is the time constant of the decay of a failure rate: it falls to
	// 1/e in this time if no request ends.
	failureDecayMillis = 6000
	// loadDecayMillis is the time constant of the decay of a load that an endpoint
	// reported.
	loadDecayMillis = 250
	// latencyWeight is the weight of one response in the moving average of the latency.
	latencyWeight = 0.1
	// An endpoint with requests in flight may go without a response for
	// responseTimeoutFactor times its mean latency, and at least for
	// minResponseTimeoutMillis.
	responseTimeoutFactor    = 4
	minResponseTimeoutMillis = 150
	// maxIdleMillis is the time after which the state of an unused endpoint is dropped.
	maxIdleMillis = 60_000
	// maxRemoteUsageAgeMillis is the age at which the usage of other instances expires.
	maxRemoteUsageAgeMillis = 1500
	// fullBackoffMillis is the time for which an endpoint that reported no capacity gets
	// no requests.
	fullBackoffMillis = 60
	// unreachableMillis is the time for which a failed connection to an endpoint is
	// reported to other instances. Endpoints are in backoff while at least
	// minUnreachablePeers instances report them.
	unreachableMillis   = 1000
	minUnreachablePeers = 2
	// suspectMillis is the time for which a data centre stays suspect.
	suspectMillis = 3000
	// maxMemoryUtilization is the share of an engine's memory that requests may reserve.
	maxMemoryUtilization = 0.96
)

// endpointState is the local view of one run of an endpoint.
type endpointState struct {
	workMillis          float64 // expected, of local requests in flight
	inFlight            int
	memoryTokens        int     // needed by local requests
	reportedMillis      float64 // work of other instances, as reported by the endpoint
	reportedAt          time.Time
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	progressAt          time.Time // last response, or start of the first request in flight
	lastUsedAt          time.Time
	latencyMillis       float64
	probeInFlight       bool
	fullUntil           time.Time
	// respondedAt is the time of the last response. unreachableAt is the time of the last
	// failed connection, and zero after a response.
	respondedAt   time.Time
	unreachableAt time.Time
}

// unreachable reports whether the last connection to the endpoint failed, unless that was
// more than unreachableMillis ago.
func (s *endpointState) unreachable(now time.Time) bool {
	return !s.unreachableAt.IsZero() && now.Sub(s.unreachableAt) < unreachableMillis*time.Millisecond
}

// Tracker keeps the load and health of endpoints as observed by this instance and reported
// by others. It is safe for concurrent use.
type Tracker struct {
	// mu guards everything below.
	mu            sync.Mutex
	states        map[figseam.EndpointRun]*endpointState
	remoteUsage   map[uint32]figseam.EndpointUsage
	remoteUsageAt time.Time
	changed       chan struct{}
	dataCentres   map[figseam.DataCentre]*dataCentreState
}

// dataCentreState holds the times at which an endpoint of a data centre last responded and
// at which one last failed to respond.
type dataCentreState struct {
	respondedAt   time.Time
	unreachableAt time.Time
}

// suspect reports whether the data centre may be partitioned from this instance: within
// suspectMillis an endpoint failed to respond, and none has responded since.
func (d *dataCentreState) suspect(now time.Time) bool {
	return d != nil && d.unreachableAt.After(d.respondedAt) && now.Sub(d.unreachableAt) < suspectMillis*time.Millisecond
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{states: map[figseam.EndpointRun]*endpointState{}, changed: make(chan struct{}), dataCentres: map[figseam.DataCentre]*dataCentreState{}}
}

// Changed returns a channel that is closed when capacity may have become free.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// signalChanged closes the channel that Changed returned and replaces it.
func (t *Tracker) signalChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// LocalUsage returns the requests that this instance has in flight, and the endpoints that
// it could not reach.
func (t *Tracker) LocalUsage() []figseam.EndpointUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var usage []figseam.EndpointUsage
	for run, s := range t.states {
		unreachable := s.unreachable(now)
		if s.inFlight == 0 && !unreachable {
			continue
		}
		u := figseam.EndpointUsage{
			Endpoint: figseam.HashEndpoint(run.ID), Requests: s.inFlight, WorkMillis: int(s.workMillis), MemoryTokens: s.memoryTokens,
		}
		if unreachable {
			u.UnreachableFrom = 1
		}
		usage = append(usage, u)
	}
	return usage
}

// SetRemoteUsage replaces the summed usage of all other instances.
func (t *Tracker) SetRemoteUsage(usage []figseam.EndpointUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remoteUsage, t.remoteUsageAt = make(map[uint32]figseam.EndpointUsage, len(usage)), time.Now()
	for _, u := range usage {
		t.remoteUsage[u.Endpoint] = u
	}
	t.signalChanged()
}

// MergeRemoteUsage replaces the summed usage of all other instances at some endpoints.
// Endpoints without usage are dropped.
func (t *Tracker) MergeRemoteUsage(changes []figseam.EndpointUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remoteUsage == nil {
		t.remoteUsage = map[uint32]figseam.EndpointUsage{}
	}
	t.remoteUsageAt = time.Now()
	for _, u := range changes {
		if u == (figseam.EndpointUsage{Endpoint: u.Endpoint}) {
			delete(t.remoteUsage, u.Endpoint)
			continue
		}
		t.remoteUsage[u.Endpoint] = u
	}
	t.signalChanged()
}

// remoteEndpointUsage returns the usage of an endpoint by other instances, or false if it
// is older than maxRemoteUsageAgeMillis.
func (t *Tracker) remoteEndpointUsage(id string, now time.Time) (figseam.EndpointUsage, bool) {
	if now.Sub(t.remoteUsageAt) > maxRemoteUsageAgeMillis*time.Millisecond {
		return figseam.EndpointUsage{}, false
	}
	return t.remoteUsage[figseam.HashEndpoint(id)], true
}

// state returns the state of an endpoint, which it adds if there is none.
func (t *Tracker) state(e figseam.ListedEndpoint) *endpointState {
	run := e.Run()
	s, ok := t.states[run]
	if !ok {
		s = &endpointState{}
		t.states[run] = s
	}
	return s
}

// dataCentre returns the state of the data centre of an endpoint, which it adds if there is
// none.
func (t *Tracker) dataCentre(e figseam.ListedEndpoint) *dataCentreState {
	d, ok := t.dataCentres[e.DataCentre]
	if !ok {
		d = &dataCentreState{}
		t.dataCentres[e.DataCentre] = d
	}
	return d
}

// MarkFull records that an endpoint reported no capacity.
func (t *Tracker) MarkFull(e figseam.ListedEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(e).fullUntil = time.Now().Add(fullBackoffMillis * time.Millisecond)
	time.AfterFunc(fullBackoffMillis*time.Millisecond, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.signalChanged()
	})
}

// RecordLoad records the load that an endpoint reported. Requests beyond those in flight
// from this instance are attributed to other instances; each is expected to take
// requestMillis milliseconds.
func (t *Tracker) RecordLoad(e figseam.ListedEndpoint, load figseam.EndpointLoad, requestMillis float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	remoteRequests := max(0, load.Running+load.Waiting-s.inFlight)
	s.reportedMillis, s.reportedAt = float64(remoteRequests)*requestMillis, time.Now()
}

// Candidates returns the state of the endpoints that are neither draining nor excluded.
// needTokens is the memory that the request needs on an engine, or 0 if it needs none;
// memoryTokens is the memory of an engine, or 0 if the endpoints have none.
func (t *Tracker) Candidates(endpoints []figseam.ListedEndpoint, exclude func(figseam.ListedEndpoint) bool, needTokens, memoryTokens int) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	candidates := make([]Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Draining || exclude(e) {
			continue
		}
		candidates = append(candidates, t.candidate(e, now, needTokens, memoryTokens))
	}
	return candidates
}

func (t *Tracker) candidate(e figseam.ListedEndpoint, now time.Time, needTokens, memoryTokens int) Candidate {
	c := Candidate{Endpoint: e, ResponseTimeoutMillis: minResponseTimeoutMillis}
	s, ok := t.states[e.Run()]
	if !ok {
		s = &endpointState{}
	}
	remote, fresh := t.remoteEndpointUsage(e.ID, now)
	c.WorkMillis = s.workMillis + float64(remote.WorkMillis)
	if !fresh {
		c.WorkMillis += decay(s.reportedMillis, now.Sub(s.reportedAt), loadDecayMillis)
	}
	if memoryTokens > 0 {
		usedTokens := s.memoryTokens + remote.MemoryTokens
		c.MemoryUtilization = float64(usedTokens) / float64(memoryTokens)
		full := usedTokens > 0 && float64(usedTokens+needTokens) > maxMemoryUtilization*float64(memoryTokens)
		c.BestFit = needTokens > 0
		c.Full = needTokens > 0 && (full || now.Before(s.fullUntil))
	}
	c.FailureRate = decay(s.failureRate, now.Sub(s.failureRateAt), failureDecayMillis)
	c.ConsecutiveFailures, c.ProbeInFlight = s.consecutiveFailures, s.probeInFlight
	c.UnreachableByPeers = remote.UnreachableFrom >= minUnreachablePeers && remote.UnreachableFrom > remote.Requests && now.Sub(s.respondedAt) > unreachableMillis*time.Millisecond
	c.DataCentreSuspect = t.dataCentres[e.DataCentre].suspect(now)
	c.SinceFailureMillis = float64(now.Sub(s.failureRateAt).Milliseconds())
	c.ResponseTimeoutMillis = max(minResponseTimeoutMillis, responseTimeoutFactor*s.latencyMillis)
	if s.inFlight > 0 {
		c.NoResponseMillis = float64(now.Sub(s.progressAt).Milliseconds())
	}
	return c
}

// EvictIdle drops the state of endpoints that had no requests for maxIdleMillis.
func (t *Tracker) EvictIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, s := range t.states {
		if s.inFlight == 0 && time.Since(s.lastUsedAt) > maxIdleMillis*time.Millisecond {
			delete(t.states, run)
		}
	}
}

// decay returns the value after exponential decay with a time constant in milliseconds.
func decay(value float64, age time.Duration, timeConstantMillis float64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp(-float64(age.Milliseconds())/timeConstantMillis)
}

// median returns the lower median of the values, or 0 if there are none. It sorts them in
// place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
