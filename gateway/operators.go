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

// ConfigStore is the instance's copy of the configuration.
type ConfigStore interface {
	Version() uint64
	Objects() (uint64, []publisher.Object)
	History() []publisher.Delta
}

// InstanceStatus is what an instance says of itself.
type InstanceStatus struct {
	Instance       figseam.InstanceID      `json:"instance"`
	DataCentre     figseam.DataCentre      `json:"data_centre"`
	ConfigVersion  uint64                  `json:"version"`
	Draining       bool                    `json:"leaving"`
	ActiveRequests int64                   `json:"active_requests"`
	Replica        *replicator.StatusReply `json:"replica,omitempty"`
}

// EndpointStatus is what an instance knows of an endpoint.
type EndpointStatus struct {
	figseam.Endpoint
	State string `json:"state"`
}

// RolloutStatus tells how far a version has come.
type RolloutStatus struct {
	// LowestVersion is the lowest version among the instances that answered.
	LowestVersion uint64 `json:"lowest"`
	// Unreachable lists members that did not answer.
	Unreachable []figseam.InstanceID `json:"silent"`
	Versions    []InstanceVersion    `json:"versions"`
}

// InstanceVersion is the version in force on an instance.
type InstanceVersion struct {
	Instance figseam.InstanceID `json:"instance" cbor:"1,keyasint"`
	Version  uint64             `json:"version" cbor:"2,keyasint"`
}

// InstanceAdmin is what operators can see and do beside the configuration.
type InstanceAdmin interface {
	Status() InstanceStatus
	Members() []figseam.Member
	Endpoints() []EndpointStatus
	RolloutStatus(ctx context.Context) RolloutStatus
	Drain()
}

// OperatorServer serves operators.
type OperatorServer struct {
	configuration ConfigStore
	publisher     Publisher
	operations    InstanceAdmin
	metrics       http.Handler
}

// NewOperatorServer returns the operators' side.
func NewOperatorServer(c ConfigStore, p Publisher, o InstanceAdmin, metrics http.Handler) *OperatorServer {
	return &OperatorServer{configuration: c, publisher: p, operations: o, metrics: metrics}
}

// Handler returns the HTTP interface for operators.
func (o *OperatorServer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/config", o.serveConfig)
	r.Post("/v1/changes", o.serveChange)
	r.Get("/v1/history", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.configuration.History()) })
	r.Get("/v1/instances", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.operations.Members()) })
	r.Get("/v1/endpoints", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.operations.Endpoints()) })
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.operations.Status()) })
	r.Get("/v1/spread", func(w http.ResponseWriter, r *http.Request) { reply(w, o.operations.RolloutStatus(r.Context())) })
	r.Post("/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		o.operations.Drain()
		reply(w, o.operations.Status())
	})
	r.Method(http.MethodGet, "/metrics", o.metrics)
	return r
}

func reply(w http.ResponseWriter, body any) { writeJSON(w, http.StatusOK, "application/json", body) }

// ConfigResponse is the whole configuration.
type ConfigResponse struct {
	Version uint64            `json:"version"`
	Objects []json.RawMessage `json:"objects"`
}

func (o *OperatorServer) serveConfig(w http.ResponseWriter, _ *http.Request) {
	version, objects := o.configuration.Objects()
	body := ConfigResponse{Version: version, Objects: []json.RawMessage{}}
	for _, object := range objects {
		body.Objects = append(body.Objects, object.Body)
	}
	reply(w, body)
}

// ChangeRequest asks for a change.
type ChangeRequest struct {
	ChangeID    string            `json:"change"`
	BaseVersion uint64            `json:"base_version"`
	Author      string            `json:"author,omitempty"`
	Objects     []json.RawMessage `json:"objects"`
	// Deletes lists objects as "kind/name".
	Deletes []string `json:"delete,omitempty"`
}

// ChangeResponse answers a change that was applied.
type ChangeResponse struct {
	Version uint64 `json:"version"`
}

// FaultsResponse lists the faults of a refused change.
type FaultsResponse struct {
	Code   figseam.Code    `json:"code"`
	Faults []decoder.Fault `json:"faults"`
}

func (o *OperatorServer) serveChange(w http.ResponseWriter, r *http.Request) {
	var body ChangeRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		writeProblem(w, figseam.NewRefusal(explainer.BadRequest, "body: %v", err))
		return
	}
	change, err := body.change()
	if err == nil {
		var version uint64
		version, err = o.publisher.Publish(r.Context(), change)
		if err == nil {
			reply(w, ChangeResponse{Version: version})
			return
		}
	}
	o.refuseChange(w, err)
}

func (o *OperatorServer) refuseChange(w http.ResponseWriter, err error) {
	if f, ok := errors.AsType[*publisher.ValidationError](err); ok {
		w.Header().Set(HeaderOutcome, string(figseam.OutcomeNotRun))
		writeJSON(w, http.StatusUnprocessableEntity, "application/json", FaultsResponse{Code: explainer.InvalidObjects, Faults: f.Faults})
		return
	}
	refusal := figseam.AsRefusal(err)
	if refusal == nil {
		refusal = figseam.NewRefusal(explainer.NoQuorum, "%v", err).WithOutcome(figseam.OutcomeUnknown)
	}
	writeProblem(w, refusal)
}

func (b ChangeRequest) change() (publisher.Change, error) {
	c := publisher.Change{ID: b.ChangeID, BaseVersion: b.BaseVersion, Author: b.Author}
	if b.ChangeID == "" {
		return c, figseam.NewRefusal(explainer.BadRequest, "field change: expected a change number")
	}
	var faults []decoder.Fault
	for _, text := range b.Objects {
		objects, bad := checker.Parse("change", text)
		faults = append(faults, bad...)
		for _, o := range objects {
			c.Upsert = append(c.Upsert, publisher.Object{ID: o.ID, Body: o.Body})
		}
	}
	if len(faults) > 0 {
		return c, &publisher.ValidationError{Faults: faults}
	}
	for _, name := range b.Deletes {
		kind, rest, ok := strings.Cut(name, "/")
		if !ok {
			return c, figseam.NewRefusal(explainer.BadRequest, "field delete: expected kind/name, found %q", name)
		}
		c.Delete = append(c.Delete, figseam.ObjectID{Kind: figseam.Kind(kind), Name: rest})
	}
	return c, nil
}
