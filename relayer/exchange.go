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
	// sourceMillis is how long a DELETE of a prefill's result may take.
	releaseMillis = 1000
)

// send sends the request to an endpoint and returns the head of the answer. The
// code is empty, or says why there is none.
func (t *task) send(ctx context.Context, call figseam.EndpointCall) (*connector.Response, figseam.AnswerHead, figseam.Code) {
	response, err := t.Connector.Do(ctx, connector.Request{
		Address: call.Endpoint.Address, Method: t.request.Method, Target: t.request.Target, Host: t.request.Host,
		Header: t.Wire.EncodeCall(call), Body: t.request.Body,
		IDHeader: t.Wire.RequestIDHeader(), ID: string(t.request.ID),
	})
	if err != nil {
		return nil, figseam.AnswerHead{}, codeOf(ctx, err)
	}
	head := t.Wire.DecodeAnswer(response.Status, response.Header)
	if head.NotRun {
		return response, head, explainer.EndpointRefused
	}
	if response.Header.Get("Content-Encoding") != "" {
		return response, head, explainer.AnswerSpoiled
	}
	return response, head, ""
}

// codeOf says why an exchange failed.
func codeOf(ctx context.Context, err error) figseam.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(err, connector.ErrNotSent) && cause == nil:
		return explainer.NotConnected
	case errors.Is(cause, errTimeout):
		return explainer.DeadlinePassed
	case errors.Is(cause, errSilent):
		return explainer.EndpointSilent
	case cause != nil:
		return explainer.CallerGone
	case errors.Is(err, connector.ErrForeign):
		return explainer.AnswerForeign
	}
	return explainer.ConnectionBroken
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
		return nil, explainer.AnswerTooLarge
	}
	return body, ""
}

// release frees the result of a prefill that nobody will fetch.
func (t *task) release(e figseam.ListedEndpoint, handle string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseMillis*time.Millisecond)
		defer cancel()
		response, err := t.Connector.Do(ctx, connector.Request{
			Address: e.Address, Method: http.MethodDelete, Target: t.Wire.ReleasePath(handle), Host: e.Address, Header: http.Header{},
		})
		if err != nil {
			t.Log.Debug().Err(err).Str("endpoint", e.ID).Msg("prefill result not freed")
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response, answerBytes))
		response.Close()
	}()
}

// verdictOf says what the end of a sending tells of the endpoint.
func verdictOf(code figseam.Code) selector.Verdict {
	switch code {
	case "":
		return selector.Good
	case explainer.CallerGone, explainer.DeadlinePassed:
		return selector.Neutral
	}
	return selector.Bad
}
