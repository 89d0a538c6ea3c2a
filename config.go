package figseam

import (
	"cmp"
	"maps"
	"slices"
)

// Kind is the kind of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindPool         Kind = "pool"
	KindEndpoint     Kind = "endpoint"
	KindService      Kind = "service"
	KindModel        Kind = "model"
	KindRoute        Kind = "route"
	KindAccountClass Kind = "account_class"
	KindAccount      Kind = "account"
)

// ObjectID identifies a configuration object.
type ObjectID struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String returns "kind/name".
func (o ObjectID) String() string { return string(o.Kind) + "/" + o.Name }

// Pool is a group of model engines that serve the same models.
type Pool struct {
	Name string `json:"name"`
	// PieceTokens is the capacity of one memory piece, in tokens.
	PieceTokens int `json:"piece_tokens"`
	// EarlyStart is the trade-off between goodput and wasted prefill, 0 to 1: at 0 a
	// prefill starts only when decode memory is free, at 1 as early as a predicted release
	// of decode memory allows.
	EarlyStart float64 `json:"early_start"`
	// PrefillResultTTLMillis is the time after which a prefill engine drops a result.
	PrefillResultTTLMillis int64 `json:"hold_ms"`
	// PrefillTokensPerSecond is the initial estimate of the speed of one prefill engine,
	// until measurements replace it.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_s"`
	// DecodeStepMillis is the time between two tokens of one answer.
	DecodeStepMillis float64 `json:"step_ms"`
	// TransferTokensPerSecond is the rate at which a prefill engine transfers its results.
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_s"`
	// Slots is the number of requests that one decode engine can run while it meets the
	// target for the time between tokens.
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
	// EnforcesFencing reports whether the engine rejects commands with an outdated fencing
	// token.
	EnforcesFencing bool `json:"checks_fence,omitempty"`
}

// KeyCheck is the deduplication of idempotency keys by the endpoints of a service.
type KeyCheck string

// Kinds of deduplication of idempotency keys.
const (
	// KeyCheckNone means that a call with a repeated key runs again.
	KeyCheckNone KeyCheck = "none"
	// KeyCheckShared means that the endpoints of all data centres share one record of
	// keys, so a call with a repeated key never runs again.
	KeyCheckShared KeyCheck = "shared"
)

// Service is a plain service: a service whose endpoints are not model engines.
type Service struct {
	Name     string   `json:"name"`
	KeyCheck KeyCheck `json:"key_check"`
	// NotRunStatuses lists HTTP statuses that guarantee that a call did not run, for
	// example 503.
	NotRunStatuses []int `json:"not_run_statuses,omitempty"`
}

// Model is a model that a pool serves.
type Model struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// ExpectedOutputTokens is the initial estimate of the length of an answer, until
	// lengths are observed.
	ExpectedOutputTokens int `json:"expected_output_tokens"`
	MaxOutputTokens      int `json:"max_output_tokens"`
}

// Route maps requests to a model or a service.
//
// A route to a model is selected by the model name of the request, which equals the name
// of the route. A route to a service is selected by service, method and longest path
// prefix.
type Route struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Methods and PathPrefix restrict a route to a service; empty matches all requests.
	Methods    []string `json:"methods,omitempty"`
	PathPrefix string   `json:"path_prefix,omitempty"`
	// Idempotent allows calls to the service to be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// NoDeadline lets requests wait without a time limit; they are never refused
	// because of load.
	NoDeadline bool `json:"patient,omitempty"`
	// FirstTokenMillis and BetweenTokensMillis are the targets for the time to the first
	// token and between tokens.
	FirstTokenMillis    int64 `json:"first_token_ms,omitempty"`
	BetweenTokensMillis int64 `json:"between_tokens_ms,omitempty"`
	// TimeoutMillis is the timeout of a call to a service.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
	Priority      int   `json:"priority,omitempty"`
	Retries       int   `json:"retries,omitempty"`
}

// AccountClass is a set of limits that accounts refer to by name.
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

// Config is one version of all configuration objects. It is immutable, since goroutines
// share it.
type Config struct {
	Version        uint64
	Pools          map[string]Pool
	Endpoints      map[EndpointID]Endpoint
	Services       map[string]Service
	Models         map[string]Model
	Routes         map[string]Route
	AccountClasses map[string]AccountClass
	Accounts       map[Account]AccountObject

	// endpointsByPool is the index built by [Config.WithPoolIndex]. It is nil without an
	// index.
	endpointsByPool map[string][]Endpoint
}

// WithPoolIndex returns a copy with an index of endpoints by pool. The maps must not be
// changed afterwards.
func (c *Config) WithPoolIndex() *Config {
	indexed := *c
	indexed.endpointsByPool = map[string][]Endpoint{}
	for _, e := range c.Endpoints {
		indexed.endpointsByPool[e.Pool] = append(indexed.endpointsByPool[e.Pool], e)
	}
	for _, endpoints := range indexed.endpointsByPool {
		sortByName(endpoints)
	}
	return &indexed
}

// PoolEndpoints returns the engines of a pool, ordered by name. The caller must not change
// the slice.
func (c *Config) PoolEndpoints(pool string) []Endpoint {
	if c.endpointsByPool != nil && pool != "" {
		return c.endpointsByPool[pool]
	}
	return c.filterEndpoints(func(e Endpoint) bool { return e.Pool == pool && pool != "" })
}

// ServiceEndpoints returns the endpoints of a service, ordered by name.
func (c *Config) ServiceEndpoints(service string) []Endpoint {
	return c.filterEndpoints(func(e Endpoint) bool { return e.Service == service && service != "" })
}

func (c *Config) filterEndpoints(keep func(Endpoint) bool) []Endpoint {
	var found []Endpoint
	for _, e := range c.Endpoints {
		if keep(e) {
			found = append(found, e)
		}
	}
	sortByName(found)
	return found
}

func sortByName(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// ServiceRoute returns the route for a call to a service: the matching route with the
// longest path prefix. Of routes with equal prefixes it is the first by name.
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

// HiddenBy returns the route that calls get in place of a route to a service with the same path
// prefix: for one of the methods that the route names, or, if it names none, for a method that no
// other route names.
func (c *Config) HiddenBy(r Route) (other Route, hidden bool) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, m := range methods {
		if found, ok := c.ServiceRoute(r.Service, m, r.PathPrefix); ok && found.Name != r.Name {
			return found, true
		}
	}
	return Route{}, false
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
