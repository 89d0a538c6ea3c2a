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

// Repeatable reports whether a request may run again after it may have run.
func (s Semantics) Repeatable() bool { return s == Idempotent || s == ResumableStream }

// Streams reports whether the answer is a series of events.
func (s Semantics) Streams() bool { return s == Stream || s == ResumableStream }

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
	// Split divides the requests among services by weight.
	Split []WeightedService
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// TimeoutMillis is how long a caller may be kept waiting for the end of the
	// answer, TargetMillis when the answer (of a stream the first event) is due,
	// and GapMillis the longest pause between two events that is still on time.
	TimeoutMillis int64
	TargetMillis  int64
	GapMillis     int64
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Generates tells that the requests carry prompts for model engines.
	Generates bool
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
	Engine *EngineTraits
}

// EngineTraits is what all model engines of a service have in common.
type EngineTraits struct {
	Slots        int
	MemoryTokens int
	// HandleMillis is how long an engine keeps the result of a prefill.
	HandleMillis int64
	// HoldMillis is the longest time for which memory can be set aside; 0 if it
	// cannot.
	HoldMillis int64
	// SwitchMillis is how long an engine is away while it changes its stage; 0 if
	// it cannot.
	SwitchMillis int64
}

// RequestLimits bound what a caller may send and how long it may take.
type RequestLimits struct {
	HeaderBytes  int
	BodyBytes    int64
	HeaderMillis int64
	IdleMillis   int64
}

// EndpointStage says which part of a generation a model engine takes.
type EndpointStage int

// Stages of model engines.
const (
	StageNone EndpointStage = iota
	StageForPrefill
	StageForDecode
)

// ListedEndpoint is an endpoint as the platform's list shows it. An endpoint
// that starts again may keep its ID and has another BornMillis.
type ListedEndpoint struct {
	ID         string        `cbor:"1,keyasint"`
	BornMillis int64         `cbor:"2,keyasint,omitempty"`
	Service    string        `cbor:"3,keyasint"`
	Address    string        `cbor:"4,keyasint"`
	DataCentre DataCentre    `cbor:"5,keyasint,omitempty"`
	Stage      EndpointStage `cbor:"6,keyasint,omitempty"`
	Slots      int           `cbor:"7,keyasint,omitempty"`
	Leaving    bool          `cbor:"8,keyasint,omitempty"`
}

// SortEndpoints puts endpoints into the order in which lists are compared.
func SortEndpoints(endpoints []ListedEndpoint) {
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
}

// EndpointUse is what instances have under way at an endpoint.
type EndpointUse struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32 `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint,omitempty"`
	// WorkMillis is how long the work is expected to keep the endpoint busy.
	WorkMillis int `cbor:"3,keyasint,omitempty"`
	// Tokens is the memory that the requests need.
	Tokens int `cbor:"4,keyasint,omitempty"`
	// Unreached is how many instances could not reach the endpoint at their last try,
	// a moment ago.
	Unreached int `cbor:"5,keyasint,omitempty"`
}

// Plus returns the sum of two uses of an endpoint.
func (u EndpointUse) Plus(v EndpointUse) EndpointUse {
	return EndpointUse{
		Endpoint: v.Endpoint, Requests: u.Requests + v.Requests, WorkMillis: u.WorkMillis + v.WorkMillis,
		Tokens: u.Tokens + v.Tokens, Unreached: u.Unreached + v.Unreached,
	}
}

// HashEndpoint returns the hash by which an endpoint is named in messages.
func HashEndpoint(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// ServiceDemand is what requests ask of a service's engines.
type ServiceDemand struct {
	// Service is the hash of the service's name.
	Service uint32 `cbor:"1,keyasint"`
	// WaitingTokens is the memory for which requests wait without a claim, TimelyTokens
	// that for which requests wait that can still meet their target.
	WaitingTokens int `cbor:"2,keyasint,omitempty"`
	TimelyTokens  int `cbor:"3,keyasint,omitempty"`
	// PrefillMillis is how much prefill comes in a second, DecodeTokens the memory that
	// what comes in a second holds for a second.
	PrefillMillis int `cbor:"4,keyasint,omitempty"`
	DecodeTokens  int `cbor:"5,keyasint,omitempty"`
}

// Plus returns the sum of two demands for a service.
func (d ServiceDemand) Plus(e ServiceDemand) ServiceDemand {
	return ServiceDemand{
		Service: e.Service, WaitingTokens: d.WaitingTokens + e.WaitingTokens, TimelyTokens: d.TimelyTokens + e.TimelyTokens,
		PrefillMillis: d.PrefillMillis + e.PrefillMillis, DecodeTokens: d.DecodeTokens + e.DecodeTokens,
	}
}

// HashService returns the hash by which a service is named in messages.
func HashService(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
