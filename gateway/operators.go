package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/decoder"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/publisher"
	"github.com/figseam/figseam/replicator"
)

// maxChangeBytes bounds a change.
const maxChangeBytes = 32 << 20

// Publisher publishes changes.
type Publisher interface {
	Publish(ctx context.Context, c publisher.Change) (uint64, error)
}

// Configuration is the instance's copy of the configuration.
type Configuration interface {
	Version() uint64
	Objects() (uint64, []publisher.Object)
	History() []publisher.Delta
}

// Status is what an instance says of itself.
type Status struct {
	Instance   figseam.InstanceID      `json:"instance"`
	DataCentre figseam.DataCentre      `json:"data_centre"`
	Version    uint64                  `json:"version"`
	Leaving    bool                    `json:"leaving"`
	Active     int64                   `json:"active_requests"`
	Replica    *replicator.StatusReply `json:"replica,omitempty"`
}

// EndpointStatus is what an instance knows of an endpoint.
type EndpointStatus struct {
	figseam.Endpoint
	State string `json:"state"`
}

// Spread tells how far a version has come.
type Spread struct {
	// Lowest is the lowest version among the instances that answered.
	Lowest uint64 `json:"lowest"`
	// Silent lists members that did not answer.
	Silent   []figseam.InstanceID `json:"silent"`
	Versions []InstanceVersion    `json:"versions"`
}

// InstanceVersion is the version in force on an instance.
type InstanceVersion struct {
	Instance figseam.InstanceID `json:"instance" cbor:"1,keyasint"`
	Version  uint64             `json:"version" cbor:"2,keyasint"`
}

// Operations is what operators can see and do beside the configuration.
type Operations interface {
	Status() Status
	Members() []figseam.Member
	Endpoints() []EndpointStatus
	Spread(ctx context.Context) Spread
	Drain()
}

// Operators serves operators.
type Operators struct {
	configuration Configuration
	publisher     Publisher
	operations    Operations
	metrics       http.Handler
}

// NewOperators returns the operators' side.
func NewOperators(c Configuration, p Publisher, o Operations, metrics http.Handler) *Operators {
	return &Operators{configuration: c, publisher: p, operations: o, metrics: metrics}
}

// Handler returns the HTTP interface for operators.
func (o *Operators) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/config", o.serveConfig)
	r.Post("/v1/changes", o.serveChange)
	r.Get("/v1/history", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.configuration.History()) })
	r.Get("/v1/instances", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.operations.Members()) })
	r.Get("/v1/endpoints", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.operations.Endpoints()) })
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.operations.Status()) })
	r.Get("/v1/spread", func(w http.ResponseWriter, r *http.Request) { reply(w, o.operations.Spread(r.Context())) })
	r.Post("/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		o.operations.Drain()
		reply(w, o.operations.Status())
	})
	r.Method(http.MethodGet, "/metrics", o.metrics)
	return r
}

func reply(w http.ResponseWriter, body any) { writeJSON(w, http.StatusOK, "application/json", body) }

// ConfigBody is the whole configuration.
type ConfigBody struct {
	Version uint64            `json:"version"`
	Objects []json.RawMessage `json:"objects"`
}

func (o *Operators) serveConfig(w http.ResponseWriter, _ *http.Request) {
	version, objects := o.configuration.Objects()
	body := ConfigBody{Version: version, Objects: []json.RawMessage{}}
	for _, object := range objects {
		body.Objects = append(body.Objects, object.Body)
	}
	reply(w, body)
}

// ChangeBody asks for a change.
type ChangeBody struct {
	Change      string            `json:"change"`
	BaseVersion uint64            `json:"base_version"`
	Author      string            `json:"author,omitempty"`
	Objects     []json.RawMessage `json:"objects"`
	// Delete lists objects as "kind/name".
	Delete []string `json:"delete,omitempty"`
}

// ChangeAnswer answers a change that was applied.
type ChangeAnswer struct {
	Version uint64 `json:"version"`
}

// FaultsBody lists the faults of a refused change.
type FaultsBody struct {
	Code   figseam.Code    `json:"code"`
	Faults []decoder.Fault `json:"faults"`
}

func (o *Operators) serveChange(w http.ResponseWriter, r *http.Request) {
	var body ChangeBody
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		writeProblem(w, figseam.Refuse(explainer.BadRequest, "body: %v", err))
		return
	}
	change, err := body.change()
	if err == nil {
		var version uint64
		version, err = o.publisher.Publish(r.Context(), change)
		if err == nil {
			reply(w, ChangeAnswer{Version: version})
			return
		}
	}
	o.refuseChange(w, err)
}

func (o *Operators) refuseChange(w http.ResponseWriter, err error) {
	if f, ok := errors.AsType[*publisher.FaultsError](err); ok {
		w.Header().Set(HeaderOutcome, string(figseam.OutcomeNotRun))
		writeJSON(w, http.StatusUnprocessableEntity, "application/json", FaultsBody{Code: explainer.FaultyObjects, Faults: f.Faults})
		return
	}
	refusal := figseam.RefusalOf(err)
	if refusal == nil {
		refusal = figseam.Refuse(explainer.NoMajority, "%v", err).WithOutcome(figseam.OutcomeUnknown)
	}
	writeProblem(w, refusal)
}

func (b ChangeBody) change() (publisher.Change, error) {
	c := publisher.Change{Number: b.Change, Base: b.BaseVersion, Author: b.Author}
	if b.Change == "" {
		return c, figseam.Refuse(explainer.BadRequest, "field change: expected a change number")
	}
	var faults []decoder.Fault
	for _, text := range b.Objects {
		objects, bad := checker.Read("change", text)
		faults = append(faults, bad...)
		for _, o := range objects {
			c.Upsert = append(c.Upsert, publisher.Object{ID: o.ID, Body: o.Body})
		}
	}
	if len(faults) > 0 {
		return c, &publisher.FaultsError{Faults: faults}
	}
	for _, name := range b.Delete {
		kind, rest, ok := strings.Cut(name, "/")
		if !ok {
			return c, figseam.Refuse(explainer.BadRequest, "field delete: expected kind/name, found %q", name)
		}
		c.Delete = append(c.Delete, figseam.ObjectID{Kind: figseam.Kind(kind), Name: rest})
	}
	return c, nil
}
