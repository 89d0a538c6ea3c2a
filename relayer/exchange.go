package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/limiter"
	"github.com/figseam/figseam/selector"
)

const (
	// maxResponseBytes bounds a response that is read completely before it is relayed, and
	// maxBufferedBytes the memory of all responses that are.
	maxResponseBytes = 4 << 20
	maxBufferedBytes = 6 << 20
	// maxControlResponseBytes bounds the response to a control call. An engine's list of
	// cached prompt parts is the longest one.
	maxControlResponseBytes = 1 << 20
	// releaseTimeoutMillis is the timeout of a release call, whose result no request
	// waits for.
	releaseTimeoutMillis = 1000
)

// send sends the request to an endpoint and returns the response and its decoded
// header. A code that is not empty is the reason why the response must not be used; a
// response that is not nil must be closed even then.
func (t *task) send(ctx context.Context, call figseam.EndpointCall) (*connector.Response, figseam.ResponseHead, figseam.Code) {
	response, err := t.sendWork(ctx, call.Endpoint, connector.Request{
		Address: call.Endpoint.Address, Method: t.request.Method, Target: t.request.Target, Host: t.request.Host,
		Header: t.Codec.EncodeCallHeader(call), Body: t.request.Body,
		IDHeader: t.Codec.RequestIDHeader(), ID: string(t.request.ID),
	})
	if err != nil {
		return nil, figseam.ResponseHead{}, errorCode(ctx, err)
	}
	head := t.Codec.DecodeResponseHead(response.Status, response.Header)
	t.Throttle.RecordAnswer(call.Endpoint, head.RequestLimit)
	if head.NotExecuted {
		return response, head, explainer.EndpointRejected
	}
	if response.Header.Get("Content-Encoding") != "" {
		return response, head, explainer.InvalidResponse
	}
	return response, head, ""
}

// errorCode returns the code for a failed exchange.
func errorCode(ctx context.Context, err error) figseam.Code {
	if code := contextCode(ctx); code != "" {
		return code
	}
	switch {
	case errors.Is(err, errEndpointLeaving):
		return explainer.EndpointLeaving
	case errors.Is(err, errEndpointPaused):
		return explainer.EndpointPaused
	case errors.Is(err, connector.ErrNoPlace):
		return explainer.NoConnection
	case errors.Is(err, connector.ErrNotSent):
		return explainer.ConnectFailed
	case errors.Is(err, connector.ErrMalformed):
		return explainer.MalformedResponse
	case errors.Is(err, connector.ErrMismatchedResponse), errors.Is(err, errReservationRepeated):
		return explainer.ResponseMismatch
	case errors.Is(err, limiter.ErrHeadTooLarge):
		return explainer.HeadTooLarge
	case errors.Is(err, errEventTooLarge):
		return explainer.EventTooLarge
	case errors.Is(err, limiter.ErrBodyTooLarge), errors.Is(err, limiter.ErrBudgetExhausted):
		return explainer.ResponseTooLarge
	}
	return explainer.ConnectionLost
}

// errAttemptTimeout is the cancellation cause of an attempt whose endpoint responds too
// slowly.
var errAttemptTimeout = errors.New("endpoint did not respond within the attempt timeout")

// readWhole reads a response body to its end. The code is empty if the body is complete
// and there is memory for it. The caller must release the body.
func (r *Relayer) readWhole(ctx context.Context, response *connector.Response) (*limiter.Body, figseam.Code) {
	body, err := r.responseMemory.ReadBody(response, maxResponseBytes)
	if err != nil {
		return nil, errorCode(ctx, err)
	}
	return body, ""
}

// contextCode returns the code for the cause of a cancelled context; empty if ctx is
// not cancelled.
func contextCode(ctx context.Context) figseam.Code {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return ""
	case errors.Is(cause, errInstanceStopping):
		return explainer.InstanceStopping
	case errors.Is(cause, errDeadlineExceeded):
		return explainer.DeadlineExceeded
	case errors.Is(cause, errAttemptTimeout):
		return explainer.EndpointTimedOut
	}
	return explainer.CallerDisconnected
}

// controlCall is a call that does not relay a caller's request, such as a reservation.
// Its response bears no ID.
type controlCall struct {
	method string
	target string
	body   []byte
	// releases is set for a call that frees resources. Endpoints that leave receive it, too.
	releases bool
	// accept, if set, returns an error if the response cannot be the one to this call.
	accept func(status int, body []byte) error
	// observeLate, if set, is called with the response to this call if it arrives after another one
	// was taken for it.
	observeLate func(status int, body []byte)
}

// doControl makes a control call. It returns the response's status and body. If the
// response is not accepted or is too long, the connection is not used again, since the
// response to this call may still come on it.
func (r *Relayer) doControl(ctx context.Context, e figseam.ListedEndpoint, call controlCall) (status int, body []byte, err error) {
	header := http.Header{}
	if len(call.body) > 0 {
		header.Set("Content-Type", "application/json")
	}
	send := r.sendWork
	if call.releases {
		send = r.sendRelease
	}
	response, err := send(ctx, e, connector.Request{
		Address: e.Address, Method: call.method, Target: call.target, Host: e.Address, Header: header, Body: call.body,
		ObserveLate: call.observeLate,
	})
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	if limit := r.Codec.DecodeResponseHead(response.Status, response.Header).RequestLimit; limit != nil {
		r.Throttle.RecordAnswer(e, limit)
	}
	buffered, err := r.responseMemory.ReadBody(response, maxControlResponseBytes)
	if err != nil {
		return response.Status, nil, err
	}
	defer buffered.Release()
	body = buffered.Bytes()
	if call.accept != nil {
		if err := call.accept(response.Status, body); err != nil {
			response.Discard()
			return response.Status, body, err
		}
	}
	return response.Status, body, nil
}

// releaseAsync frees a resource at an endpoint by a DELETE request. It does not wait
// for the response, and the call may outlive the request.
func (t *task) releaseAsync(e figseam.ListedEndpoint, target string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeoutMillis*time.Millisecond)
		defer cancel()
		if _, _, err := t.doControl(ctx, e, controlCall{method: http.MethodDelete, target: target, releases: true}); err != nil {
			t.Log.Debug().Err(err).Str("endpoint", e.ID).Str("target", target).Msg("cannot release the resource at the endpoint")
		}
	}()
}

// resultOf returns the result that is recorded for the endpoint of an attempt.
func resultOf(code figseam.Code) selector.Result {
	if requestEnded(code) {
		return selector.ResultIgnored
	}
	switch code {
	case "":
		return selector.ResultSuccess
	case explainer.EndpointLeaving, explainer.EndpointPaused, explainer.NoConnection:
		return selector.ResultIgnored
	case explainer.ConnectFailed:
		return selector.ResultUnreachable
	case explainer.EndpointTimedOut:
		return selector.ResultNoResponse
	}
	return selector.ResultFailure
}
