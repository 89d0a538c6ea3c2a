package relayer

// Prompts that engines have read are kept there until the memory is needed. What is
// sent again goes to such an engine, or has the prompt fetched from there: nothing is
// read twice.

import (
	"context"
	"fmt"
	"net/http"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// resumeMillis is how long the first event may take from an engine that still keeps the
// prompt.
const resumeMillis = 400

// mayResume reports whether a broken stream may go on at the engine that it came
// from, and takes its part of the budget.
func (t *task) mayResume() bool {
	return t.route.Semantics.Repeatable() && t.Budget.Take(t.service)
}

// resume goes on at the engine whose stream broke: one that is well still keeps the
// prompt. No memory is set aside, as that would drive out what the engine keeps.
func (t *task) resume(ctx context.Context, broken *seat) figseam.Code {
	again := *broken
	e := again.choice.Candidate.Endpoint
	again.choice.Reason = selector.ReasonKept
	s := &stream{task: t, endpoint: e, work: t.Board.Begin(e, 0, t.expectedTokens()), patienceMillis: resumeMillis}
	return t.stream(ctx, s, &again, figseam.EndpointCall{Fetch: t.fetchFrom(e)})
}

// fetchFrom returns the address of another engine that has read the prompt, while it
// seems to be well; empty for none.
func (t *task) fetchFrom(own figseam.ListedEndpoint) string {
	if t.readAt == nil || t.readAt.ID == own.ID {
		return ""
	}
	c, ok := t.candidate(t.readAt.ID, 0)
	if !ok || c.Doubtful {
		return ""
	}
	return c.Endpoint.Address
}

// promptAt returns the ID of the engine that has read the prompt; empty for none.
func (t *task) promptAt() string {
	if t.readAt == nil {
		return ""
	}
	return t.readAt.ID
}

// candidate returns what is believed of an engine that has room for so many tokens. It
// reports false for one that is unknown, full or rests.
func (t *task) candidate(id string, need int) (selector.Candidate, bool) {
	others := func(e figseam.ListedEndpoint) bool { return e.ID != id }
	for _, c := range t.Board.Candidates(t.List.Service(t.service), others, need, t.memoryTokens()) {
		return c, !c.Full && !selector.Rests(c)
	}
	return selector.Candidate{}, false
}

// findKept looks for an engine that still keeps the prompt of a caller that comes back
// for the rest of a stream, at best a decode engine.
func (t *task) findKept(ctx context.Context) {
	parts := t.request.Prompt.Parts
	if t.request.LastEvent < 0 || !t.route.Semantics.Repeatable() || len(parts) == 0 {
		return
	}
	var engines []figseam.ListedEndpoint
	for _, c := range t.Board.Candidates(t.List.Service(t.service), noneSkipped, 0, 0) {
		if !selector.Rests(c) && !c.Doubtful {
			engines = append(engines, c.Endpoint)
		}
	}
	for _, e := range t.kept.Find(ctx, engines, parts[len(parts)-1].ID) {
		t.readAt = &e
		if e.Stage == figseam.StageForDecode {
			return
		}
	}
}

func noneSkipped(figseam.ListedEndpoint) bool { return false }

// chooseKept returns the decode engine that keeps the prompt, if it has room.
func (t *task) chooseKept(need int) (selector.Choice, bool) {
	if t.readAt == nil || t.readAt.Stage != figseam.StageForDecode || t.avoid[t.readAt.ID] {
		return selector.Choice{}, false
	}
	c, ok := t.candidate(t.readAt.ID, need)
	return selector.Choice{Candidate: c, Reason: selector.ReasonKept}, ok
}

// noteUnasked writes the line of an engine that did not say what it keeps.
func (r *Relayer) noteUnasked(e figseam.ListedEndpoint, err error) {
	r.Log.Debug().Err(err).Str("endpoint", e.ID).Msg("endpoint does not say what it keeps")
}

// askKept asks an engine which parts of prompts it keeps.
func (r *Relayer) askKept(ctx context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
	status, body, err := r.ask(ctx, e, http.MethodGet, r.Wire.KeptPath(), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the engine answered %d", status)
	}
	return r.Wire.DecodeKept(body)
}
