package lister

import (
	"slices"
	"time"

	"github.com/figseam/figseam"
)

// forgetMillis is the time after which a run of an endpoint that is no longer listed is
// forgotten. A list may lack an endpoint for a moment.
const forgetMillis = 60_000

// RecordLeaving records that an endpoint said in an answer to this instance that it leaves.
// From now on this run of it counts as draining here, whatever the platform's list says.
func (l *EndpointList) RecordLeaving(e figseam.ListedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.leaving[e.Run()]; ok {
		return
	}
	l.leaving[e.Run()] = time.Now()
	l.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Msg("endpoint says that it leaves")
	if l.byService != nil {
		l.index()
	}
}

// SaysItLeaves reports whether this run of an endpoint said that it leaves.
func (l *EndpointList) SaysItLeaves(e figseam.ListedEndpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.leaving[e.Run()]
	return ok
}

// LeavingCount returns the number of listed endpoints that said that they leave.
func (l *EndpointList) LeavingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for run := range l.leaving {
		if e, ok := l.byID[run.ID]; ok && e.Run() == run {
			n++
		}
	}
	return n
}

// index builds the maps of the endpoints. Those that said that they leave count as draining.
// Slices that callers have received are not changed. The caller holds mu.
func (l *EndpointList) index() {
	l.byService = map[string][]figseam.ListedEndpoint{}
	l.byAddress = map[string]figseam.ListedEndpoint{}
	l.byID = map[string]figseam.ListedEndpoint{}
	for _, e := range l.endpoints {
		if _, ok := l.leaving[e.Run()]; ok {
			e.Draining = true
		}
		l.byService[e.Service] = append(l.byService[e.Service], e)
		l.byAddress[e.Address] = e
		l.byID[e.ID] = e
	}
}

// forgetEndedRuns drops runs of endpoints that have ended: another run is listed, or none has
// been for forgetMillis. The caller holds mu; byID is that of the list before.
func (l *EndpointList) forgetEndedRuns() {
	now := time.Now()
	for run := range l.leaving {
		if before, ok := l.byID[run.ID]; ok && before.Run() == run {
			l.leaving[run] = now
		}
		i := slices.IndexFunc(l.endpoints, func(e figseam.ListedEndpoint) bool { return e.ID == run.ID })
		otherRun := i >= 0 && l.endpoints[i].Run() != run
		switch {
		case otherRun, now.Sub(l.leaving[run]) > forgetMillis*time.Millisecond:
			delete(l.leaving, run)
		case i >= 0:
			l.leaving[run] = now
		}
	}
}
