package figseam

import (
	"context"
	"errors"
	"net/http"
)

// ConnectionHeaders concern one connection only and are never passed on.
var ConnectionHeaders = []string{
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
	// LastEvent is the last event that the caller has, or -1.
	LastEvent int64
}

// WithBody returns a copy with the body.
func (r OpaqueRequest) WithBody(body []byte) OpaqueRequest {
	r.Body = body
	return r
}

// WithLastEvent returns a copy that goes on behind an event.
func (r OpaqueRequest) WithLastEvent(id int64) OpaqueRequest {
	r.LastEvent = id
	return r
}

// WithDeadline returns a copy with an earlier deadline.
func (r OpaqueRequest) WithDeadline(d Deadline) OpaqueRequest {
	r.Deadline = r.Deadline.WithEarlier(d)
	return r
}

// Prompt is what is known of a prompt without reading it.
type Prompt struct {
	Model string
	// InputTokens is the prompt's length, OutputTokens the most that is generated.
	InputTokens  int
	OutputTokens int
	// HintTokens is what the caller expects to be generated; 0 when it does not say.
	HintTokens int
	Parts      []PromptPart
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
	// Source is the address and handle of a prefill's result to go on from; empty
	// for none.
	Source string
	// Hold names the memory that is set aside for the request; empty for none.
	Hold string
	// Fetch is the address of an engine that may still keep the prompt, from which
	// the endpoint takes what it lacks; empty for none.
	Fetch string
	// Deadline is when the endpoint is to stop.
	Deadline Deadline
}

// AnswerHead is what an endpoint's answer says beside its content.
type AnswerHead struct {
	Request RequestID
	// Instance is the endpoint's ID, where it says it.
	Instance string
	// NotRun tells that the endpoint did not run the request and never will.
	NotRun bool
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

// Wire translates opaque requests into and out of the form that callers and
// endpoints of a deployment use.
type Wire interface {
	// DecodeRequest reads a caller's request without its body.
	DecodeRequest(r *http.Request) (OpaqueRequest, error)
	// EncodeCall returns the headers of one sending.
	EncodeCall(call EndpointCall) http.Header
	// DecodeAnswer reads the headers of an endpoint's answer.
	DecodeAnswer(status int, header http.Header) AnswerHead
	// DecodeHandle reads the answer to a prefill.
	DecodeHandle(body []byte) (PrefillHandle, error)
	// ReleasePath returns the target of the DELETE that frees a handle.
	ReleasePath(handle string) string
	// EncodeHold returns target and body of the POST that sets memory aside.
	EncodeHold(tokens int, millis int64) (target string, body []byte)
	// DecodeHold reads the name of the memory that was set aside.
	DecodeHold(body []byte) (string, error)
	// DropHoldPath returns the target of the DELETE that gives it back.
	DropHoldPath(hold string) string
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
	// Busy tells that an order is being carried out.
	Busy bool
	// Orders is the number of orders that the engine accepted since its start.
	Orders int64
}

// StageOrder tells an engine to take another part of generations.
type StageOrder struct {
	Stage EndpointStage
	// Holder is the instance that gives the order, Fence the number of its right to
	// do so. An engine that checks them refuses a lower number than it saw.
	Holder InstanceID
	Fence  uint64
	// Orders must be the engine's own number, or it refuses.
	Orders int64
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// Outcomes of orders.
const (
	OrderAccepted OrderOutcome = iota + 1
	// OrderHolds means that the engine is as ordered already.
	OrderHolds
	// OrderConflict means that another order is being carried out or was since.
	OrderConflict
	// OrderFenced means that another holder used a higher fencing number.
	OrderFenced
	// OrderRefused means that the engine takes no such order.
	OrderRefused
)

// Steward gives orders to engines.
type Steward interface {
	State(ctx context.Context, e ListedEndpoint) (EngineState, error)
	// Order returns an error if there is no answer; the order may then be carried
	// out at any later time.
	Order(ctx context.Context, e ListedEndpoint, order StageOrder) (OrderOutcome, error)
}
