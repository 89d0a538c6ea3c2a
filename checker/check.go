package checker

import (
	"cmp"
	"net/url"
	"slices"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/decoder"
)

// Check checks a set of objects as a whole and returns every fault, ordered by
// file and line.
func Check(objects []Object) []decoder.Fault {
	s := &set{config: NewConfig(0, objects)}
	seen := map[figseam.ObjectID]Object{}
	for _, o := range objects {
		if first, ok := seen[o.ID]; ok {
			s.faults = append(s.faults, o.fault("name", CodeDuplicateObject, "already defined at %s:%d", first.File, first.Line))
			continue
		}
		seen[o.ID] = o
		s.object(o)
	}
	slices.SortStableFunc(s.faults, func(a, b decoder.Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return s.faults
}

type set struct {
	config *figseam.Config
	faults []decoder.Fault
}

func (s *set) add(o Object, field string, code figseam.Code, format string, args ...any) {
	s.faults = append(s.faults, o.fault(field, code, format, args...))
}

func (s *set) object(o Object) {
	switch v := o.Value.(type) {
	case figseam.Pool:
		s.pool(o, v)
	case figseam.Endpoint:
		s.endpoint(o, v)
	case figseam.Service:
		s.oneOf(o, "key_check", string(v.KeyCheck), string(figseam.KeyCheckNone), string(figseam.KeyCheckShared))
	case figseam.Model:
		s.model(o, v)
	case figseam.Route:
		s.route(o, v)
	case figseam.AccountClass:
		s.between(o, "requests_per_s", v.RequestsPerSecond, 0.001, 1e6)
		s.between(o, "burst", float64(v.Burst), 1, 1e6)
	case figseam.AccountObject:
		_, ok := s.config.Classes[v.Class]
		s.refers(o, "class", figseam.KindAccountClass, v.Class, ok)
	}
}

func (s *set) pool(o Object, p figseam.Pool) {
	s.between(o, "piece_tokens", float64(p.PieceTokens), 1, 1e6)
	s.between(o, "early_start", p.EarlyStart, 0, 1)
	s.between(o, "hold_ms", float64(p.PrefillResultTTLMillis), 1, 60_000)
	s.between(o, "prefill_tokens_per_s", p.PrefillTokensPerSecond, 1, 1e8)
	s.between(o, "step_ms", p.DecodeStepMillis, 0.01, 10_000)
	s.between(o, "transfer_tokens_per_s", p.TransferTokensPerSecond, 1, 1e9)
	s.between(o, "slots", float64(p.Slots), 1, 100_000)
}

func (s *set) endpoint(o Object, e figseam.Endpoint) {
	u, err := url.Parse(e.Address)
	if err != nil || u.Scheme == "" || u.Host == "" {
		s.add(o, "address", CodeOutOfRange, "expected an address like http://10.0.0.1:9000, found %q", e.Address)
	}
	s.required(o, "data_centre", string(e.DataCentre))
	switch {
	case e.Pool != "" && e.Service != "":
		s.add(o, "service", CodeConflictingFields, "an endpoint belongs to a pool or to a service, not to both")
	case e.Pool != "":
		_, ok := s.config.Pools[e.Pool]
		s.refers(o, "pool", figseam.KindPool, e.Pool, ok)
		s.oneOf(o, "role", string(e.Role), string(figseam.RolePrefill), string(figseam.RoleDecode))
		s.between(o, "pieces", float64(e.MemoryPieces), 1, 1e6)
	case e.Service != "":
		_, ok := s.config.Services[e.Service]
		s.refers(o, "service", figseam.KindService, e.Service, ok)
	default:
		s.add(o, "pool", CodeMissingField, "an endpoint needs a pool or a service")
	}
}

func (s *set) model(o Object, m figseam.Model) {
	s.between(o, "expected_output_tokens", float64(m.ExpectedOutputTokens), 1, 1e6)
	s.between(o, "max_output_tokens", float64(m.MaxOutputTokens), 1, 1e6)
	if _, ok := s.config.Pools[m.Pool]; !ok {
		s.refers(o, "pool", figseam.KindPool, m.Pool, false)
		return
	}
	for _, role := range []figseam.Role{figseam.RolePrefill, figseam.RoleDecode} {
		has := func(e figseam.Endpoint) bool { return e.Role == role }
		if !slices.ContainsFunc(s.config.PoolEndpoints(m.Pool), has) {
			s.add(o, "pool", CodeMissingRole, "pool %q has no %s engine", m.Pool, role)
		}
	}
}

func (s *set) route(o Object, r figseam.Route) {
	s.between(o, "retries", float64(r.Retries), 0, 10)
	switch {
	case r.Model != "" && r.Service != "":
		s.add(o, "service", CodeConflictingFields, "a route leads to a model or to a service, not to both")
	case r.Model != "":
		s.modelRoute(o, r)
	case r.Service != "":
		_, ok := s.config.Services[r.Service]
		s.refers(o, "service", figseam.KindService, r.Service, ok)
		s.between(o, "timeout_ms", float64(r.TimeoutMillis), 1, 600_000)
		if len(s.config.ServiceEndpoints(r.Service)) == 0 {
			s.add(o, "service", CodeMissingRole, "service %q has no endpoint", r.Service)
		}
	default:
		s.add(o, "model", CodeMissingField, "a route needs a model or a service")
	}
}

func (s *set) modelRoute(o Object, r figseam.Route) {
	m, ok := s.config.Models[r.Model]
	s.refers(o, "model", figseam.KindModel, r.Model, ok)
	if r.NoDeadline {
		return
	}
	s.between(o, "first_token_ms", float64(r.FirstTokenMillis), 1, 600_000)
	s.between(o, "between_tokens_ms", float64(r.BetweenTokensMillis), 1, 60_000)
	p := s.config.Pools[m.Pool]
	if ok && r.BetweenTokensMillis > 0 && p.DecodeStepMillis > float64(r.BetweenTokensMillis) {
		s.add(o, "between_tokens_ms", CodeUnattainableTarget,
			"pool %q takes %g ms for a token even when idle", p.Name, p.DecodeStepMillis)
	}
}

func (s *set) required(o Object, field, value string) {
	if value == "" {
		s.add(o, field, CodeMissingField, "the field is needed")
	}
}

func (s *set) between(o Object, field string, value, low, high float64) {
	if _, ok := o.node.Field(field); !ok && value < low {
		s.add(o, field, CodeMissingField, "the field is needed, from %g to %g", low, high)
		return
	}
	if value < low || value > high {
		s.add(o, field, CodeOutOfRange, "expected a number from %g to %g, found %g", low, high, value)
	}
}

func (s *set) oneOf(o Object, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		s.add(o, field, CodeOutOfRange, "expected one of %q, found %q", allowed, value)
	}
}

func (s *set) refers(o Object, field string, kind figseam.Kind, name string, ok bool) {
	if !ok {
		s.add(o, field, CodeDanglingReference, "there is no %s named %q", kind, name)
	}
}
