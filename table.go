package figseam

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Semantics defines whether the requests of a route may be repeated.
type Semantics int

// Semantics of opaque requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = iota + 1
	// AtMostOnce requests run at most once, whether or not their response arrives.
	AtMostOnce
	// Stream requests run at most once; their response is a stream of events.
	Stream
	// ResumableStream requests may resume at another endpoint after the last event that
	// the caller received.
	ResumableStream
)

// String returns the name used in logs and metrics.
func (s Semantics) String() string {
	switch s {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	case Stream:
		return "stream"
	case ResumableStream:
		return "resumable_stream"
	}
	return "unknown"
}

// Retryable reports whether a request that may have run may run again.
func (s Semantics) Retryable() bool { return s == Idempotent || s == ResumableStream }

// IsStream reports whether the response is a stream of events.
func (s Semantics) IsStream() bool { return s == Stream || s == ResumableStream }

// Table is a set of routes for opaque requests, with their services. It is immutable. The
// table with the highest version is in force.
type Table struct {
	Version  uint64
	Routes   []HostRoute
	Services map[string]HostService
	Limits   RequestLimits
	// Accounts holds the client accounts by name. It is nil if callers need no account.
	Accounts map[Account]*ClientAccount
	// Keys holds the account of each API key.
	Keys map[KeyDigest]*ClientAccount
}

// RequiresAccounts reports whether callers need an account, except on public routes.
func (t *Table) RequiresAccounts() bool { return t.Accounts != nil }

// HostRoute maps the requests of a host whose path has a prefix to services.
type HostRoute struct {
	Name       string
	Host       string
	PathPrefix string
	Semantics  Semantics
	// WeightedServices splits the requests among services by weight.
	WeightedServices []WeightedService
	// MaxAttempts is the maximum number of attempts of one request. Failed connections do
	// not count.
	MaxAttempts int
	// TimeoutMillis is the time limit for the complete response. LatencyTargetMillis is
	// the target for the response, or for the first event of a stream, and
	// MaxEventGapMillis the target for the longest pause between two events.
	TimeoutMillis       int64
	LatencyTargetMillis int64
	MaxEventGapMillis   int64
	// PatienceMillis is the time without an event after which callers of a stream give up;
	// 0 if the route has no streams.
	PatienceMillis int64
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// IsModelRoute reports whether the requests are prompts for model engines.
	IsModelRoute bool
	// Public reports whether requests without an API key are accepted.
	Public bool
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service string
	Weight  int
}

// HostService is a service that routes refer to.
type HostService struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec holds the properties shared by all model engines of a service.
type EngineSpec struct {
	Slots        int
	MemoryTokens int
	// HandleTTLMillis is the time for which an engine holds a prefill result.
	HandleTTLMillis int64
	// MaxReservationMillis is the longest duration of a memory reservation; 0 if engines
	// do not support reservations.
	MaxReservationMillis int64
	// StageChangeMillis is the time for which an engine is unavailable while it changes
	// its stage; 0 if it cannot.
	StageChangeMillis int64
}

// RequestLimits holds the limits on the size and duration of requests from callers.
type RequestLimits struct {
	MaxHeaderBytes      int
	MaxBodyBytes        int64
	HeaderTimeoutMillis int64
	IdleTimeoutMillis   int64
}

// EndpointStage is the stage of generation that a model engine runs.
type EndpointStage int

// Stages of model engines.
const (
	EndpointStageNone EndpointStage = iota
	EndpointStagePrefill
	EndpointStageDecode
)

// ListedEndpoint is an endpoint of the list that the platform publishes. A restarted
// endpoint may keep its ID, but has another StartedMillis.
type ListedEndpoint struct {
	ID            string        `cbor:"1,keyasint"`
	StartedMillis int64         `cbor:"2,keyasint,omitempty"`
	Service       string        `cbor:"3,keyasint"`
	Address       string        `cbor:"4,keyasint"`
	DataCentre    DataCentre    `cbor:"5,keyasint,omitempty"`
	Stage         EndpointStage `cbor:"6,keyasint,omitempty"`
	Slots         int           `cbor:"7,keyasint,omitempty"`
	Draining      bool          `cbor:"8,keyasint,omitempty"`
}

// EndpointRun identifies one run of an endpoint, from a start to its end.
type EndpointRun struct {
	ID            string
	StartedMillis int64
}

// Run returns the run of the endpoint that is listed.
func (e ListedEndpoint) Run() EndpointRun {
	return EndpointRun{ID: e.ID, StartedMillis: e.StartedMillis}
}

// SortEndpoints sorts endpoints by ID, the order in which lists are compared.
func SortEndpoints(endpoints []ListedEndpoint) {
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
}

// EndpointUsage is the usage of an endpoint by the requests that one or more instances
// have in flight there.
type EndpointUsage struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32 `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint,omitempty"`
	// WorkMillis is the time for which the requests are expected to occupy the endpoint.
	WorkMillis int `cbor:"3,keyasint,omitempty"`
	// MemoryTokens is the memory that the requests need, in tokens.
	MemoryTokens int `cbor:"4,keyasint,omitempty"`
	// RecentRequests is the number of requests that were sent to the endpoint lately, if it
	// names a limit.
	RecentRequests int `cbor:"6,keyasint,omitempty"`
	// LimitedFrom is the number of instances to which the endpoint named a limit, and
	// LimitMillis the sum of these limits in requests per 1,000 seconds.
	LimitedFrom int `cbor:"7,keyasint,omitempty"`
	LimitMillis int `cbor:"8,keyasint,omitempty"`
	// UnlimitedFrom is the number of instances to which the endpoint named a limit before,
	// but not in its last answer.
	UnlimitedFrom int `cbor:"9,keyasint,omitempty"`
	// UnreachableFrom is the number of instances that recently failed to connect to the
	// endpoint.
	UnreachableFrom int `cbor:"5,keyasint,omitempty"`
	// WantedFrom is the number of instances that had requests for the endpoint lately, if it
	// names a limit.
	WantedFrom int `cbor:"10,keyasint,omitempty"`
}

// Add returns the sum of two usages of an endpoint.
func (u EndpointUsage) Add(v EndpointUsage) EndpointUsage {
	return EndpointUsage{
		Endpoint: v.Endpoint, Requests: u.Requests + v.Requests, WorkMillis: u.WorkMillis + v.WorkMillis,
		MemoryTokens: u.MemoryTokens + v.MemoryTokens, UnreachableFrom: u.UnreachableFrom + v.UnreachableFrom,
		RecentRequests: u.RecentRequests + v.RecentRequests, LimitedFrom: u.LimitedFrom + v.LimitedFrom, LimitMillis: u.LimitMillis + v.LimitMillis,
		UnlimitedFrom: u.UnlimitedFrom + v.UnlimitedFrom, WantedFrom: u.WantedFrom + v.WantedFrom,
	}
}

// Negate returns the usage that cancels u in a sum.
func (u EndpointUsage) Negate() EndpointUsage {
	return EndpointUsage{
		Endpoint: u.Endpoint, Requests: -u.Requests, WorkMillis: -u.WorkMillis,
		MemoryTokens: -u.MemoryTokens, UnreachableFrom: -u.UnreachableFrom,
		RecentRequests: -u.RecentRequests, LimitedFrom: -u.LimitedFrom, LimitMillis: -u.LimitMillis,
		UnlimitedFrom: -u.UnlimitedFrom, WantedFrom: -u.WantedFrom,
	}
}

// HashEndpoint returns the hash that identifies an endpoint in messages.
func HashEndpoint(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// ServiceDemand is the demand of requests for the engines of a service.
type ServiceDemand struct {
	// Service is the hash of the service's name, or of the name and a rank: the demand then
	// consists of the OnTimeTokens of the requests of this rank.
	Service uint32 `cbor:"1,keyasint"`
	// QueuedTokens is the memory in tokens needed by waiting requests that have no advance
	// reservation on an engine. OnTimeTokens is that needed by waiting requests, with or
	// without an advance reservation, that can still meet their latency target.
	QueuedTokens int `cbor:"2,keyasint,omitempty"`
	OnTimeTokens int `cbor:"3,keyasint,omitempty"`
	// OfferedPrefillMillis is the prefill time in milliseconds of the requests that arrive
	// in a second. OfferedDecodeTokens is the memory in tokens that they occupy, times the
	// seconds for which they do.
	OfferedPrefillMillis int `cbor:"4,keyasint,omitempty"`
	OfferedDecodeTokens  int `cbor:"5,keyasint,omitempty"`
}

// Add returns the sum of two demands for a service.
func (d ServiceDemand) Add(e ServiceDemand) ServiceDemand {
	return ServiceDemand{
		Service: e.Service, QueuedTokens: d.QueuedTokens + e.QueuedTokens, OnTimeTokens: d.OnTimeTokens + e.OnTimeTokens,
		OfferedPrefillMillis: d.OfferedPrefillMillis + e.OfferedPrefillMillis, OfferedDecodeTokens: d.OfferedDecodeTokens + e.OfferedDecodeTokens,
	}
}

// Negate returns the demand that cancels d in a sum.
func (d ServiceDemand) Negate() ServiceDemand {
	return ServiceDemand{
		Service: d.Service, QueuedTokens: -d.QueuedTokens, OnTimeTokens: -d.OnTimeTokens,
		OfferedPrefillMillis: -d.OfferedPrefillMillis, OfferedDecodeTokens: -d.OfferedDecodeTokens,
	}
}

// HashService returns the hash that identifies a service in messages.
func HashService(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// HashServiceRank returns the hash that identifies, in messages, the requests of one rank for a
// service; see [ServiceDemand].
func HashServiceRank(name string, rank int) uint32 {
	return uint32(xxhash.Sum64String(name + "\x00" + strconv.Itoa(rank)))
}
