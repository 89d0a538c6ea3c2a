// Package aggregator tells instances what all of them together have under way at each
// endpoint, and what their requests ask of each service, a fraction of a second late.
//
// An entry reports to a voter and gets back the sum of all others. Voters tell
// each other the sums of their own entries. A report that is not renewed is
// forgotten, since its instance may have ended.
package aggregator

import (
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// reportMillis is how long a report counts.
const reportMillis = 1500

// Load is what instances have under way and what their requests ask for.
type Load struct {
	Usage  []figseam.EndpointUsage `cbor:"1,keyasint,omitempty"`
	Demand []figseam.ServiceDemand `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether nothing is under way.
func (l Load) Empty() bool { return len(l.Usage) == 0 && len(l.Demand) == 0 }

// Report is the load of one instance, or of the entries of one voter.
type Report struct {
	Instance figseam.InstanceID `cbor:"1,keyasint"`
	Load     Load               `cbor:"2,keyasint"`
}

// Store adds reports up. It is safe for concurrent use.
type Store struct {
	// mu guards everything below.
	mu      sync.Mutex
	entries map[figseam.InstanceID]timed
	voters  map[figseam.InstanceID]timed
}

type timed struct {
	load Load
	at   time.Time
}

// New returns sums without any report.
func New() *Store {
	return &Store{entries: map[figseam.InstanceID]timed{}, voters: map[figseam.InstanceID]timed{}}
}

// ExchangeReport takes an entry's report and returns the sum of all other entries.
func (s *Store) ExchangeReport(r Report) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[r.Instance] = timed{load: r.Load, at: time.Now()}
	total := newTotal()
	for i, t := range s.entries {
		if i != r.Instance {
			total.add(t)
		}
	}
	for _, t := range s.voters {
		total.add(t)
	}
	return total.load()
}

// MergePeer takes the sum of another voter's entries.
func (s *Store) MergePeer(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voters[r.Instance] = timed{load: r.Load, at: time.Now()}
}

// LocalSum returns the sum of the entries that report here.
func (s *Store) LocalSum() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := newTotal()
	for i, t := range s.entries {
		if !total.add(t) {
			delete(s.entries, i)
		}
	}
	return total.load()
}

// Total returns what all instances have under way.
func (s *Store) Total() *Total {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := newTotal()
	for _, t := range s.entries {
		total.add(t)
	}
	for _, t := range s.voters {
		total.add(t)
	}
	return total
}

// Total is a sum of loads, by the hashes of endpoints' IDs and services' names.
type Total struct {
	uses    map[uint32]figseam.EndpointUsage
	demands map[uint32]figseam.ServiceDemand
}

func newTotal() *Total {
	return &Total{uses: map[uint32]figseam.EndpointUsage{}, demands: map[uint32]figseam.ServiceDemand{}}
}

// EndpointUsage returns the use of an endpoint.
func (t *Total) EndpointUsage(id string) figseam.EndpointUsage {
	return t.uses[figseam.HashEndpoint(id)]
}

// ServiceDemand returns what is asked of a service.
func (t *Total) ServiceDemand(service string) figseam.ServiceDemand {
	return t.demands[figseam.HashService(service)]
}

// add adds a report unless it is too old.
func (t *Total) add(report timed) bool {
	if time.Since(report.at) > reportMillis*time.Millisecond {
		return false
	}
	for _, u := range report.load.Usage {
		t.uses[u.Endpoint] = t.uses[u.Endpoint].Add(u)
	}
	for _, d := range report.load.Demand {
		t.demands[d.Service] = t.demands[d.Service].Add(d)
	}
	return true
}

func (t *Total) load() Load {
	var l Load
	for _, u := range t.uses {
		l.Usage = append(l.Usage, u)
	}
	for _, d := range t.demands {
		l.Demand = append(l.Demand, d)
	}
	return l
}
