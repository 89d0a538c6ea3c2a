package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/selector"
)

const (
	// expectedCallMillis is the time for which a call is expected to occupy an endpoint.
	expectedCallMillis = 10
	// minConnectFailures, minConnectRetryMillis and maxConnectFailures bound the failed
	// connection attempts of a request. It is refused after minConnectFailures, but not
	// before minConnectRetryMillis have passed, and after maxConnectFailures in any case.
	minConnectFailures    = 4
	minConnectRetryMillis = 400
	maxConnectFailures    = 12
	// attemptTimeoutFactor times the route's latency target is the timeout of an
	// attempt of an idempotent request that may be retried at another endpoint.
	attemptTimeoutFactor = 1.2
)

// connectRetriesExhausted reports whether a request that began at the given time is
// refused after a number of failed connection attempts.
func connectRetriesExhausted(failures int, began time.Time) bool {
	if failures >= maxConnectFailures {
		return true
	}
	return failures >= minConnectFailures && time.Since(began) >= minConnectRetryMillis*time.Millisecond
}

// call relays a request to a service without stages. It reads a response completely
// before relaying it.
func (t *task) call(ctx context.Context) {
	var failedResponse bufferedResponse
	defer func() { failedResponse.release() }()
	var code figseam.Code
	for connectFailures := 0; ; {
		choice, ok := t.chooseCallEndpoint()
		if !ok && code == "" {
			code = t.noEndpointCode(figseam.EndpointStageNone)
		}
		if !ok || (t.attempts > 0 && !t.tryAcquireRetry()) {
			break
		}
		if t.keyWithdrawn() {
			code = explainer.KeyRejected
			break
		}
		e := choice.Candidate.Endpoint
		began := time.Now()
		var response bufferedResponse
		response, code = t.callOnce(ctx, e)
		t.recordStep(e, "call", choice, code, began)
		t.excluded[e.ID] = true
		t.mayHaveRun = t.mayHaveRun || (!unsent(code) && code != explainer.EndpointRejected)
		if unsent(code) {
			if connectFailures++; !connectRetriesExhausted(connectFailures, t.began) {
				continue
			}
			break
		}
		t.attempts++
		if code == "" && (response.status < http.StatusInternalServerError || t.route.Semantics != figseam.Idempotent) {
			defer response.release()
			t.writeResponse(response, explainer.ResponseRelayed)
			return
		}
		if code == "" {
			failedResponse.release()
			failedResponse = response
		}
		if code == explainer.CallerDisconnected {
			t.abortDisconnected()
		}
		if requestEnded(code) || (t.mayHaveRun && t.route.Semantics != figseam.Idempotent) {
			break
		}
	}
	if failedResponse.body != nil {
		t.writeResponse(failedResponse, explainer.FailureResponseRelayed)
		return
	}
	t.finishFailed(code)
}

// chooseCallEndpoint returns the best endpoint. An endpoint that was tried before is
// chosen again only if there is no other or all others are in backoff.
func (t *task) chooseCallEndpoint() (selector.Choice, bool) {
	choice, ok := t.choose(figseam.EndpointStageNone, t.DataCentre, 0)
	if t.attempts == 0 || (ok && choice.Reason != selector.ReasonNoHealthyEndpoint) {
		return choice, ok
	}
	t.excluded = map[string]bool{}
	return t.choose(figseam.EndpointStageNone, t.DataCentre, 0)
}

// callOnce sends the request to one endpoint and reads the whole response.
func (t *task) callOnce(ctx context.Context, e figseam.ListedEndpoint) (buffered bufferedResponse, code figseam.Code) {
	began := time.Now()
	inFlight := t.Tracker.StartRequest(e, expectedCallMillis, 0)
	endpointResult := selector.ResultFailure
	defer func() { inFlight.Finish(endpointResult) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if t.route.Semantics == figseam.Idempotent && t.attempts+1 < t.route.MaxAttempts && t.Budget.Remaining(t.service) >= 1 {
		timeout := time.Duration(attemptTimeoutFactor * float64(t.route.LatencyTargetMillis) * float64(time.Millisecond))
		timer := time.AfterFunc(timeout, func() { cancel(errAttemptTimeout) })
		defer timer.Stop()
	}
	response, head, code := t.send(ctx, figseam.EndpointCall{Request: t.request, Endpoint: e, Deadline: t.request.Deadline})
	if head.Load != nil {
		t.Tracker.RecordLoad(e, *head.Load, expectedCallMillis)
	}
	if response != nil {
		defer response.Close()
		inFlight.RecordResponse()
	}
	if code != "" {
		endpointResult = t.callResult(code, began)
		return bufferedResponse{}, code
	}
	if response.Status < http.StatusMultipleChoices && !head.Signed {
		return bufferedResponse{}, explainer.InvalidResponse
	}
	body, code := t.readWhole(ctx, response)
	endpointResult = t.callResult(code, began)
	if code == "" && response.Status >= http.StatusInternalServerError {
		endpointResult = selector.ResultFailure
	}
	return bufferedResponse{status: response.Status, header: response.Header, body: body}, code
}

// callResult returns the result that is recorded for the endpoint of a call. If the
// request's deadline passed and the call had already taken longer than the route's
// latency target, this counts as a failure of the endpoint.
func (t *task) callResult(code figseam.Code, began time.Time) selector.Result {
	if code == explainer.DeadlineExceeded && time.Since(began).Milliseconds() > t.route.LatencyTargetMillis {
		return selector.ResultFailure
	}
	return resultOf(code)
}
