package runner

import (
	"time"

	"github.com/figseam/figseam/rebalancer"
)

const (
	// restlessMillis and settleMillis are how long a service's engines are restless
	// and settling after some came or went. turnoverShare is the share of them that
	// may come or go meanwhile.
	restlessMillis = 2500
	settleMillis   = 8000
	turnoverShare  = 0.05
)

// turnover is which engines a service had, and when engines of it came or went.
type turnover struct {
	engines map[string]presence
	changes []time.Time
}

// since returns how many engines came or went in so many milliseconds.
func (t turnover) since(millis int64, now time.Time) int {
	n := 0
	for _, at := range t.changes {
		if now.Sub(at) < time.Duration(millis)*time.Millisecond {
			n++
		}
	}
	return n
}

// presence is one run of an engine, and whether it leaves.
type presence struct {
	bornMillis int64
	leaving    bool
}

// noteEngines notes which engines of a service have come, gone, started anew or
// begun to leave. Those that change their stage have not.
func (s *stewardship) noteEngines(service string) {
	known, now := s.turnovers[service], time.Now()
	next := turnover{engines: map[string]presence{}}
	for _, at := range known.changes {
		if now.Sub(at) < settleMillis*time.Millisecond {
			next.changes = append(next.changes, at)
		}
	}
	for _, e := range s.list.ServiceEndpoints(service) {
		c, ok := s.changing[e.ID]
		seen := presence{bornMillis: e.StartedMillis, leaving: e.Draining && (!ok || c.until.Passed())}
		next.engines[e.ID] = seen
		if was, ok := known.engines[e.ID]; !ok || was != seen {
			next.changes = append(next.changes, now)
		}
	}
	for id := range known.engines {
		if _, ok := next.engines[id]; !ok {
			next.changes = append(next.changes, now)
		}
	}
	s.turnovers[service] = next
}

// turnover tells how long ago engines of a service came or went.
func (s *stewardship) turnover(service string) rebalancer.Churn {
	t, now := s.turnovers[service], time.Now()
	few := turnoverShare * float64(len(t.engines))
	switch {
	case float64(t.since(restlessMillis, now)) > few:
		return rebalancer.ChurnHigh
	case float64(t.since(settleMillis, now)) > few:
		return rebalancer.ChurnModerate
	}
	return rebalancer.ChurnLow
}
