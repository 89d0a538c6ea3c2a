package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
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

// maxChangeBytes limits the body of a change request.
const maxChangeBytes = 32 << 20

// Publisher publishes configuration changes and returns the resulting version.
type Publisher interface {
	Publish(ctx context.Context, c publisher.Change) (uint64, error)
}

// ConfigStore provides the instance's copy of the configuration and of its history.
type ConfigStore interface {
	Version() uint64
	Objects() (uint64, []publisher.Object)
	History() []publisher.Delta
}

// InstanceStatus is the status that an instance reports about itself.
type InstanceStatus struct {
	Instance       figseam.InstanceID      `json:"instance"`
	DataCentre     figseam.DataCentre      `json:"data_centre"`
	ConfigVersion  uint64                  `json:"version"`
	Draining       bool                    `json:"leaving"`
	ActiveRequests int64                   `json:"active_requests"`
	Replica        *replicator.StatusReply `json:"replica,omitempty"`
}

// EndpointStatus is an endpoint and its state as this instance has detected it.
type EndpointStatus struct {
	figseam.Endpoint
	State string `json:"state"`
}

// RolloutStatus describes which configuration versions the instances have in force.
type RolloutStatus struct {
	// LowestVersion is the lowest version among the instances that responded.
	LowestVersion uint64 `json:"lowest"`
	// Unreachable lists the members that did not respond.
	Unreachable []figseam.InstanceID `json:"silent"`
	Versions    []InstanceVersion    `json:"versions"`
}

// InstanceVersion is the configuration version in force on an instance.
type InstanceVersion struct {
	Instance figseam.InstanceID `json:"instance" cbor:"1,keyasint"`
	Version  uint64             `json:"version" cbor:"2,keyasint"`
}

// InstanceAdmin provides the status of an instance to operators and drains the instance.
type InstanceAdmin interface {
	Status() InstanceStatus
	Members() []figseam.Member
	Endpoints() []EndpointStatus
	RolloutStatus(ctx context.Context) RolloutStatus
	Drain()
}

// OperatorServer is the HTTP server for operators.
type OperatorServer struct {
	store     ConfigStore
	publisher Publisher
	admin     InstanceAdmin
	metrics   http.Handler
}

// NewOperatorServer returns a server for operators. metrics handles /metrics.
func NewOperatorServer(store ConfigStore, publisher Publisher, admin InstanceAdmin, metrics http.Handler) *OperatorServer {
	return &OperatorServer{store: store, publisher: publisher, admin: admin, metrics: metrics}
}

// Handler returns the HTTP interface for operators.
func (o *OperatorServer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/config", o.serveConfig)
	r.Post("/v1/changes", o.serveChange)
	r.Get("/v1/history", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, o.store.History()) })
	r.Get("/v1/instances", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, o.admin.Members()) })
	r.Get("/v1/endpoints", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, o.admin.Endpoints()) })
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, o.admin.Status()) })
	r.Get("/v1/spread", func(w http.ResponseWriter, r *http.Request) { writeResponse(w, o.admin.RolloutStatus(r.Context())) })
	r.Post("/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		o.admin.Drain()
		writeResponse(w, o.admin.Status())
	})
	r.Method(http.MethodGet, "/metrics", o.metrics)
	return r
}

func writeResponse(w http.ResponseWriter, body any) {
	writeJSON(w, http.StatusOK, "application/json", body)
}

// ConfigResponse holds the whole configuration.
type ConfigResponse struct {
	Version uint64            `json:"version"`
	Objects []json.RawMessage `json:"objects"`
}

func (o *OperatorServer) serveConfig(w http.ResponseWriter, _ *http.Request) {
	version, objects := o.store.Objects()
	body := ConfigResponse{Version: version, Objects: []json.RawMessage{}}
	for _, object := range objects {
		body.Objects = append(body.Objects, object.Body)
	}
	writeResponse(w, body)
}

// ChangeBody is the body of a request to change the configuration. Its name appears
// in JSON decoding errors that are sent to operators.
type ChangeBody struct {
	ChangeID    string            `json:"change"`
	BaseVersion uint64            `json:"base_version"`
	Author      string            `json:"author,omitempty"`
	Objects     []json.RawMessage `json:"objects"`
	// Deletes lists the objects to delete, as "kind/name".
	Deletes []string `json:"delete,omitempty"`
}

// ChangeResponse is the response to a change that was published.
type ChangeResponse struct {
	Version uint64 `json:"version"`
}

// FaultsResponse is the response to a change that failed validation.
type FaultsResponse struct {
	Code   figseam.Code    `json:"code"`
	Faults []decoder.Fault `json:"faults"`
}

func (o *OperatorServer) serveChange(w http.ResponseWriter, r *http.Request) {
	change, err := readChange(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err == nil {
		var version uint64
		version, err = o.publisher.Publish(r.Context(), change)
		if err == nil {
			writeResponse(w, ChangeResponse{Version: version})
			return
		}
	}
	o.refuseChange(w, err)
}

// readChange reads the body of a request to change the configuration. It returns a
// publisher.ValidationError if objects are malformed, and a refusal for any other fault. A
// field that stands twice is a fault, since only one of its values would count.
func readChange(r io.Reader) (c publisher.Change, err error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return c, figseam.NewRefusal(explainer.BadRequest, "body: %v", err)
	}
	var body ChangeBody
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return c, figseam.NewRefusal(explainer.BadRequest, "body: %v", err)
	}
	if c, err = body.change(); err != nil {
		return c, err
	}
	if name, found := decoder.AmbiguousName(text[:d.InputOffset()], decoder.KnownNames{}); found {
		return c, figseam.NewRefusal(explainer.BadRequest, "body: several fields %q, of which letter case makes no difference", name)
	}
	return c, nil
}

// refuseChange sends the validation faults or the refusal in err. For any other error it
// sends a NoQuorum refusal with an unknown outcome.
func (o *OperatorServer) refuseChange(w http.ResponseWriter, err error) {
	if invalid, ok := errors.AsType[*publisher.ValidationError](err); ok {
		w.Header().Set(HeaderOutcome, string(figseam.OutcomeNotRun))
		writeJSON(w, http.StatusUnprocessableEntity, "application/json", FaultsResponse{Code: explainer.InvalidObjects, Faults: invalid.Faults})
		return
	}
	refusal := figseam.AsRefusal(err)
	if refusal == nil {
		refusal = figseam.NewRefusal(explainer.NoQuorum, "%v", err).WithOutcome(figseam.OutcomeUnknown)
	}
	writeProblem(w, refusal)
}

// change converts the request to a change. It returns a publisher.ValidationError if
// objects are malformed, and a refusal if other fields are.
func (b ChangeBody) change() (publisher.Change, error) {
	c := publisher.Change{ID: b.ChangeID, BaseVersion: b.BaseVersion, Author: b.Author}
	if b.ChangeID == "" {
		return c, figseam.NewRefusal(explainer.BadRequest, "field change: expected a change number")
	}
	var faults []decoder.Fault
	for _, source := range b.Objects {
		objects, objectFaults := checker.Parse("change", source)
		faults = append(faults, objectFaults...)
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
