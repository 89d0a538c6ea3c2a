package relayer

import (
	"context"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/selector"
)

// generate relays a request to model engines: a prefill engine, then a decode engine
// that streams the response. If the route allows it, a broken stream is continued after
// the last event.
func (t *task) generate(ctx context.Context) {
	_, prefillMillis := t.prefillEstimator.Estimate(t.request.Prompt.InputTokens)
	t.queues.recordOffered(t.service, prefillMillis, t.expectedTokens(), t.residence.value())
	t.findCachedPrompt(ctx)
	if code := t.tryDecodeEngines(ctx); code != "" {
		t.finishFailed(code)
	}
}

// tryDecodeEngines tries one decode engine after another, and in the end once more the one
// that was given up since it sent no event in time. The code is empty if the request has ended;
// otherwise it is the reason why no further engine is tried.
func (t *task) tryDecodeEngines(ctx context.Context) figseam.Code {
	silent, code := t.tryEachDecodeEngine(ctx)
	if code == "" || silent == nil {
		return code
	}
	return t.resumeSilent(ctx, silent, code)
}

// tryEachDecodeEngine tries one decode engine after another. The code is that of
// tryDecodeEngines. silent is the last placement whose engine sent no event in time, or nil.
func (t *task) tryEachDecodeEngine(ctx context.Context) (silent *placement, code figseam.Code) {
	code = explainer.NoAvailableEndpoint
	prefilling := t.cacheEngine == nil
	// source is the prefill result that the next decode engine takes, or nil.
	var source *prefillResult
	defer func() { t.releaseHandle(source) }()
	for connectFailures, began := 0, time.Now(); !connectRetriesExhausted(connectFailures, began); {
		p, refusal := t.acquirePlacement(ctx)
		if p == nil {
			return silent, refusal
		}
		if refusal := t.checkWaited(); refusal != "" {
			t.releasePlacement(p)
			return silent, refusal
		}
		source = source.unlessExpired()
		if prefilling {
			if source, code = t.prefill(ctx, p); t.endsAfterPrefill(code) {
				t.releasePlacement(p)
				return silent, code
			}
		}
		if refusal := t.checkDecodeAllowed(); refusal != "" {
			t.releasePlacement(p)
			return silent, refusal
		}
		code = t.decode(ctx, p, source)
		if brokenOff(code) && !t.quarantined() && t.tryAcquireResume(p) {
			if code = t.resume(ctx, p); unsent(code) {
				code = explainer.ConnectionLost
			}
		}
		// The prefill is not repeated: it would count as an attempt. The next decode
		// engine fetches the KV cache from an engine that has the prompt cached, or
		// prefills the prompt itself. The prefill result is not used again, because a
		// missing result may be why the engine rejected the request.
		if requestEnded(code) {
			return silent, code
		}
		switch code {
		case "":
			source = nil
			return silent, ""
		case explainer.EndpointLeaving, explainer.EndpointPaused, explainer.NoConnection:
			// Another decode engine takes the prefill result.
			t.releaseReservation(p)
			prefilling = prefilling && source == nil
			connectFailures++
			continue
		case explainer.ConnectFailed:
			t.releaseHandle(source)
			prefilling = prefilling && source == nil
			source = nil
			connectFailures++
			continue
		case explainer.EndpointTimedOut:
			silent = p
		case explainer.EndpointRejected:
			t.releaseHandle(source)
			t.attributeRejection(p, source)
		}
		prefilling, source = false, nil
		if t.mayHaveRun && !t.route.Semantics.Retryable() {
			return silent, code
		}
	}
	return silent, code
}

// brokenOff reports whether the answer of an engine broke off or could not be read, so that the
// engine may still have the prompt cached.
func brokenOff(code figseam.Code) bool {
	return code == explainer.ConnectionLost || code == explainer.MalformedResponse
}

// checkWaited returns the reason why a request that has waited must not be sent; empty if it
// may be.
func (t *task) checkWaited() figseam.Code {
	switch {
	case t.keyWithdrawn():
		return explainer.KeyRejected
	case t.quarantined():
		return explainer.PromptQuarantined
	}
	return ""
}

// checkDecodeAllowed returns the reason why the request must not be sent to a decode engine;
// empty if it may be. It consumes one retry from the budget for each attempt but the first.
func (t *task) checkDecodeAllowed() figseam.Code {
	if refusal := t.checkWaited(); refusal != "" {
		return refusal
	}
	if t.attempts > 0 && !t.tryAcquireRetry() {
		return explainer.RetriesExhausted
	}
	return ""
}

// endsAfterPrefill reports whether the code of a prefill ends the request. After any
// other failure the decode engine prefills the prompt.
func (t *task) endsAfterPrefill(code figseam.Code) bool {
	return requestEnded(code) || (code == explainer.EndpointRejected && t.attempts >= t.route.MaxAttempts)
}

// attributeRejection handles the rejection of a decode request whose memory was
// reserved. The reservation shows that the engine had memory, so the prefill result must
// have been missing: the failure is recorded for the prefill engine, and the decode
// engine may be chosen again.
func (t *task) attributeRejection(p *placement, source *prefillResult) {
	if p.reservationID == "" || source == nil {
		return
	}
	t.Tracker.RecordFailure(source.engine)
	delete(t.excluded, p.choice.Candidate.Endpoint.ID)
}

// decode sends the request to the decode engine of its placement and relays the stream.
// The code is empty if the request has ended.
func (t *task) decode(ctx context.Context, p *placement, source *prefillResult) figseam.Code {
	e := p.choice.Candidate.Endpoint
	s := &stream{task: t, endpoint: e, inFlight: p.inFlight, firstEventTimeoutMillis: t.eventTimeoutMillis()}
	call := figseam.EndpointCall{PrefillSource: source.cacheAddress(), Reservation: p.reservationID}
	if source == nil {
		call.CacheSource = t.cacheSource(e)
	}
	if source == nil && t.cacheEngine == nil {
		_, prefillMillis := t.prefillEstimator.Estimate(t.request.Prompt.InputTokens)
		s.inFlightPrefill = t.Tracker.StartRequest(e, selector.DecodePrefillMillis(prefillMillis), 0)
		defer s.finishPrefill()
	}
	code := t.stream(ctx, s, p, call)
	if code != "" {
		t.excluded[e.ID] = true
	}
	if !unsent(code) {
		t.attempts++
	}
	return code
}

// stream makes a call to the engine of a placement and relays the response. The code is
// empty if the request has ended.
func (t *task) stream(ctx context.Context, s *stream, p *placement, call figseam.EndpointCall) figseam.Code {
	began := time.Now()
	call.Request, call.Endpoint, call.Stage, call.Deadline = t.request, s.endpoint, figseam.EndpointStageDecode, t.request.Deadline
	code := s.run(ctx, call)
	t.recordStep(s.endpoint, "decode", p.choice, code, began)
	if code == "" {
		t.residence.observe(time.Since(p.reservedAt))
		t.logRequest(logLevel(s.status), s.logCode, s.status)
	}
	return code
}

// memoryTokens returns the memory of one engine of the service, in tokens; 0 if
// unknown.
func (t *task) memoryTokens() int {
	s := t.index.Load().Table().Services[t.service]
	if s.Engine == nil {
		return 0
	}
	return s.Engine.MemoryTokens
}

// streamUnstaged relays the stream of a service without stages. It makes a single
// attempt.
func (t *task) streamUnstaged(ctx context.Context) {
	choice, ok := t.choose(figseam.EndpointStageNone, t.DataCentre, 0)
	if !ok {
		t.refuseFailed(t.noEndpointCode(figseam.EndpointStageNone))
		return
	}
	e := choice.Candidate.Endpoint
	began := time.Now()
	s := &stream{task: t, endpoint: e, inFlight: t.Tracker.StartRequest(e, expectedCallMillis, 0), firstEventTimeoutMillis: t.eventTimeoutMillis()}
	code := s.run(ctx, figseam.EndpointCall{Request: t.request, Endpoint: e, Deadline: t.request.Deadline})
	t.recordStep(e, "stream", choice, code, began)
	if code != "" {
		t.finishFailed(code)
		return
	}
	t.logRequest(logLevel(s.status), s.logCode, s.status)
}

// recordLoad records the load that the endpoint reported in its response header.
func (s *stream) recordLoad(head figseam.ResponseHead) {
	if head.Load != nil {
		s.Tracker.RecordLoad(s.endpoint, *head.Load, 0)
	}
}
