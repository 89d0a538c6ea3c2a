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
	// idleCostMillis is the cost below which an engine counts as idle. Only calls to
	// idle engines train the prefill estimator.
	idleCostMillis = 15
	// prefillTimeoutBaseMillis and prefillTimeoutFactor determine the timeout of a
	// prefill call: the base plus the factor times the expected duration.
	prefillTimeoutBaseMillis = 500
	prefillTimeoutFactor     = 2
	// usageReportDelayMillis is the delay until an instance receives the usage that
	// other instances report.
	usageReportDelayMillis = 100
	// handleMarginMillis is the time before the end of its TTL at which a prefill
	// result is treated as expired.
	handleMarginMillis = 100
)

// prefillResult is the result of a prefill and the engine that holds it.
type prefillResult struct {
	engine    figseam.ListedEndpoint
	handle    string
	expiresAt figseam.Deadline
}

// unlessExpired returns the result, or nil if the engine no longer keeps it.
func (p *prefillResult) unlessExpired() *prefillResult {
	if p == nil || p.expiresAt.Passed() {
		return nil
	}
	return p
}

// cacheAddress returns the address from which a decode engine fetches the result; empty
// for a nil result.
func (p *prefillResult) cacheAddress() string {
	if p == nil {
		return ""
	}
	return p.engine.Address + "/" + p.handle
}

// releaseHandle frees a prefill result that no decode engine will fetch.
func (t *task) releaseHandle(p *prefillResult) {
	if p != nil && !p.expiresAt.Passed() {
		t.releaseAsync(p.engine, t.Codec.HandleReleasePath(p.handle))
	}
}

// prefill has a prefill engine compute the KV cache of the prompt. A nil result with an
// empty code means that the decode engine prefills the prompt itself. Only calls that
// were rejected or not sent are retried: a call that failed in any other way may still be
// running.
func (t *task) prefill(ctx context.Context, p *placement) (*prefillResult, figseam.Code) {
	for {
		choice, ok := t.choosePrefillEngine(p.choice.Candidate.Endpoint.DataCentre)
		if !ok {
			return nil, explainer.NoAvailableEndpoint
		}
		if t.shouldPrefillOnDecode(p, choice) {
			return nil, ""
		}
		if t.attempts > 0 && !t.tryAcquireRetry() {
			return nil, explainer.RetriesExhausted
		}
		began := time.Now()
		result, code := t.prefillOnce(ctx, choice)
		t.recordStep(choice.Candidate.Endpoint, "prefill", choice, code, began)
		if code == "" {
			t.cacheEngine = &result.engine
			return result, ""
		}
		t.excluded[choice.Candidate.Endpoint.ID] = true
		if unsent(code) {
			continue
		}
		if code != explainer.EndpointRejected {
			return nil, code
		}
		t.attempts++
		t.Budget.RecordRetry(t.service)
		if t.attempts >= t.route.MaxAttempts {
			return nil, code
		}
	}
}

// choosePrefillEngine returns the prefill engine for the prompt, with a preference for the
// data centre of the decode engine.
func (t *task) choosePrefillEngine(decodeDataCentre figseam.DataCentre) (selector.Choice, bool) {
	random := newRand()
	return selector.Choose(selector.Sample(t.candidates(figseam.EndpointStagePrefill, 0), t.concurrentPrefills(), random), decodeDataCentre, random)
}

// concurrentPrefills returns the expected number of prefills that other instances start
// before this instance receives their usage reports.
func (t *task) concurrentPrefills() float64 {
	_, prefillMillis := t.prefillEstimator.Estimate(t.request.Prompt.InputTokens)
	if prefillMillis <= 0 {
		return 0
	}
	return float64(t.remoteDemand.forService(t.service).OfferedPrefillMillis) / prefillMillis * usageReportDelayMillis / 1000
}

// shouldPrefillOnDecode reports whether the decode engine of the placement prefills the
// prompt itself, because it is expected to finish before the best prefill engine. If so,
// it records a step.
func (t *task) shouldPrefillOnDecode(p *placement, c selector.Choice) bool {
	_, prefillMillis := t.prefillEstimator.Estimate(t.request.Prompt.InputTokens)
	if !selector.ShouldPrefillOnDecode(c.Candidate.WorkMillis, prefillMillis, p.choice.Candidate.WorkMillis) {
		return false
	}
	c.Reason = selector.ReasonDecodePrefill
	t.recordStep(p.choice.Candidate.Endpoint, "prefill", c, "", time.Now())
	return true
}

// prefillOnce makes one prefill call. The result is nil unless the code is empty.
func (t *task) prefillOnce(ctx context.Context, choice selector.Choice) (result *prefillResult, code figseam.Code) {
	e := choice.Candidate.Endpoint
	fixedMillis, prefillMillis := t.prefillEstimator.Estimate(t.request.Prompt.InputTokens)
	began := time.Now()
	inFlight := t.Tracker.StartRequest(e, prefillMillis, 0)
	endpointResult := selector.ResultFailure
	defer func() { inFlight.Finish(endpointResult) }()
	timeoutMillis := prefillTimeoutBaseMillis + prefillTimeoutFactor*(fixedMillis+prefillMillis+choice.Candidate.WorkMillis)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Duration(timeoutMillis*float64(time.Millisecond)), func() { cancel(errAttemptTimeout) })
	defer timer.Stop()
	response, head, code := t.send(ctx, figseam.EndpointCall{
		Request: t.request, Endpoint: e, Stage: figseam.EndpointStagePrefill, Deadline: t.request.Deadline,
	})
	if head.Load != nil {
		t.Tracker.RecordLoad(e, *head.Load, prefillMillis)
	}
	if response != nil {
		defer response.Close()
		inFlight.RecordResponse()
	}
	if code != "" {
		endpointResult = resultOf(code)
		t.recordLoss(ctx, e, code)
		return nil, code
	}
	body, code := t.readWhole(ctx, response)
	endpointResult = resultOf(code)
	if code != "" {
		return nil, code
	}
	defer body.Release()
	if response.Status != http.StatusOK {
		endpointResult = selector.ResultFailure
		return nil, explainer.PrefillFailed
	}
	handle, err := t.Codec.DecodeHandle(body.Bytes())
	if err != nil {
		endpointResult = selector.ResultFailure
		return nil, explainer.InvalidResponse
	}
	if choice.CostMillis < idleCostMillis {
		t.prefillEstimator.Observe(t.request.Prompt.InputTokens, float64(time.Since(began).Milliseconds()))
	}
	expiresAt := figseam.DeadlineAfterMillis(max(0, t.handleTTLMillis()-handleMarginMillis))
	return &prefillResult{engine: e, handle: handle.ID, expiresAt: expiresAt}, ""
}

// handleTTLMillis returns the time that engines of the service keep a prefill result; 0
// if unknown.
func (t *task) handleTTLMillis() int64 {
	s := t.index.Load().Table().Services[t.service]
	if s.Engine == nil {
		return 0
	}
	return s.Engine.HandleTTLMillis
}
