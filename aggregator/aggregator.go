// Package aggregator sums the load of all instances at each endpoint, and the demand of
// their requests for each service. Instances receive the sums with a delay of a fraction
// of a second.
//
// Every instance reports to a voter and receives the sum of the load of all other
// instances. Voters send each other the sums of the instances that report to them. A
// report that is not renewed expires, since its instance may have ended.
package aggregator

import (
	"maps"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// maxReportAgeMillis is the age at which a report expires.
	maxReportAgeMillis = 1500
	// sweepIntervalMillis is the interval at which expired reports are dropped.
	sweepIntervalMillis = 50
)

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

// Store holds the reports of instances and voters and sums them. The sums are updated with
// each report, so that the cost of a report does not grow with the number of instances. It
// is safe for concurrent use.
type Store struct {
	// mu guards everything below.
	mu        sync.Mutex
	instances map[figseam.InstanceID]receivedReport
	voters    map[figseam.InstanceID]receivedReport
	// local is the sum of instances, all that of instances and voters.
	local       *Total
	all         *Total
	nextSweepAt time.Time
}

type receivedReport struct {
	load       Load
	receivedAt time.Time
}

func (r receivedReport) expired(now time.Time) bool {
	return now.Sub(r.receivedAt) > maxReportAgeMillis*time.Millisecond
}

// New returns a store without reports.
func New() *Store {
	return &Store{instances: map[figseam.InstanceID]receivedReport{}, voters: map[figseam.InstanceID]receivedReport{}, local: newTotal(), all: newTotal()}
}

// ExchangeReport stores the report of an instance and returns the sum of all others.
func (s *Store) ExchangeReport(r Report) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpired(now)
	if old, ok := s.instances[r.Instance]; ok {
		s.local.subtract(old.load)
		s.all.subtract(old.load)
	}
	others := s.all.load()
	s.instances[r.Instance] = receivedReport{load: r.Load, receivedAt: now}
	s.local.add(r.Load)
	s.all.add(r.Load)
	return others
}

// MergePeer stores the sum that another voter sent.
func (s *Store) MergePeer(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.subtract(s.voters[r.Instance].load)
	s.voters[r.Instance] = receivedReport{load: r.Load, receivedAt: time.Now()}
	s.all.add(r.Load)
}

// LocalSum returns the sum of the instances that report to this voter.
func (s *Store) LocalSum() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(time.Now())
	return s.local.load()
}

// Total returns the load of all instances.
func (s *Store) Total() *Total {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(time.Now())
	return s.all.clone()
}

// dropExpired drops expired reports, at most once every sweepIntervalMillis. The caller
// holds mu.
func (s *Store) dropExpired(now time.Time) {
	if now.Before(s.nextSweepAt) {
		return
	}
	s.nextSweepAt = now.Add(sweepIntervalMillis * time.Millisecond)
	for id, r := range s.instances {
		if r.expired(now) {
			s.local.subtract(r.load)
			s.all.subtract(r.load)
			delete(s.instances, id)
		}
	}
	for id, r := range s.voters {
		if r.expired(now) {
			s.all.subtract(r.load)
			delete(s.voters, id)
		}
	}
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

func (t *Total) add(l Load) {
	for _, u := range l.Usage {
		t.addUsage(u)
	}
	for _, d := range l.Demand {
		t.addDemand(d)
	}
}

// subtract removes a load that was added before.
func (t *Total) subtract(l Load) {
	for _, u := range l.Usage {
		t.addUsage(u.Negate())
	}
	for _, d := range l.Demand {
		t.addDemand(d.Negate())
	}
}

// addUsage adds a usage. Endpoints without usage are dropped.
func (t *Total) addUsage(u figseam.EndpointUsage) {
	sum := t.usage[u.Endpoint].Add(u)
	if sum == (figseam.EndpointUsage{Endpoint: u.Endpoint}) {
		delete(t.usage, u.Endpoint)
		return
	}
	t.usage[u.Endpoint] = sum
}

// addDemand adds a demand. Services without demand are dropped.
func (t *Total) addDemand(d figseam.ServiceDemand) {
	sum := t.demand[d.Service].Add(d)
	if sum == (figseam.ServiceDemand{Service: d.Service}) {
		delete(t.demand, d.Service)
		return
	}
	t.demand[d.Service] = sum
}

func (t *Total) clone() *Total {
	return &Total{usage: maps.Clone(t.usage), demand: maps.Clone(t.demand)}
}

func (t *Total) load() Load {
	var l Load
	if len(t.usage) > 0 {
		l.Usage = make([]figseam.EndpointUsage, 0, len(t.usage))
	}
	for _, u := range t.usage {
		l.Usage = append(l.Usage, u)
	}
	for _, d := range t.demand {
		l.Demand = append(l.Demand, d)
	}
	return l
}
