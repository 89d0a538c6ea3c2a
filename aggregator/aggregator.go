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
	// Accounts is the usage of account quotas, and Instances the number of instances whose
	// load it is. Versions before 0.6 set neither.
	Accounts  []figseam.AccountUsage `cbor:"17,keyasint,omitempty"`
	Instances int                    `cbor:"18,keyasint,omitempty"`
}

// Empty reports whether it is the load of no instance.
func (l Load) Empty() bool {
	return len(l.Usage) == 0 && len(l.Demand) == 0 && len(l.Accounts) == 0 && l.Instances == 0
}

// Report is the load of one instance, or the sum of the instances that report to one
// voter.
type Report struct {
	Instance figseam.InstanceID `cbor:"1,keyasint"`
	Load     Load               `cbor:"2,keyasint"`
	// Epoch and Revision are those of the last [Sum] that the instance received; 0 if it
	// has none. A voter's message has the epoch of its own sums.
	Epoch    uint64 `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Sequence is the number of a voter's message; see [PeerSender].
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	// Earlier is the report of an instance to its voter before this one, while it still
	// counts there; nil for none. Versions before 0.6 do not send it.
	Earlier *EarlierReport `cbor:"6,keyasint,omitempty"`
}

// Sum is the load of all instances but one.
type Sum struct {
	Load
	// Epoch identifies the run of the voter, and Revision the state of its sums.
	Epoch    uint64 `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// ChangesOnly reports whether Usage holds only the endpoints whose usage changed since
	// the revision of the report. Those that are no longer used are contained with no
	// usage.
	ChangesOnly bool `cbor:"5,keyasint,omitempty"`
}

// Store holds the reports of instances and voters and sums them. The sums are updated with
// each report, so that the cost of a report does not grow with the number of instances. It
// is safe for concurrent use.
type Store struct {
	// mu guards everything below.
	mu        sync.Mutex
	instances map[figseam.InstanceID]receivedReport
	voters    map[figseam.InstanceID]receivedSum
	moves     map[figseam.InstanceID]movedReport
	// local is the sum of instances, all that of instances and voters.
	local       *Total
	all         *Total
	changes     changeLog
	nextSweepAt time.Time
}

type receivedReport struct {
	load       Load
	receivedAt time.Time
}

// receivedSum is the sum of another voter, up to its message with the sequence number.
type receivedSum struct {
	total      *Total
	epoch      uint64
	sequence   uint64
	receivedAt time.Time
}

func expired(receivedAt, now time.Time) bool {
	return now.Sub(receivedAt) > maxReportAgeMillis*time.Millisecond
}

// New returns a store without reports.
func New() *Store {
	return &Store{
		instances: map[figseam.InstanceID]receivedReport{}, voters: map[figseam.InstanceID]receivedSum{},
		moves: map[figseam.InstanceID]movedReport{},
		local: newTotal(), all: newTotal(), changes: newChangeLog(),
	}
}

// ExchangeReport stores the report of an instance and returns the sum of all others.
func (s *Store) ExchangeReport(r Report) Sum {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dropExpired(now)
	r.Load.Instances = 1
	s.recordMove(r.Instance, r.Earlier, now)
	difference := subtract(r.Load, s.instances[r.Instance].load)
	s.instances[r.Instance] = receivedReport{load: r.Load, receivedAt: now}
	s.applyLocal(difference)
	return s.sumWithout(r)
}

// sumWithout returns the sum of all reports but the given one, or its changes since the
// revision that the report names. The caller holds mu.
func (s *Store) sumWithout(r Report) Sum {
	sum := Sum{Epoch: s.changes.epoch, Revision: s.changes.revision}
	own := newTotal()
	own.add(r.Load)
	sum.Instances = s.all.instances - own.instances
	for key, u := range s.all.accounts {
		if rest := u.Add(own.accounts[key].Negate()); rest.RecentMillis != 0 {
			rest.Account = key
			sum.Accounts = append(sum.Accounts, rest)
		}
	}
	for key, d := range s.all.demand {
		if rest := d.Add(own.demand[key].Negate()); rest != (figseam.ServiceDemand{Service: key}) {
			sum.Demand = append(sum.Demand, rest)
		}
	}
	if endpoints, ok := s.changes.since(r.Epoch, r.Revision); ok {
		sum.ChangesOnly = true
		for _, key := range endpoints {
			sum.Usage = append(sum.Usage, s.usageWithout(key, own))
		}
		return sum
	}
	for key := range s.all.usage {
		if u := s.usageWithout(key, own); u != (figseam.EndpointUsage{Endpoint: key}) {
			sum.Usage = append(sum.Usage, u)
		}
	}
	return sum
}

// usageWithout returns the usage of an endpoint by all but the given load.
func (s *Store) usageWithout(endpoint uint32, own *Total) figseam.EndpointUsage {
	rest := s.all.usage[endpoint].Add(own.usage[endpoint].Negate())
	rest.Endpoint = endpoint
	return rest
}

// MergePeer stores the sum that another voter sent.
func (s *Store) MergePeer(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := newTotal()
	total.add(r.Load)
	difference := total.clone()
	if old, ok := s.voters[r.Instance]; ok {
		difference.subtract(old.total.load())
	}
	s.voters[r.Instance] = receivedSum{total: total, epoch: r.Epoch, sequence: r.Sequence, receivedAt: time.Now()}
	s.applyDifference(difference)
	s.updateMoves(r.Instance)
}

// MergePeerChanges adds the changes of another voter's sum. It ignores them if a message
// before them was lost; the next whole sum repairs that.
func (s *Store) MergePeerChanges(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.voters[r.Instance]
	if !ok || old.epoch != r.Epoch || old.sequence+1 != r.Sequence {
		return
	}
	old.total.add(r.Load)
	s.voters[r.Instance] = receivedSum{total: old.total, epoch: r.Epoch, sequence: r.Sequence, receivedAt: time.Now()}
	difference := newTotal()
	difference.add(r.Load)
	s.applyDifference(difference)
}

// applyDifference adds a difference to the sum of all reports. The caller holds mu.
func (s *Store) applyDifference(difference *Total) {
	s.all.addTotal(difference)
	s.changes.record(difference.usage)
}

// Epoch identifies the run of the voter.
func (s *Store) Epoch() uint64 { return s.changes.epoch }

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
		if expired(r.receivedAt, now) {
			s.applyLocal(subtract(Load{}, r.load))
			delete(s.instances, id)
		}
	}
	for id, r := range s.voters {
		if expired(r.receivedAt, now) {
			s.applyDifference(subtract(Load{}, r.total.load()))
			delete(s.voters, id)
			s.updateMoves(id)
		}
	}
	s.dropExpiredMoves(now)
}

// Total is a sum of loads, keyed by the hashes of endpoint IDs, service names and account
// names.
type Total struct {
	usage     map[uint32]figseam.EndpointUsage
	demand    map[uint32]figseam.ServiceDemand
	accounts  map[uint32]figseam.AccountUsage
	instances int
}

func newTotal() *Total {
	return &Total{usage: map[uint32]figseam.EndpointUsage{}, demand: map[uint32]figseam.ServiceDemand{}, accounts: map[uint32]figseam.AccountUsage{}}
}

// EndpointUsage returns the usage of the endpoint with an ID.
func (t *Total) EndpointUsage(id string) figseam.EndpointUsage {
	return t.usage[figseam.HashEndpoint(id)]
}

// ServiceDemand returns the demand for a service.
func (t *Total) ServiceDemand(service string) figseam.ServiceDemand {
	return t.demand[figseam.HashService(service)]
}

// subtract returns the difference of two loads.
func subtract(a, b Load) *Total {
	t := newTotal()
	t.add(a)
	t.subtract(b)
	return t
}

func (t *Total) add(l Load) {
	for _, u := range l.Usage {
		accumulate(t.usage, u.Endpoint, u, figseam.EndpointUsage{Endpoint: u.Endpoint})
	}
	for _, d := range l.Demand {
		accumulate(t.demand, d.Service, d, figseam.ServiceDemand{Service: d.Service})
	}
	for _, u := range l.Accounts {
		accumulate(t.accounts, u.Account, u, figseam.AccountUsage{Account: u.Account})
	}
	t.instances += l.Instances
}

// subtract removes a load that was added before.
func (t *Total) subtract(l Load) {
	for _, u := range l.Usage {
		accumulate(t.usage, u.Endpoint, u.Negate(), figseam.EndpointUsage{Endpoint: u.Endpoint})
	}
	for _, d := range l.Demand {
		accumulate(t.demand, d.Service, d.Negate(), figseam.ServiceDemand{Service: d.Service})
	}
	for _, u := range l.Accounts {
		accumulate(t.accounts, u.Account, u.Negate(), figseam.AccountUsage{Account: u.Account})
	}
	t.instances -= l.Instances
}

func (t *Total) addTotal(other *Total) { t.add(other.load()) }

// amount is a value that can be summed.
type amount[T any] interface {
	comparable
	Add(T) T
}

// accumulate adds a value to the sum with a key. A sum of none is dropped.
func accumulate[T amount[T]](sums map[uint32]T, key uint32, value, none T) {
	sum := sums[key].Add(value)
	if sum == none {
		delete(sums, key)
		return
	}
	sums[key] = sum
}

func (t *Total) clone() *Total {
	return &Total{usage: maps.Clone(t.usage), demand: maps.Clone(t.demand), accounts: maps.Clone(t.accounts), instances: t.instances}
}

func (t *Total) load() Load {
	l := Load{Instances: t.instances}
	if len(t.usage) > 0 {
		l.Usage = make([]figseam.EndpointUsage, 0, len(t.usage))
	}
	for _, u := range t.usage {
		l.Usage = append(l.Usage, u)
	}
	for _, d := range t.demand {
		l.Demand = append(l.Demand, d)
	}
	for _, u := range t.accounts {
		l.Accounts = append(l.Accounts, u)
	}
	return l
}
