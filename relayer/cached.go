package relayer

// Engines cache the prompts that they have read until the memory is needed. What is
// sent again goes to such an engine, or has the prompt fetched from there: nothing is
// read twice.

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// resumeMillis is how long the first event may take from an engine that has the
// prompt cached.
const resumeMillis = 400

// mayResume reports whether a broken stream may go on at the engine that it came
// from, and takes its part of the budget.
func (t *task) mayResume() bool {
	return t.route.Semantics.Retryable() && t.Budget.TryAcquire(t.service)
}

// resume goes on at the engine whose stream broke: one that is well has the
// prompt cached. No memory is set aside, as that would evict the prompt.
func (t *task) resume(ctx context.Context, broken *seat) figseam.Code {
	again := *broken
	e := again.choice.Candidate.Endpoint
	again.choice.Reason = selector.ReasonPromptCached
	s := &stream{task: t, endpoint: e, work: t.Tracker.StartRequest(e, 0, t.expectedTokens()), patienceMillis: resumeMillis}
	return t.stream(ctx, s, &again, figseam.EndpointCall{CacheSource: t.fetchFrom(e)})
}

// fetchFrom returns the address of another engine that has the prompt cached, while it
// seems to be well; empty for none.
func (t *task) fetchFrom(own figseam.ListedEndpoint) string {
	if t.cachedAt == nil || t.cachedAt.ID == own.ID {
		return ""
	}
	c, ok := t.candidate(t.cachedAt.ID, 0)
	if !ok || c.DataCentreSuspect {
		return ""
	}
	return c.Endpoint.Address
}

// cachedAtID returns the ID of the engine that has the prompt cached; empty for none.
func (t *task) cachedAtID() string {
	if t.cachedAt == nil {
		return ""
	}
	return t.cachedAt.ID
}

// candidate returns what is believed of an engine that has room for so many tokens. It
// reports false for one that is unknown, full or rests.
func (t *task) candidate(id string, need int) (selector.Candidate, bool) {
	others := func(e figseam.ListedEndpoint) bool { return e.ID != id }
	for _, c := range t.Tracker.Candidates(t.EndpointList.ServiceEndpoints(t.service), others, need, t.memoryTokens()) {
		return c, !c.Full && !selector.InBackoff(c)
	}
	return selector.Candidate{}, false
}

// askedMost bounds the engines that are asked for a prompt, those of the instance's own
// data centre first.
const askedMost = 160

// findCached looks for an engine that has the prompt of a caller that comes back for
// the rest of a stream in its cache, at best a decode engine.
func (t *task) findCached(ctx context.Context) {
	parts := t.request.Prompt.Parts
	if t.request.LastEventID < 0 || !t.route.Semantics.Retryable() || len(parts) == 0 {
		return
	}
	var engines []figseam.ListedEndpoint
	for _, c := range t.Tracker.Candidates(t.EndpointList.ServiceEndpoints(t.service), noneSkipped, 0, 0) {
		if !selector.InBackoff(c) && !c.DataCentreSuspect {
			engines = append(engines, c.Endpoint)
		}
	}
	slices.SortStableFunc(engines, func(a, b figseam.ListedEndpoint) int { return t.distance(a) - t.distance(b) })
	engines = engines[:min(len(engines), askedMost)]
	for _, e := range t.caches.Find(ctx, engines, parts[len(parts)-1].ID) {
		t.cachedAt = &e
		if e.Stage == figseam.EndpointStageDecode {
			return
		}
	}
}

// distance is 0 for engines of the instance's own data centre and 1 for others.
func (t *task) distance(e figseam.ListedEndpoint) int {
	if e.DataCentre == t.DataCentre {
		return 0
	}
	return 1
}

func noneSkipped(figseam.ListedEndpoint) bool { return false }

// chooseCached returns the decode engine that has the prompt cached, if it has room.
func (t *task) chooseCached(need int) (selector.Choice, bool) {
	if t.cachedAt == nil || t.cachedAt.Stage != figseam.EndpointStageDecode || t.avoid[t.cachedAt.ID] {
		return selector.Choice{}, false
	}
	c, ok := t.candidate(t.cachedAt.ID, need)
	return selector.Choice{Candidate: c, Reason: selector.ReasonPromptCached}, ok
}

// noteUnasked writes the line of an engine that did not say what it has cached.
func (r *Relayer) noteUnasked(e figseam.ListedEndpoint, err error) {
	r.Log.Debug().Err(err).Str("endpoint", e.ID).Msg("endpoint does not say what it has cached")
}

// askCached asks an engine which parts of prompts it has cached.
func (r *Relayer) askCached(ctx context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
	status, body, err := r.ask(ctx, e, http.MethodGet, r.Codec.CachedPartsPath(), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the engine answered %d", status)
	}
	return r.Codec.DecodeCachedParts(body)
}
