package figseam

import (
	"cmp"
	"maps"
	"slices"
)

// Kind is the kind of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindPool         Kind = "pool"
	KindEndpoint     Kind = "endpoint"
	KindService      Kind = "service"
	KindModel        Kind = "model"
	KindRoute        Kind = "route"
	KindAccountClass Kind = "account_class"
	KindAccount      Kind = "account"
)

// ObjectID names a configuration object.
type ObjectID struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String returns "kind/name".
func (o ObjectID) String() string { return string(o.Kind) + "/" + o.Name }

// Pool is a group of model engines that serve the same models.
type Pool struct {
	Name string `json:"name"`
	// PieceTokens is how many tokens one piece of engine memory holds.
	PieceTokens int `json:"piece_tokens"`
	// EarlyStart moves along the trade between goodput and wasted prefill: at 0
	// a prefill starts only with free decode memory in hand, at 1 as early as a
	// predicted release allows.
	EarlyStart float64 `json:"early_start"`
	// PrefillResultTTLMillis is how long a prefill engine keeps a result.
	PrefillResultTTLMillis int64 `json:"hold_ms"`
	// PrefillTokensPerSecond is the speed of one prefill engine, used until
	// measurements replace it.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_s"`
	// DecodeStepMillis is the time between two tokens of one answer.
	DecodeStepMillis float64 `json:"step_ms"`
	// TransferTokensPerSecond is the rate of a prefill engine's link.
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_s"`
	// Slots is how many requests one decode engine runs within the target for
	// the time between tokens.
	Slots int `json:"slots"`
}

// Endpoint is a model engine of a pool or an endpoint of a plain service.
type Endpoint struct {
	Name         EndpointID `json:"name"`
	Pool         string     `json:"pool,omitempty"`
	Service      string     `json:"service,omitempty"`
	Address      string     `json:"address"`
	DataCentre   DataCentre `json:"data_centre"`
	Role         Role       `json:"role,omitempty"`
	MemoryPieces int        `json:"pieces,omitempty"`
	// EnforcesFencing tells that the engine refuses orders with old fencing numbers.
	EnforcesFencing bool `json:"checks_fence,omitempty"`
}

// KeyCheck says how a service's endpoints treat repeated idempotency keys.
type KeyCheck string

// How a service treats a repeated idempotency key.
const (
	// KeyCheckNone means that a repeated key runs the call again.
	KeyCheckNone KeyCheck = "none"
	// KeyCheckShared means that all endpoints in all data centres share one
	// check, so a repeated key never runs the call again.
	KeyCheckShared KeyCheck = "shared"
)

// Service is a plain service.
type Service struct {
	Name     string   `json:"name"`
	KeyCheck KeyCheck `json:"key_check"`
	// NotRunStatuses lists HTTP statuses by which the endpoints promise that a
	// call did not run, for example 503.
	NotRunStatuses []int `json:"not_run_statuses,omitempty"`
}

// Model is a model that a pool serves.
type Model struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// ExpectedOutputTokens is used until the answers' lengths are known.
	ExpectedOutputTokens int `json:"expected_output_tokens"`
	MaxOutputTokens      int `json:"max_output_tokens"`
}

// Route leads requests to a model or a service.
//
// A model route is chosen by the request's model name, which is the route's
// name. A service route is chosen by service, method and longest path prefix.
type Route struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Methods and PathPrefix restrict a service route; empty means all.
	Methods    []string `json:"methods,omitempty"`
	PathPrefix string   `json:"path_prefix,omitempty"`
	// Idempotent says that a service call may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// NoDeadline requests wait as long as they must and are never dropped.
	NoDeadline bool `json:"patient,omitempty"`
	// FirstTokenMillis and BetweenTokensMillis are the latency targets.
	FirstTokenMillis    int64 `json:"first_token_ms,omitempty"`
	BetweenTokensMillis int64 `json:"between_tokens_ms,omitempty"`
	// TimeoutMillis bounds a service call.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
	Priority      int   `json:"priority,omitempty"`
	Retries       int   `json:"retries,omitempty"`
}

// AccountClass is a set of limits that accounts share by name.
type AccountClass struct {
	Name              string  `json:"name"`
	RequestsPerSecond float64 `json:"requests_per_s"`
	Burst             int     `json:"burst"`
}

// AccountObject assigns a class to an account.
type AccountObject struct {
	Name  Account `json:"name"`
	Class string  `json:"class"`
}

// Config is one version of the whole set of objects. It is immutable: it is
// shared between goroutines and never changed in place.
type Config struct {
	Version   uint64
	Pools     map[string]Pool
	Endpoints map[EndpointID]Endpoint
	Services  map[string]Service
	Models    map[string]Model
	Routes    map[string]Route
	Classes   map[string]AccountClass
	Accounts  map[Account]AccountObject

	// byPool is the index of [Config.WithIndex].
	byPool map[string][]Endpoint
}

// WithPoolIndex returns a copy with which the endpoints of a pool are found without
// looking at all others. The maps must not be changed after.
func (c *Config) WithPoolIndex() *Config {
	indexed := *c
	indexed.byPool = map[string][]Endpoint{}
	for _, e := range c.Endpoints {
		indexed.byPool[e.Pool] = append(indexed.byPool[e.Pool], e)
	}
	for _, endpoints := range indexed.byPool {
		sortEndpoints(endpoints)
	}
	return &indexed
}

// PoolEndpoints returns the pool's engines, ordered by name. The caller must not
// change them.
func (c *Config) PoolEndpoints(pool string) []Endpoint {
	if c.byPool != nil && pool != "" {
		return c.byPool[pool]
	}
	return c.endpoints(func(e Endpoint) bool { return e.Pool == pool && pool != "" })
}

// ServiceEndpoints returns the service's endpoints, ordered by name.
func (c *Config) ServiceEndpoints(service string) []Endpoint {
	return c.endpoints(func(e Endpoint) bool { return e.Service == service && service != "" })
}

func (c *Config) endpoints(keep func(Endpoint) bool) []Endpoint {
	var found []Endpoint
	for _, e := range c.Endpoints {
		if keep(e) {
			found = append(found, e)
		}
	}
	sortEndpoints(found)
	return found
}

func sortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// ServiceRoute returns the route for a call to a service: the one with the
// longest matching path prefix.
func (c *Config) ServiceRoute(service, method, path string) (Route, bool) {
	best, found := Route{}, false
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		if r.Service != service || !r.matches(method, path) {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

func (r Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if len(path) < len(r.PathPrefix) {
		return false
	}
	return path[:len(r.PathPrefix)] == r.PathPrefix
}
