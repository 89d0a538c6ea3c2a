package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/selector"
)

const (
	// answerBytes bounds an answer that is read whole before it is passed on.
	answerBytes = 8 << 20
	// smallBytes bounds an answer that is for the system itself.
	smallBytes = 64 << 10
	// tellMillis is how long a call may take whose answer is not waited for.
	tellMillis = 1000
)

// send sends the request to an endpoint and returns the head of the answer. The
// code is empty, or says why there is none.
func (t *task) send(ctx context.Context, call figseam.EndpointCall) (*connector.Response, figseam.ResponseHead, figseam.Code) {
	response, err := t.Connector.Do(ctx, connector.Request{
		Address: call.Endpoint.Address, Method: t.request.Method, Target: t.request.Target, Host: t.request.Host,
		Header: t.Codec.EncodeCallHeader(call), Body: t.request.Body,
		IDHeader: t.Codec.RequestIDHeader(), ID: string(t.request.ID),
	})
	if err != nil {
		return nil, figseam.ResponseHead{}, codeOf(ctx, err)
	}
	head := t.Codec.DecodeResponseHead(response.Status, response.Header)
	if head.NotExecuted {
		return response, head, explainer.EndpointRejected
	}
	if response.Header.Get("Content-Encoding") != "" {
		return response, head, explainer.InvalidResponse
	}
	return response, head, ""
}

// codeOf says why an exchange failed.
func codeOf(ctx context.Context, err error) figseam.Code {
	if code := codeOfEnd(ctx); code != "" {
		return code
	}
	switch {
	case errors.Is(err, connector.ErrNotSent):
		return explainer.ConnectFailed
	case errors.Is(err, connector.ErrMismatchedResponse):
		return explainer.ResponseMismatch
	}
	return explainer.ConnectionLost
}

// errSilent ends one sending to an endpoint that takes unusually long.
var errSilent = errors.New("endpoint is silent")

// readWhole reads an answer to its end and checks that it is whole.
func readWhole(ctx context.Context, r *connector.Response) ([]byte, figseam.Code) {
	body, err := io.ReadAll(io.LimitReader(r, answerBytes+1))
	switch {
	case err != nil:
		return nil, codeOf(ctx, err)
	case len(body) > answerBytes:
		return nil, explainer.ResponseTooLarge
	}
	return body, ""
}

// codeOfEnd says why a context ended; empty while it goes on.
func codeOfEnd(ctx context.Context) figseam.Code {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return ""
	case errors.Is(cause, errTimeout):
		return explainer.DeadlineExceeded
	case errors.Is(cause, errSilent):
		return explainer.EndpointTimedOut
	}
	return explainer.CallerDisconnected
}

// ask exchanges a call that is no caller's request with an endpoint.
func (r *Relayer) ask(ctx context.Context, e figseam.ListedEndpoint, method, target string, body []byte) (int, []byte, error) {
	header := http.Header{}
	if len(body) > 0 {
		header.Set("Content-Type", "application/json")
	}
	response, err := r.Connector.Do(ctx, connector.Request{
		Address: e.Address, Method: method, Target: target, Host: e.Address, Header: header, Body: body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	answer, err := io.ReadAll(io.LimitReader(response, smallBytes))
	return response.Status, answer, err
}

// tell sends a DELETE to an endpoint beside the request, which may have ended.
func (t *task) tell(e figseam.ListedEndpoint, target string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellMillis*time.Millisecond)
		defer cancel()
		if _, _, err := t.ask(ctx, e, http.MethodDelete, target, nil); err != nil {
			t.Log.Debug().Err(err).Str("endpoint", e.ID).Str("target", target).Msg("endpoint not told")
		}
	}()
}

// verdictOf says what the end of a sending tells of the endpoint.
func verdictOf(code figseam.Code) selector.Result {
	switch code {
	case "":
		return selector.ResultSuccess
	case explainer.CallerDisconnected, explainer.DeadlineExceeded:
		return selector.ResultIgnored
	case explainer.ConnectFailed:
		return selector.ResultUnreachable
	case explainer.EndpointTimedOut:
		return selector.ResultNoResponse
	}
	return selector.ResultFailure
}
