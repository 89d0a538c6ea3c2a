package relayer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// An engine that sends no event may be dead, or sound and busy with other requests. The
// stream is continued elsewhere only if another engine can take it.

const (
	// eventTimeoutShare is the share of the callers' patience after which an engine without
	// an event is replaced, so that another one can still send an event in time. It applies
	// only to streams that may be retried.
	eventTimeoutShare = 0.55
	// alternativeCheckMillis is the interval at which another engine is looked for once the
	// timeout has passed.
	alternativeCheckMillis = 100
)

// eventTimeoutMillis returns the longest time without an event, at the start or between
// two events, of a stream that may be retried. It follows from the route's own targets, so
// that a sound stream whose events come slowly is not broken off.
func (t *task) eventTimeoutMillis() int64 {
	return int64(eventTimeoutShare * float64(t.route.PatienceMillis))
}

// eventWatch cancels an attempt that sends no event in time.
type eventWatch struct {
	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchEvents starts a watch that cancels the attempt if no event arrives in time, provided
// that the request may be retried and another endpoint can take it then. The watch must be
// stopped.
func (s *stream) watchEvents(cancel context.CancelCauseFunc) *eventWatch {
	w := &eventWatch{}
	if s.route.PatienceMillis <= 0 || !s.route.Semantics.Retryable() || s.attempts+1 >= s.route.MaxAttempts {
		return w
	}
	hasAlternative := s.newAlternativeCheck()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Duration(s.firstEventTimeoutMillis)*time.Millisecond, func() {
		if hasAlternative() {
			cancel(errAttemptTimeout)
			return
		}
		w.reset(alternativeCheckMillis)
	})
	return w
}

// reset restarts the timer unless the watch was stopped.
func (w *eventWatch) reset(millis int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(time.Duration(millis) * time.Millisecond)
	}
}

// stop stops the watch.
func (w *eventWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// newAlternativeCheck returns a function that reports whether another endpoint of the stage
// has room for the request now. It is called from another goroutine than the task's, so it
// uses copies of what the task changes.
func (s *stream) newAlternativeCheck() func() bool {
	excluded := maps.Clone(s.excluded)
	excluded[s.endpoint.ID] = true
	service, stage, tokens := s.service, s.endpoint.Stage, 0
	if stage == figseam.EndpointStageDecode {
		tokens = s.expectedTokens()
	}
	memoryTokens := s.memoryTokens()
	return func() bool {
		if s.Budget.Remaining(service) < 1 {
			return false
		}
		exclude := func(e figseam.ListedEndpoint) bool {
			return e.Stage != stage || excluded[e.ID] || !s.Throttle.Allows(e)
		}
		for _, c := range s.Tracker.Candidates(s.EndpointList.ServiceEndpoints(service), exclude, tokens, memoryTokens) {
			if !c.Full && !selector.InBackoff(c) {
				return true
			}
		}
		return false
	}
}
