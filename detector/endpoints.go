package detector

import (
	"sync"

	"github.com/figseam/figseam"
)

const (
	// failuresUntilDown is after how many failures in a row an endpoint is down.
	failuresUntilDown = 2
	// signMillis is how long a sign that an endpoint leaves is believed without
	// being seen again.
	signMillis = 15_000
)

// EndpointTracker gathers the signs of which endpoints take work: the platform's list,
// load reports, and refusals. The earliest sign counts. It implements
// [figseam.EndpointStates] and is safe for concurrent use.
type EndpointTracker struct {
	// mu guards everything below.
	mu       sync.Mutex
	listed   map[figseam.EndpointID]bool
	leaving  map[figseam.EndpointID]figseam.Deadline
	failures map[figseam.EndpointID]int
}

// NewEndpointTracker returns a list on which every endpoint is live.
func NewEndpointTracker() *EndpointTracker {
	return &EndpointTracker{
		listed: map[figseam.EndpointID]bool{}, leaving: map[figseam.EndpointID]figseam.Deadline{},
		failures: map[figseam.EndpointID]int{},
	}
}

// State implements [figseam.EndpointStates].
func (e *EndpointTracker) State(id figseam.EndpointID) figseam.EndpointState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until, ok := e.leaving[id]; e.listed[id] || (ok && !until.Passed()) {
		return figseam.EndpointDraining
	}
	if e.failures[id] >= failuresUntilDown {
		return figseam.EndpointDown
	}
	return figseam.EndpointLive
}

// SetPlatformLeaving replaces the platform's list of leaving endpoints.
func (e *EndpointTracker) SetPlatformLeaving(leaving []figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.listed)
	for _, id := range leaving {
		e.listed[id] = true
	}
}

// RecordLeaving notes that an endpoint said itself that it leaves.
func (e *EndpointTracker) RecordLeaving(id figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving[id] = figseam.DeadlineAfterMillis(signMillis)
}

// RecordSuccess notes that an endpoint answered a look at its health.
func (e *EndpointTracker) RecordSuccess(id figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.failures, id)
}

// RecordFailure notes that an endpoint did not answer.
func (e *EndpointTracker) RecordFailure(id figseam.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures[id]++
}
