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
	// callWorkMillis is what a call is expected to keep an endpoint busy.
	callWorkMillis = 10
	// connectTries and connectMillis are how often and how long connections to
	// endpoints may fail before a request is refused; it is refused after connectMost
	// of them in any case.
	connectTries  = 4
	connectMillis = 400
	connectMost   = 12
	// patienceOfTarget times the route's target is how long an answer may take
	// before an idempotent request is sent elsewhere.
	patienceOfTarget = 1.2
)

// connectsFail reports whether a request is refused after so many connections failed.
func connectsFail(failed int, began time.Time) bool {
	if failed >= connectMost {
		return true
	}
	return failed >= connectTries && time.Since(began) >= connectMillis*time.Millisecond
}

// call carries a request to a plain service.
func (t *task) call(ctx context.Context) {
	var failed *answer
	code := explainer.NoAvailableEndpoint
	for connects := 0; ; {
		choice, ok := t.chooseAgain()
		if !ok || (t.sends > 0 && !t.mayRepeat()) {
			break
		}
		e := choice.Candidate.Endpoint
		began := time.Now()
		var a answer
		a, code = t.callOnce(ctx, e)
		t.note(e, "call", choice, code, began)
		t.avoid[e.ID] = true
		t.mayHaveRun = t.mayHaveRun || (code != explainer.ConnectFailed && code != explainer.EndpointRejected)
		if code == explainer.ConnectFailed {
			if connects++; !connectsFail(connects, t.began) {
				continue
			}
			break
		}
		t.sends++
		if code == "" && (a.status < http.StatusInternalServerError || t.route.Semantics != figseam.Idempotent) {
			t.write(a, explainer.ResponseRelayed)
			return
		}
		if code == "" {
			failed = &a
		}
		if code == explainer.CallerDisconnected {
			t.gone()
			return
		}
		if code == explainer.DeadlineExceeded || (t.mayHaveRun && t.route.Semantics != figseam.Idempotent) {
			break
		}
	}
	if failed != nil {
		t.write(*failed, explainer.FailureResponseRelayed)
		return
	}
	t.conclude(code)
}

// chooseAgain returns the best endpoint, which is one that was tried before if all
// others rest.
func (t *task) chooseAgain() (selector.Choice, bool) {
	choice, ok := t.choose(figseam.EndpointStageNone, t.DataCentre, 0)
	if t.sends == 0 || (ok && choice.Reason != selector.ReasonNoHealthyEndpoint) {
		return choice, ok
	}
	t.avoid = map[string]bool{}
	return t.choose(figseam.EndpointStageNone, t.DataCentre, 0)
}

// callOnce sends the request to one endpoint and reads the whole answer.
func (t *task) callOnce(ctx context.Context, e figseam.ListedEndpoint) (a answer, code figseam.Code) {
	began := time.Now()
	work := t.Tracker.StartRequest(e, callWorkMillis, 0)
	verdict := selector.ResultFailure
	defer func() { work.Finish(verdict) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if t.route.Semantics == figseam.Idempotent && t.sends+1 < t.route.MaxAttempts && t.Budget.Remaining(t.service) >= 1 {
		patience := time.Duration(patienceOfTarget * float64(t.route.LatencyTargetMillis) * float64(time.Millisecond))
		timer := time.AfterFunc(patience, func() { cancel(errSilent) })
		defer timer.Stop()
	}
	response, head, code := t.send(ctx, figseam.EndpointCall{Request: t.request, Endpoint: e, Deadline: t.request.Deadline})
	if head.Load != nil {
		t.Tracker.RecordLoad(e, *head.Load, callWorkMillis)
	}
	if response != nil {
		defer response.Close()
		work.RecordResponse()
	}
	if code != "" {
		verdict = t.verdictOfCall(code, began)
		return answer{}, code
	}
	if response.Status < http.StatusMultipleChoices && !head.Signed {
		return answer{}, explainer.InvalidResponse
	}
	body, code := readWhole(ctx, response)
	verdict = t.verdictOfCall(code, began)
	if code == "" && response.Status >= http.StatusInternalServerError {
		verdict = selector.ResultFailure
	}
	return answer{status: response.Status, header: response.Header, body: body}, code
}

// verdictOfCall says what the end of a call tells of the endpoint. One that had the
// call for longer than its answer was due, until the caller's time was over, failed.
func (t *task) verdictOfCall(code figseam.Code, began time.Time) selector.Result {
	if code == explainer.DeadlineExceeded && time.Since(began).Milliseconds() > t.route.LatencyTargetMillis {
		return selector.ResultFailure
	}
	return verdictOf(code)
}
