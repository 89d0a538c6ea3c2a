package selector

import (
	"time"

	"github.com/figseam/figseam"
)

// InFlightRequest is a request in flight at an endpoint. Finish must be called exactly
// once.
type InFlightRequest struct {
	tracker      *Tracker
	endpoint     figseam.ListedEndpoint
	startedAt    time.Time
	workMillis   float64
	memoryTokens int
	responded    bool
}

// StartRequest records that a request is sent. workMillis is the time in milliseconds for
// which the request is expected to occupy the endpoint, memoryTokens the memory that it
// needs there.
func (t *Tracker) StartRequest(e figseam.ListedEndpoint, workMillis float64, memoryTokens int) *InFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := t.state(e)
	if s.inFlight == 0 {
		s.progressAt = now
	}
	if s.consecutiveFailures >= backoffFailures {
		s.probeInFlight = true
	}
	s.workMillis += workMillis
	s.memoryTokens += memoryTokens
	s.inFlight++
	s.lastUsedAt = now
	return &InFlightRequest{tracker: t, endpoint: e, startedAt: now, workMillis: workMillis, memoryTokens: memoryTokens}
}

// RecordResponse records that the endpoint responded, either with response headers or with
// an event.
func (r *InFlightRequest) RecordResponse() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	s := r.tracker.state(r.endpoint)
	now := time.Now()
	s.progressAt, s.respondedAt, s.unreachableAt = now, now, time.Time{}
	r.tracker.dataCentre(r.endpoint).respondedAt = now
	if !r.responded {
		r.responded = true
		millis := float64(now.Sub(r.startedAt).Milliseconds())
		if s.latencyMillis == 0 {
			s.latencyMillis = millis
		}
		s.latencyMillis += latencyWeight * (millis - s.latencyMillis)
	}
}

// Result is the outcome of a request at an endpoint.
type Result int

// Outcomes of requests.
const (
	// ResultIgnored is an outcome that does not depend on the endpoint, for example
	// because the caller disconnected.
	ResultIgnored Result = iota
	ResultSuccess
	ResultFailure
	// ResultNoResponse is a failure that the network between instance and endpoint may
	// have caused.
	ResultNoResponse
	// ResultUnreachable is a failure to connect. It is reported to other instances.
	ResultUnreachable
)

// Finish records the outcome of the request and frees its capacity.
func (r *InFlightRequest) Finish(result Result) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	s := r.tracker.state(r.endpoint)
	s.workMillis = max(0, s.workMillis-r.workMillis)
	s.memoryTokens -= r.memoryTokens
	s.inFlight--
	r.tracker.signalChanged()
	s.probeInFlight = false
	now := time.Now()
	s.lastUsedAt = now
	switch result {
	case ResultSuccess:
		s.failureRate = decay(s.failureRate, now.Sub(s.failureRateAt), failureDecayMillis) * (1 - failureWeight)
		s.failureRateAt, s.consecutiveFailures, s.unreachableAt = now, 0, time.Time{}
	case ResultFailure:
		s.recordFailure(now)
	case ResultNoResponse:
		s.recordFailure(now)
		r.tracker.dataCentre(r.endpoint).unreachableAt = now
	case ResultUnreachable:
		s.recordFailure(now)
		s.unreachableAt = now
		r.tracker.dataCentre(r.endpoint).unreachableAt = now
	case ResultIgnored:
	}
}

// RecordFailure records a failure that was detected at another endpoint: a decode engine
// could not fetch a prefill result of this endpoint.
func (t *Tracker) RecordFailure(e figseam.ListedEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	s.recordFailure(time.Now())
	s.lastUsedAt = time.Now()
}

func (s *endpointState) recordFailure(now time.Time) {
	s.failureRate = decay(s.failureRate, now.Sub(s.failureRateAt), failureDecayMillis)
	s.failureRate += failureWeight * (1 - s.failureRate)
	s.failureRateAt = now
	s.consecutiveFailures++
}
