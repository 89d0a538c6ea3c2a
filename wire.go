package figseam

import (
	"context"
	"errors"
	"net/http"
)

// HopByHopHeaders concern one connection only and are never passed on.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// OpaqueRequest is a caller's request that is passed on unchanged. Its headers
// are those that concern more than one connection; those that the system sets
// itself are taken out.
type OpaqueRequest struct {
	ID RequestID
	// Method, Target and Host stand as the caller sent them; Target is path and
	// query without any cleaning.
	Method string
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is how long the caller waits.
	Deadline Deadline
	Prompt   Prompt
	// LastEventID is the last event that the caller has, or -1.
	LastEventID int64
}

// WithBody returns a copy with the body.
func (r OpaqueRequest) WithBody(body []byte) OpaqueRequest {
	r.Body = body
	return r
}

// WithLastEventID returns a copy that goes on behind an event.
func (r OpaqueRequest) WithLastEventID(id int64) OpaqueRequest {
	r.LastEventID = id
	return r
}

// WithDeadline returns a copy with an earlier deadline.
func (r OpaqueRequest) WithDeadline(d Deadline) OpaqueRequest {
	r.Deadline = r.Deadline.Min(d)
	return r
}

// Prompt is what is known of a prompt without reading it.
type Prompt struct {
	Model string
	// InputTokens is the prompt's length, OutputTokens the most that is generated.
	InputTokens     int
	MaxOutputTokens int
	// ExpectedOutputTokens is what the caller expects to be generated; 0 when it does not say.
	ExpectedOutputTokens int
	Parts                []PromptPart
}

// PromptPart is a part that prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// EndpointCall is one sending of an opaque request.
type EndpointCall struct {
	Request  OpaqueRequest
	Endpoint ListedEndpoint
	Stage    EndpointStage
	// PrefillSource is the address and handle of a prefill's result to go on from; empty
	// for none.
	PrefillSource string
	// Reservation names the memory that is set aside for the request; empty for none.
	Reservation string
	// CacheSource is the address of an engine that may still keep the prompt, from which
	// the endpoint takes what it lacks; empty for none.
	CacheSource string
	// Deadline is when the endpoint is to stop.
	Deadline Deadline
}

// ResponseHead is what an endpoint's answer says beside its content.
type ResponseHead struct {
	Request RequestID
	// Instance is the endpoint's ID, where it says it.
	Instance string
	// NotExecuted tells that the endpoint did not run the request and never will.
	NotExecuted bool
	// Signed tells that the answer bears the endpoint's signature.
	Signed bool
	Load   *EndpointLoad
}

// EndpointLoad is what an endpoint says of its load in an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
}

// PrefillHandle names the result of a prefill on the engine that made it.
type PrefillHandle struct {
	ID     string
	Tokens int
}

// WireCodec translates opaque requests into and out of the form that callers and
// endpoints of a deployment use.
type WireCodec interface {
	// DecodeRequest reads a caller's request without its body.
	DecodeRequest(r *http.Request) (OpaqueRequest, error)
	// EncodeCallHeader returns the headers of one sending.
	EncodeCallHeader(call EndpointCall) http.Header
	// DecodeResponseHead reads the headers of an endpoint's answer.
	DecodeResponseHead(status int, header http.Header) ResponseHead
	// DecodeHandle reads the answer to a prefill.
	DecodeHandle(body []byte) (PrefillHandle, error)
	// HandleReleasePath returns the target of the DELETE that frees a handle.
	HandleReleasePath(handle string) string
	// EncodeReservation returns target and body of the POST that sets memory aside.
	EncodeReservation(tokens int, millis int64) (target string, body []byte)
	// DecodeReservationID reads the name of the memory that was set aside.
	DecodeReservationID(body []byte) (string, error)
	// ReservationReleasePath returns the target of the DELETE that gives it back.
	ReservationReleasePath(hold string) string
	// CachedPartsPath is the target of the GET that lists the parts of prompts that an
	// engine has cached, and DecodeCachedParts reads its answer.
	CachedPartsPath() string
	DecodeCachedParts(body []byte) ([]PromptPart, error)
	// RequestIDHeader is the name of the header with the request's ID.
	RequestIDHeader() string
}

// ErrBadRequest means that a request cannot be read.
var ErrBadRequest = errors.New("request cannot be read")

// EngineState is what an engine says of itself.
type EngineState struct {
	Stage EndpointStage
	// ChangingStage tells that an order is being carried out.
	ChangingStage bool
	// AcceptedChanges is the number of orders that the engine accepted since its start.
	AcceptedChanges int64
}

// StageChange tells an engine to take another part of generations.
type StageChange struct {
	Stage EndpointStage
	// Issuer is the instance that gives the order, Fence the number of its right to
	// do so. An engine that checks them refuses a lower number than it saw.
	Issuer InstanceID
	Fence  uint64
	// ExpectedChanges must be the engine's own number, or it refuses.
	ExpectedChanges int64
}

// StageChangeResult is an engine's answer to an order.
type StageChangeResult int

// Outcomes of orders.
const (
	StageChangeAccepted StageChangeResult = iota + 1
	// StageChangeAlreadyApplied means that the engine is as ordered already.
	StageChangeAlreadyApplied
	// StageChangeConflict means that another order is being carried out or was since.
	StageChangeConflict
	// StageChangeFenced means that another holder used a higher fencing number.
	StageChangeFenced
	// StageChangeRejected means that the engine takes no such order.
	StageChangeRejected
)

// StageController gives orders to engines.
type StageController interface {
	QueryState(ctx context.Context, e ListedEndpoint) (EngineState, error)
	// ChangeStage returns an error if there is no answer; the order may then be carried
	// out at any later time.
	ChangeStage(ctx context.Context, e ListedEndpoint, order StageChange) (StageChangeResult, error)
}
