package figseam

import (
	"context"
	"errors"
	"net/http"
)

// HopByHopHeaders lists the headers that apply to a single connection and are never
// forwarded.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// OpaqueRequest is a request of a caller that is forwarded unchanged. Header contains
// neither hop-by-hop headers nor those that the router sets itself.
type OpaqueRequest struct {
	ID RequestID
	// Method, Target and Host are as received from the caller. Target is the path and
	// query without normalisation.
	Method string
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the time until which the caller waits.
	Deadline Deadline
	Prompt   Prompt
	// LastEventID is the ID of the last event that the caller received, or -1.
	LastEventID int64
	// Credential is the API key that the caller sent, or empty.
	Credential string
}

// WithBody returns a copy with another body.
func (r OpaqueRequest) WithBody(body []byte) OpaqueRequest {
	r.Body = body
	return r
}

// WithLastEventID returns a copy that resumes after an event.
func (r OpaqueRequest) WithLastEventID(id int64) OpaqueRequest {
	r.LastEventID = id
	return r
}

// WithDeadline returns a copy with the earlier of its deadline and d.
func (r OpaqueRequest) WithDeadline(d Deadline) OpaqueRequest {
	r.Deadline = r.Deadline.Min(d)
	return r
}

// Prompt is the metadata of a prompt that is available without parsing its text.
type Prompt struct {
	Model string
	// InputTokens is the length of the prompt in tokens, and MaxOutputTokens the limit of
	// the answer.
	InputTokens     int
	MaxOutputTokens int
	// Sized reports whether the caller stated the two lengths.
	Sized bool
	// ExpectedOutputTokens is the length of the answer that the caller expects, or 0 if
	// unspecified.
	ExpectedOutputTokens int
	Parts                []PromptPart
}

// PartIDs returns the IDs of the parts, in order.
func (p Prompt) PartIDs() []string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// PromptPart is a part of a prompt that several prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// EndpointCall is one attempt to send an opaque request to an endpoint.
type EndpointCall struct {
	Request  OpaqueRequest
	Endpoint ListedEndpoint
	Stage    EndpointStage
	// PrefillSource is the address and handle of the prefill result to decode from, or
	// empty.
	PrefillSource string
	// Reservation is the ID of the memory reservation for the request, or empty.
	Reservation string
	// CacheSource is the address of an engine that may have the prompt cached, from which
	// the endpoint fetches missing parts, or empty.
	CacheSource string
	// Deadline is the time at which the endpoint must stop.
	Deadline Deadline
}

// ResponseHead is the metadata in the headers of an endpoint's response.
type ResponseHead struct {
	Request RequestID
	// Instance is the ID of the endpoint, or empty if the response does not contain it.
	Instance string
	// NotExecuted reports whether the endpoint guarantees that the request did not run and
	// never will.
	NotExecuted bool
	// Signed reports whether the response has a signature of the endpoint.
	Signed bool
	Load   *EndpointLoad
	// RequestLimit is the number of requests a second that the endpoint takes from all
	// instances together, or nil if it names no limit.
	RequestLimit *float64
}

// EndpointNotice is the state that an endpoint reports in the header of a response of any status.
type EndpointNotice struct {
	// Leaving reports that the endpoint is about to stop and takes no new work.
	Leaving bool
	// PauseMillis is the time for which the endpoint wants no requests from this instance, 0
	// for none.
	PauseMillis int64
}

// EndpointLoad is the load that an endpoint reports in a response.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
}

// PrefillHandle identifies a prefill result on the engine that holds it.
type PrefillHandle struct {
	ID     string
	Tokens int
}

// WireCodec converts opaque requests and responses between the types of this package and
// the wire format of a deployment.
type WireCodec interface {
	// DecodeRequest decodes a caller's request without its body.
	DecodeRequest(r *http.Request) (OpaqueRequest, error)
	// WithAccount returns a copy of a request that endpoints receive with the name of its
	// account and without the API key. The name is empty for a request without an account.
	WithAccount(r OpaqueRequest, account Account) OpaqueRequest
	// EncodeCallHeader returns the headers of a call.
	EncodeCallHeader(call EndpointCall) http.Header
	// DecodeResponseHead decodes the headers of an endpoint's response.
	DecodeResponseHead(status int, header http.Header) ResponseHead
	// DecodeNotice decodes what an endpoint says of itself in the head of any answer.
	DecodeNotice(status int, header http.Header) EndpointNotice
	// DecodeHandle decodes the response body of a prefill.
	DecodeHandle(body []byte) (PrefillHandle, error)
	// HandleReleasePath returns the target of the DELETE request that releases a handle.
	HandleReleasePath(handle string) string
	// EncodeReservation returns the target and body of the POST request that reserves
	// memory for a number of tokens during a number of milliseconds.
	EncodeReservation(tokens int, millis int64) (target string, body []byte)
	// DecodeReservationID decodes the ID of a reservation from the response.
	DecodeReservationID(body []byte) (string, error)
	// ReservationReleasePath returns the target of the DELETE request that releases a
	// reservation.
	ReservationReleasePath(reservation string) string
	// CachedPartsPath returns the target of the GET request that lists the prompt parts in
	// the cache of an engine. DecodeCachedParts decodes its response.
	CachedPartsPath() string
	DecodeCachedParts(body []byte) ([]PromptPart, error)
	// RequestIDHeader returns the name of the header that carries the request ID.
	RequestIDHeader() string
}

// ErrBadRequest means that a request is malformed.
var ErrBadRequest = errors.New("request cannot be read")

// EngineState is the state that an engine reports.
type EngineState struct {
	Stage EndpointStage
	// ChangingStage reports whether a stage change is in progress.
	ChangingStage bool
	// AcceptedChanges is the number of stage changes that the engine accepted since its
	// start.
	AcceptedChanges int64
}

// StageChange is a command to an engine to change its stage.
type StageChange struct {
	Stage EndpointStage
	// Issuer is the instance that sends the command, and Fence its fencing token. An
	// engine that checks fencing tokens rejects a token lower than the highest that it
	// received.
	Issuer InstanceID
	Fence  uint64
	// ExpectedChanges must equal the engine's AcceptedChanges, or the engine rejects the
	// command.
	ExpectedChanges int64
}

// StageChangeResult is the response of an engine to a stage change.
type StageChangeResult int

// Results of stage changes.
const (
	StageChangeAccepted StageChangeResult = iota + 1
	// StageChangeAlreadyApplied means that the engine already has the stage.
	StageChangeAlreadyApplied
	// StageChangeConflict means that another change is in progress, or that
	// ExpectedChanges is not the engine's AcceptedChanges.
	StageChangeConflict
	// StageChangeFenced means that the engine received a higher fencing token.
	StageChangeFenced
	// StageChangeRejected means that the engine does not support such a change.
	StageChangeRejected
)

// StageController queries and changes the stages of engines.
type StageController interface {
	QueryState(ctx context.Context, e ListedEndpoint) (EngineState, error)
	// ChangeStage returns an error if there is no response; the engine may then carry out
	// the change at any later time.
	ChangeStage(ctx context.Context, e ListedEndpoint, change StageChange) (StageChangeResult, error)
}
