// Package aggregator sums the load of all instances at each endpoint, and the demand of
// their requests for each service. Instances receive the sums with a delay of a fraction
// of a second.
//
// Every instance reports to a voter and receives the sum of the load of all other
// instances. Voters send each other the sums of the instances that report to them. A
// report that is not renewed expires, since its instance may have ended.
package aggregator

import (
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// maxReportAgeMillis is the age at which a report expires.
const maxReportAgeMillis = 1500

// Load is the usage of endpoints and the demand for services by one or more instances.
type Load struct {
	Usage  []figseam.EndpointUsage `cbor:"1,keyasint,omitempty"`
	Demand []figseam.ServiceDemand `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether there is neither usage nor demand.
func (l Load) Empty() bool { return len(l.Usage) == 0 && len(l.Demand) == 0 }

// Report is the load of one instance, or the sum of the instances that report to one
// voter.
type Report struct {
	Instance figseam.InstanceID `cbor:"1,keyasint"`
	Load     Load               `cbor:"2,keyasint"`
}

// Store holds the reports of instances and voters and sums them. It is safe for concurrent
// use.
type Store struct {
	// mu guards everything below.
	mu        sync.Mutex
	instances map[figseam.InstanceID]receivedReport
	voters    map[figseam.InstanceID]receivedReport
}

type receivedReport struct {
	load       Load
	receivedAt time.Time
}

// New returns a store without reports.
func New() *Store {
	return &Store{instances: map[figseam.InstanceID]receivedReport{}, voters: map[figseam.InstanceID]receivedReport{}}
}

// ExchangeReport stores the report of an instance and returns the sum of all others.
func (s *Store) ExchangeReport(r Report) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[r.Instance] = receivedReport{load: r.Load, receivedAt: time.Now()}
	total := newTotal()
	for id, received := range s.instances {
		if id != r.Instance {
			total.add(received)
		}
	}
	for _, r := range s.voters {
		total.add(r)
	}
	return total.load()
}

// MergePeer stores the sum that another voter sent.
func (s *Store) MergePeer(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voters[r.Instance] = receivedReport{load: r.Load, receivedAt: time.Now()}
}

// LocalSum returns the sum of the instances that report to this voter, and drops expired
// reports.
func (s *Store) LocalSum() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := newTotal()
	for id, r := range s.instances {
		if !total.add(r) {
			delete(s.instances, id)
		}
	}
	return total.load()
}

// Total returns the load of all instances.
func (s *Store) Total() *Total {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := newTotal()
	for _, r := range s.instances {
		total.add(r)
	}
	for _, r := range s.voters {
		total.add(r)
	}
	return total
}

// Total is a sum of loads, keyed by the hashes of endpoint IDs and service names.
type Total struct {
	usage  map[uint32]figseam.EndpointUsage
	demand map[uint32]figseam.ServiceDemand
}

func newTotal() *Total {
	return &Total{usage: map[uint32]figseam.EndpointUsage{}, demand: map[uint32]figseam.ServiceDemand{}}
}

// EndpointUsage returns the usage of the endpoint with an ID.
func (t *Total) EndpointUsage(id string) figseam.EndpointUsage {
	return t.usage[figseam.HashEndpoint(id)]
}

// ServiceDemand returns the demand for a service.
func (t *Total) ServiceDemand(service string) figseam.ServiceDemand {
	return t.demand[figseam.HashService(service)]
}

// add adds a report and returns true, or returns false if the report has expired.
func (t *Total) add(report receivedReport) bool {
	if time.Since(report.receivedAt) > maxReportAgeMillis*time.Millisecond {
		return false
	}
	for _, u := range report.load.Usage {
		t.usage[u.Endpoint] = t.usage[u.Endpoint].Add(u)
	}
	for _, d := range report.load.Demand {
		t.demand[d.Service] = t.demand[d.Service].Add(d)
	}
	return true
}

func (t *Total) load() Load {
	var l Load
	for _, u := range t.usage {
		l.Usage = append(l.Usage, u)
	}
	for _, d := range t.demand {
		l.Demand = append(l.Demand, d)
	}
	return l
}
