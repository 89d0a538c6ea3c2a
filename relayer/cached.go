package relayer

// Engines keep the KV cache of a prompt until they need the memory. A repeated request
// is sent to an engine that has its prompt cached, or the chosen engine fetches the
// cache from there. Either way no prompt is prefilled twice.

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// resumeTimeoutMillis is the timeout for the first event of a stream that is resumed at
// the same engine.
const resumeTimeoutMillis = 400

// tryAcquireResume reports whether a broken stream may be resumed at the same engine,
// which may have begun to leave since it was chosen. If so, it consumes one retry from the budget.
func (t *task) tryAcquireResume(broken *placement) bool {
	e := broken.choice.Candidate.Endpoint
	return t.route.Semantics.Retryable() && t.checkWork(e) == nil && t.Throttle.Allows(e) && t.Budget.TryAcquire(t.service)
}

// resume resumes a broken stream at the same engine, which has the prompt cached if it
// is healthy. It reserves no memory there, as a reservation would evict the prompt. The
// code is empty if the request has ended.
func (t *task) resume(ctx context.Context, broken *placement) figseam.Code {
	resumed := *broken
	e := resumed.choice.Candidate.Endpoint
	resumed.choice.Reason = selector.ReasonPromptCached
	s := &stream{task: t, endpoint: e, inFlight: t.Tracker.StartRequest(e, 0, t.expectedTokens()), firstEventTimeoutMillis: resumeTimeoutMillis}
	return t.stream(ctx, s, &resumed, figseam.EndpointCall{CacheSource: t.cacheSource(e)})
}

// resumeSilent resumes a stream at the engine that sent no event in time if no other engine
// can be had after all: it may be sound. The code is empty if the request has ended;
// otherwise it is the reason of the refusal.
func (t *task) resumeSilent(ctx context.Context, silent *placement, refusal figseam.Code) figseam.Code {
	if requestEnded(refusal) || t.quarantined() || !t.tryAcquireResume(silent) {
		return refusal
	}
	if code := t.resume(ctx, silent); code == "" || requestEnded(code) {
		return code
	}
	return refusal
}

// cacheSource returns the address from which a decode engine fetches the cached prompt:
// that of another engine that has it and appears healthy; empty for none.
func (t *task) cacheSource(decodeEngine figseam.ListedEndpoint) string {
	if t.cacheEngine == nil || t.cacheEngine.ID == decodeEngine.ID {
		return ""
	}
	c, ok := t.candidateByID(t.cacheEngine.ID, 0)
	if !ok || t.isPartitioned(c) {
		return ""
	}
	return c.Endpoint.Address
}

// isPartitioned reports whether an engine may be unreachable because its data centre is
// partitioned from this instance. That cannot happen within a data centre, where a failed
// connection says nothing about other engines.
func (t *task) isPartitioned(c selector.Candidate) bool {
	return c.DataCentreSuspect && c.Endpoint.DataCentre != t.DataCentre
}

// cacheEngineID returns the ID of the engine that has the prompt cached; empty for
// none.
func (t *task) cacheEngineID() string {
	if t.cacheEngine == nil {
		return ""
	}
	return t.cacheEngine.ID
}

// candidateByID returns the candidate for one engine of the service. tokens is the
// memory that the request needs there, in tokens. It reports false for an engine that is
// unknown, full, in backoff or at its limit.
func (t *task) candidateByID(id string, tokens int) (selector.Candidate, bool) {
	exclude := func(e figseam.ListedEndpoint) bool { return e.ID != id || !t.Throttle.Allows(e) }
	for _, c := range t.Tracker.Candidates(t.EndpointList.ServiceEndpoints(t.service), exclude, tokens, t.memoryTokens()) {
		return c, !c.Full && !selector.InBackoff(c)
	}
	return selector.Candidate{}, false
}

// maxCacheQueries bounds the engines that are queried for a prompt. Engines of the
// instance's own data centre come first.
const maxCacheQueries = 160

// findCachedPrompt looks for an engine that has the prompt cached, preferably a decode
// engine, when a caller reconnects to resume a stream. It sets cacheEngine.
func (t *task) findCachedPrompt(ctx context.Context) {
	parts := t.request.Prompt.Parts
	if t.request.LastEventID < 0 || !t.route.Semantics.Retryable() || len(parts) == 0 {
		return
	}
	var engines []figseam.ListedEndpoint
	for _, c := range t.Tracker.Candidates(t.EndpointList.ServiceEndpoints(t.service), excludeNone, 0, 0) {
		if !selector.InBackoff(c) && !t.isPartitioned(c) && t.Throttle.Allows(c.Endpoint) {
			engines = append(engines, c.Endpoint)
		}
	}
	slices.SortStableFunc(engines, func(a, b figseam.ListedEndpoint) int { return t.distance(a) - t.distance(b) })
	engines = engines[:min(len(engines), maxCacheQueries)]
	for _, e := range t.cacheLocator.Find(ctx, engines, parts[len(parts)-1].ID) {
		t.cacheEngine = &e
		if e.Stage == figseam.EndpointStageDecode {
			return
		}
	}
}

// distance returns 0 for an engine of the instance's own data centre and 1 for any
// other.
func (t *task) distance(e figseam.ListedEndpoint) int {
	if e.DataCentre == t.DataCentre {
		return 0
	}
	return 1
}

func excludeNone(figseam.ListedEndpoint) bool { return false }

// chooseCacheEngine returns the decode engine that has the prompt cached. It reports
// false if there is none with enough free memory.
func (t *task) chooseCacheEngine(tokens int) (selector.Choice, bool) {
	if t.cacheEngine == nil || t.cacheEngine.Stage != figseam.EndpointStageDecode || t.excluded[t.cacheEngine.ID] {
		return selector.Choice{}, false
	}
	c, ok := t.candidateByID(t.cacheEngine.ID, tokens)
	return selector.Choice{Candidate: c, Reason: selector.ReasonPromptCached}, ok
}

// logCacheQueryFailure logs an engine whose cached prompt parts could not be queried.
func (r *Relayer) logCacheQueryFailure(e figseam.ListedEndpoint, err error) {
	r.Log.Debug().Err(err).Str("endpoint", e.ID).Msg("cannot query the endpoint for its cached prompt parts")
}

// queryCache returns the prompt parts that an engine has cached. It returns an error if
// the engine is unreachable, responds with a status other than 200, or with an invalid
// body.
func (r *Relayer) queryCache(ctx context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
	status, body, err := r.doControl(ctx, e, controlCall{method: http.MethodGet, target: r.Codec.CachedPartsPath()})
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("engine responded with status %d", status)
	}
	return r.Codec.DecodeCachedParts(body)
}
