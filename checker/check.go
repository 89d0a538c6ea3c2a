package checker

import (
	"cmp"
	"net/url"
	"slices"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/decoder"
)

// Check validates a set of objects as a whole, including the references between them.
// It returns all faults, sorted by file and line.
func Check(objects []Object) []decoder.Fault {
	v := &validator{config: NewConfig(0, objects)}
	seen := map[figseam.ObjectID]Object{}
	for _, o := range objects {
		if first, ok := seen[o.ID]; ok {
			v.faults = append(v.faults, o.newFault("name", CodeDuplicateObject, "already defined at %s:%d", first.File, first.Line))
			continue
		}
		seen[o.ID] = o
		v.checkObject(o)
	}
	v.checkHiddenRoutes(objects)
	slices.SortStableFunc(v.faults, func(a, b decoder.Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return v.faults
}

// validator collects the faults of a set of objects.
type validator struct {
	// config contains the whole set and resolves references.
	config *figseam.Config
	faults []decoder.Fault
}

func (v *validator) addFault(o Object, field string, code figseam.Code, format string, args ...any) {
	v.faults = append(v.faults, o.newFault(field, code, format, args...))
}

func (v *validator) checkObject(o Object) {
	switch value := o.Value.(type) {
	case figseam.Pool:
		v.checkPool(o, value)
	case figseam.Endpoint:
		v.checkEndpoint(o, value)
	case figseam.Service:
		v.checkOneOf(o, "key_check", string(value.KeyCheck), string(figseam.KeyCheckNone), string(figseam.KeyCheckShared))
	case figseam.Model:
		v.checkModel(o, value)
	case figseam.Route:
		v.checkRoute(o, value)
	case figseam.AccountClass:
		v.checkRange(o, "requests_per_s", value.RequestsPerSecond, 0.001, 1e6)
		v.checkRange(o, "burst", float64(value.Burst), 1, 1e6)
	case figseam.AccountObject:
		_, ok := v.config.AccountClasses[value.Class]
		v.checkReference(o, "class", figseam.KindAccountClass, value.Class, ok)
	}
}

func (v *validator) checkPool(o Object, p figseam.Pool) {
	v.checkRange(o, "piece_tokens", float64(p.PieceTokens), 1, 1e6)
	v.checkRange(o, "early_start", p.EarlyStart, 0, 1)
	v.checkRange(o, "hold_ms", float64(p.PrefillResultTTLMillis), 1, 60_000)
	v.checkRange(o, "prefill_tokens_per_s", p.PrefillTokensPerSecond, 1, 1e8)
	v.checkRange(o, "step_ms", p.DecodeStepMillis, 0.01, 10_000)
	v.checkRange(o, "transfer_tokens_per_s", p.TransferTokensPerSecond, 1, 1e9)
	v.checkRange(o, "slots", float64(p.Slots), 1, 100_000)
}

func (v *validator) checkEndpoint(o Object, e figseam.Endpoint) {
	u, err := url.Parse(e.Address)
	if err != nil || u.Scheme == "" || u.Host == "" {
		v.addFault(o, "address", CodeOutOfRange, "expected an address like http://10.0.0.1:9000, found %q", e.Address)
	}
	v.checkRequired(o, "data_centre", string(e.DataCentre))
	switch {
	case e.Pool != "" && e.Service != "":
		v.addFault(o, "service", CodeConflictingFields, "an endpoint belongs to a pool or to a service, not to both")
	case e.Pool != "":
		_, ok := v.config.Pools[e.Pool]
		v.checkReference(o, "pool", figseam.KindPool, e.Pool, ok)
		v.checkOneOf(o, "role", string(e.Role), string(figseam.RolePrefill), string(figseam.RoleDecode))
		v.checkRange(o, "pieces", float64(e.MemoryPieces), 1, 1e6)
	case e.Service != "":
		_, ok := v.config.Services[e.Service]
		v.checkReference(o, "service", figseam.KindService, e.Service, ok)
	default:
		v.addFault(o, "pool", CodeMissingField, "an endpoint needs a pool or a service")
	}
}

func (v *validator) checkModel(o Object, m figseam.Model) {
	v.checkRange(o, "expected_output_tokens", float64(m.ExpectedOutputTokens), 1, 1e6)
	v.checkRange(o, "max_output_tokens", float64(m.MaxOutputTokens), 1, 1e6)
	if _, ok := v.config.Pools[m.Pool]; !ok {
		v.checkReference(o, "pool", figseam.KindPool, m.Pool, false)
		return
	}
	for _, role := range []figseam.Role{figseam.RolePrefill, figseam.RoleDecode} {
		hasRole := func(e figseam.Endpoint) bool { return e.Role == role }
		if !slices.ContainsFunc(v.config.PoolEndpoints(m.Pool), hasRole) {
			v.addFault(o, "pool", CodeMissingRole, "pool %q has no %s engine", m.Pool, role)
		}
	}
}

func (v *validator) checkRoute(o Object, r figseam.Route) {
	v.checkRange(o, "retries", float64(r.Retries), 0, 10)
	switch {
	case r.Model != "" && r.Service != "":
		v.addFault(o, "service", CodeConflictingFields, "a route leads to a model or to a service, not to both")
	case r.Model != "":
		v.checkModelRoute(o, r)
	case r.Service != "":
		_, ok := v.config.Services[r.Service]
		v.checkReference(o, "service", figseam.KindService, r.Service, ok)
		v.checkRange(o, "timeout_ms", float64(r.TimeoutMillis), 1, 600_000)
		if len(v.config.ServiceEndpoints(r.Service)) == 0 {
			v.addFault(o, "service", CodeMissingRole, "service %q has no endpoint", r.Service)
		}
	default:
		v.addFault(o, "model", CodeMissingField, "a route needs a model or a service")
	}
}

// checkModelRoute validates the route's model and targets. A token interval shorter than
// the pool's decode step is unattainable.
func (v *validator) checkModelRoute(o Object, r figseam.Route) {
	m, ok := v.config.Models[r.Model]
	v.checkReference(o, "model", figseam.KindModel, r.Model, ok)
	if r.NoDeadline {
		return
	}
	v.checkRange(o, "first_token_ms", float64(r.FirstTokenMillis), 1, 600_000)
	v.checkRange(o, "between_tokens_ms", float64(r.BetweenTokensMillis), 1, 60_000)
	p := v.config.Pools[m.Pool]
	if ok && r.BetweenTokensMillis > 0 && p.DecodeStepMillis > float64(r.BetweenTokensMillis) {
		v.addFault(o, "between_tokens_ms", CodeUnattainableTarget,
			"pool %q takes %g ms for a token even when idle", p.Name, p.DecodeStepMillis)
	}
}

// checkHiddenRoutes reports routes to a service that calls do not get although they match
// them, because another route has the same path prefix.
func (v *validator) checkHiddenRoutes(objects []Object) {
	type place struct{ service, pathPrefix string }
	samePlace := map[place]map[string]figseam.Route{}
	for _, r := range v.config.Routes {
		p := place{r.Service, r.PathPrefix}
		if samePlace[p] == nil {
			samePlace[p] = map[string]figseam.Route{}
		}
		samePlace[p][r.Name] = r
	}
	for _, o := range objects {
		r, ok := o.Value.(figseam.Route)
		if !ok || r.Service == "" {
			continue
		}
		candidates := &figseam.Config{Routes: samePlace[place{r.Service, r.PathPrefix}]}
		if other, hidden := candidates.HiddenBy(r); hidden {
			v.addFault(o, "path_prefix", CodeHiddenRoute, "calls with this path prefix get route %q", other.Name)
		}
	}
}

// checkRequired reports an empty value as a missing field.
func (v *validator) checkRequired(o Object, field, value string) {
	if value == "" {
		v.addFault(o, field, CodeMissingField, "the field is needed")
	}
}

// checkRange reports a value outside the range, or a missing field if the field is
// absent and its zero value is below the range.
func (v *validator) checkRange(o Object, field string, value, low, high float64) {
	if _, ok := o.node.Field(field); !ok && value < low {
		v.addFault(o, field, CodeMissingField, "the field is needed, from %g to %g", low, high)
		return
	}
	if value < low || value > high {
		v.addFault(o, field, CodeOutOfRange, "expected a number from %g to %g, found %g", low, high, value)
	}
}

func (v *validator) checkOneOf(o Object, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.addFault(o, field, CodeOutOfRange, "expected one of %q, found %q", allowed, value)
	}
}

// checkReference reports a reference to an object that does not exist.
func (v *validator) checkReference(o Object, field string, kind figseam.Kind, name string, exists bool) {
	if !exists {
		v.addFault(o, field, CodeDanglingReference, "there is no %s named %q", kind, name)
	}
}
