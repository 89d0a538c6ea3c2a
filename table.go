package figseam

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Semantics says what may be repeated on a route of opaque requests.
type Semantics int

// Semantics of opaque requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = iota + 1
	// AtMostOnce requests run at most once, whatever happens to their answer.
	AtMostOnce
	// Stream requests run at most once and are answered by a series of events.
	Stream
	// ResumableStream requests may go on at another endpoint behind the last event
	// that the caller has.
	ResumableStream
)

// String returns the name that logs and metrics use.
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

// Retryable reports whether a request may run again after it may have run.
func (s Semantics) Retryable() bool { return s == Idempotent || s == ResumableStream }

// IsStream reports whether the answer is a series of events.
func (s Semantics) IsStream() bool { return s == Stream || s == ResumableStream }

// Table is a set of routes for opaque requests with the services that they name.
// It is immutable. The highest version is in force.
type Table struct {
	Version  uint64
	Routes   []HostRoute
	Services map[string]HostService
	Limits   RequestLimits
}

// HostRoute sends the requests of a host whose path begins with a prefix to
// services.
type HostRoute struct {
	Name       string
	Host       string
	PathPrefix string
	Semantics  Semantics
	// WeightedServices divides the requests among services by weight.
	WeightedServices []WeightedService
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// TimeoutMillis is how long a caller may be kept waiting for the end of the
	// answer, TargetMillis when the answer (of a stream the first event) is due,
	// and GapMillis the longest pause between two events that is still on time.
	TimeoutMillis       int64
	LatencyTargetMillis int64
	MaxEventGapMillis   int64
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// IsGeneration tells that the requests carry prompts for model engines.
	IsGeneration bool
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// HostService is a service that routes name.
type HostService struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// EngineSpec is what all model engines of a service have in common.
type EngineSpec struct {
	Slots        int
	MemoryTokens int
	// HandleTTLMillis is how long an engine keeps the result of a prefill.
	HandleTTLMillis int64
	// MaxReservationMillis is the longest time for which memory can be set aside; 0 if it
	// cannot.
	MaxReservationMillis int64
	// StageChangeMillis is how long an engine is away while it changes its stage; 0 if
	// it cannot.
	StageChangeMillis int64
}

// RequestLimits bound what a caller may send and how long it may take.
type RequestLimits struct {
	MaxHeaderBytes      int
	MaxBodyBytes        int64
	HeaderTimeoutMillis int64
	IdleTimeoutMillis   int64
}

// EndpointStage says which part of a generation a model engine takes.
type EndpointStage int

// Stages of model engines.
const (
	EndpointStageNone EndpointStage = iota
	EndpointStagePrefill
	EndpointStageDecode
)

// ListedEndpoint is an endpoint as the platform's list shows it. An endpoint
// that starts again may keep its ID and has another BornMillis.
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

// SortEndpoints puts endpoints into the order in which lists are compared.
func SortEndpoints(endpoints []ListedEndpoint) {
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
}

// EndpointUsage is what instances have under way at an endpoint.
type EndpointUsage struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32 `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint,omitempty"`
	// WorkMillis is how long the work is expected to keep the endpoint busy.
	WorkMillis int `cbor:"3,keyasint,omitempty"`
	// MemoryTokens is the memory that the requests need.
	MemoryTokens int `cbor:"4,keyasint,omitempty"`
	// UnreachableFrom is how many instances could not reach the endpoint at their last try,
	// a moment ago.
	UnreachableFrom int `cbor:"5,keyasint,omitempty"`
}

// Add returns the sum of two uses of an endpoint.
func (u EndpointUsage) Add(v EndpointUsage) EndpointUsage {
	return EndpointUsage{
		Endpoint: v.Endpoint, Requests: u.Requests + v.Requests, WorkMillis: u.WorkMillis + v.WorkMillis,
		MemoryTokens: u.MemoryTokens + v.MemoryTokens, UnreachableFrom: u.UnreachableFrom + v.UnreachableFrom,
	}
}

// HashEndpoint returns the hash by which an endpoint is named in messages.
func HashEndpoint(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// ServiceDemand is what requests ask of a service's engines.
type ServiceDemand struct {
	// Service is the hash of the service's name.
	Service uint32 `cbor:"1,keyasint"`
	// QueuedTokens is the memory for which requests wait without a claim, TimelyTokens
	// that for which requests wait that can still meet their target.
	QueuedTokens int `cbor:"2,keyasint,omitempty"`
	OnTimeTokens int `cbor:"3,keyasint,omitempty"`
	// OfferedPrefillMillis is how much prefill comes in a second, DecodeTokens the memory that
	// what comes in a second holds for a second.
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

// HashService returns the hash by which a service is named in messages.
func HashService(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
