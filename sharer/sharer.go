// Package sharer tells instances what all of them together have under way at each
// endpoint, a fraction of a second late.
//
// An entry reports to a voter and gets back the sum of all others. Voters tell
// each other the sums of their own entries. A report that is not renewed is
// forgotten, since its instance may have ended.
package sharer

import (
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// reportMillis is how long a report counts.
const reportMillis = 1500

// Report is what one instance, or the entries of one voter, have under way.
type Report struct {
	Instance figseam.InstanceID    `cbor:"1,keyasint"`
	Uses     []figseam.EndpointUse `cbor:"2,keyasint,omitempty"`
}

// Sums adds reports up. It is safe for concurrent use.
type Sums struct {
	// mu guards everything below.
	mu      sync.Mutex
	entries map[figseam.InstanceID]timed
	voters  map[figseam.InstanceID]timed
}

type timed struct {
	uses []figseam.EndpointUse
	at   time.Time
}

// New returns sums without any report.
func New() *Sums {
	return &Sums{entries: map[figseam.InstanceID]timed{}, voters: map[figseam.InstanceID]timed{}}
}

// Exchange takes an entry's report and returns the sum of all other entries.
func (s *Sums) Exchange(r Report) []figseam.EndpointUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[r.Instance] = timed{uses: r.Uses, at: time.Now()}
	total := sum{}
	for i, t := range s.entries {
		if i != r.Instance {
			total.add(t)
		}
	}
	for _, t := range s.voters {
		total.add(t)
	}
	return total.list()
}

// Merge takes the sum of another voter's entries.
func (s *Sums) Merge(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voters[r.Instance] = timed{uses: r.Uses, at: time.Now()}
}

// Local returns the sum of the entries that report here.
func (s *Sums) Local() []figseam.EndpointUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := sum{}
	for i, t := range s.entries {
		if !total.add(t) {
			delete(s.entries, i)
		}
	}
	return total.list()
}

// Uses are what instances have under way, by the hash of the endpoint's ID.
type Uses map[uint32]figseam.EndpointUse

// Of returns the use of an endpoint.
func (u Uses) Of(id string) figseam.EndpointUse { return u[figseam.HashEndpoint(id)] }

// Total returns what all instances have under way.
func (s *Sums) Total() Uses {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := sum{}
	for _, t := range s.entries {
		total.add(t)
	}
	for _, t := range s.voters {
		total.add(t)
	}
	return Uses(total)
}

// sum adds uses up by endpoint.
type sum map[uint32]figseam.EndpointUse

// add adds a report unless it is too old.
func (s sum) add(t timed) bool {
	if time.Since(t.at) > reportMillis*time.Millisecond {
		return false
	}
	for _, u := range t.uses {
		total := s[u.Endpoint]
		total.Endpoint = u.Endpoint
		total.Requests += u.Requests
		total.WorkMillis += u.WorkMillis
		total.Tokens += u.Tokens
		total.Unreached += u.Unreached
		s[u.Endpoint] = total
	}
	return true
}

func (s sum) list() []figseam.EndpointUse {
	all := make([]figseam.EndpointUse, 0, len(s))
	for _, u := range s {
		all = append(all, u)
	}
	return all
}
