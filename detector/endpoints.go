package detector

import (
	"sync"

	"github.com/figseam/figseam"
)

const (
	// failuresUntilDown is the number of consecutive failures after which an endpoint is down.
	failuresUntilDown = 2
	// drainingReportTTLMillis is the time for which an endpoint's own report that it is
	// draining is valid unless it is repeated.
	drainingReportTTLMillis = 15_000
)

// EndpointTracker derives the states of endpoints from the platform's list of draining
// endpoints, the endpoints' own reports, and the results of calls and health checks. An
// endpoint is draining as soon as the platform or the endpoint itself reports it.
// EndpointTracker implements [figseam.EndpointStates] and is safe for concurrent use.
type EndpointTracker struct {
	// mu guards the fields below.
	mu                  sync.Mutex
	platformDraining    map[figseam.EndpointID]bool
	reportedDraining    map[figseam.EndpointID]figseam.Deadline
	consecutiveFailures map[figseam.EndpointID]int
}

// NewEndpointTracker returns a tracker for which every endpoint is live.
func NewEndpointTracker() *EndpointTracker {
	return &EndpointTracker{
		platformDraining: map[figseam.EndpointID]bool{}, reportedDraining: map[figseam.EndpointID]figseam.Deadline{},
		consecutiveFailures: map[figseam.EndpointID]int{},
	}
}

// State implements [figseam.EndpointStates].
func (e *EndpointTracker) State(id figseam.EndpointID) figseam.EndpointState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until, ok := e.reportedDraining[id]; e.platformDraining[id] || (ok && !until.Passed()) {
		return figseam.EndpointDraining
	}
	if e.consecutiveFailures[id] >= failuresUntilDown {
		return figseam.EndpointDown
	}
	return figseam.EndpointLive
}

// SetPlatformDraining replaces the list of endpoints that are draining according to the
// platform.
func (e *EndpointTracker) SetPlatformDraining(draining []figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.platformDraining)
	for _, id := range draining {
		e.platformDraining[id] = true
	}
}

// RecordDraining records that an endpoint has reported that it is draining.
func (e *EndpointTracker) RecordDraining(id figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedDraining[id] = figseam.DeadlineAfterMillis(drainingReportTTLMillis)
}

// RecordSuccess records a successful call or health check. It resets the number of
// consecutive failures.
func (e *EndpointTracker) RecordSuccess(id figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.consecutiveFailures, id)
}

// RecordFailure records that an endpoint did not respond to a call or health check.
func (e *EndpointTracker) RecordFailure(id figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.consecutiveFailures[id]++
}
