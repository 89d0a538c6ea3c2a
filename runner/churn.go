package runner

import (
	"time"

	"github.com/figseam/figseam/rebalancer"
)

const (
	// highChurnWindowMillis and moderateChurnWindowMillis are the windows in which changes
	// of a service's engines count as high and as moderate churn. churnThresholdRatio is
	// the ratio of changes in a window to engines above which there is such churn.
	highChurnWindowMillis     = 2500
	moderateChurnWindowMillis = 8000
	churnThresholdRatio       = 0.05
)

// churnHistory holds the engines of a service at the last check, and the times of recent
// changes. A change is an engine that was added, removed or restarted, or that began or
// stopped to drain.
type churnHistory struct {
	engines map[string]engineState
	changes []time.Time
}

// changesWithin returns the number of changes in the last millis milliseconds.
func (h churnHistory) changesWithin(millis int64, now time.Time) int {
	count := 0
	for _, at := range h.changes {
		if now.Sub(at) < time.Duration(millis)*time.Millisecond {
			count++
		}
	}
	return count
}

// engineState identifies one run of an engine by its start time, in milliseconds, and
// includes whether the engine is draining.
type engineState struct {
	startedMillis int64
	draining      bool
}

// recordChurn compares the engines of a service with those at the last check and records
// the changes. Draining for a stage change does not count.
func (s *stageManager) recordChurn(service string) {
	previous, now := s.churnHistories[service], time.Now()
	current := churnHistory{engines: map[string]engineState{}}
	for _, at := range previous.changes {
		if now.Sub(at) < moderateChurnWindowMillis*time.Millisecond {
			current.changes = append(current.changes, at)
		}
	}
	for _, e := range s.list.ServiceEndpoints(service) {
		c, ok := s.pendingChanges[e.ID]
		state := engineState{startedMillis: e.StartedMillis, draining: e.Draining && (!ok || c.expiresAt.Passed())}
		current.engines[e.ID] = state
		if before, ok := previous.engines[e.ID]; !ok || before != state {
			current.changes = append(current.changes, now)
		}
	}
	for id := range previous.engines {
		if _, ok := current.engines[id]; !ok {
			current.changes = append(current.changes, now)
		}
	}
	s.churnHistories[service] = current
}

// churnLevel returns the churn of a service's engines.
func (s *stageManager) churnLevel(service string) rebalancer.Churn {
	history, now := s.churnHistories[service], time.Now()
	threshold := churnThresholdRatio * float64(len(history.engines))
	switch {
	case float64(history.changesWithin(highChurnWindowMillis, now)) > threshold:
		return rebalancer.ChurnHigh
	case float64(history.changesWithin(moderateChurnWindowMillis, now)) > threshold:
		return rebalancer.ChurnModerate
	}
	return rebalancer.ChurnLow
}
