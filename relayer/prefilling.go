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
	// idleMillis is the charge below which an engine counts as idle.
	idleMillis = 15
	// prefillPatienceMillis and prefillPatienceFactor bound a prefill call: so many
	// times what it is expected to take, and the fixed part.
	prefillPatienceMillis = 500
	prefillPatienceFactor = 2
	// hearsayMillis is how long it takes until an instance hears what others began.
	hearsayMillis = 100
	// handleMarginMillis is how long before its end a prefill's result counts as
	// gone.
	handleMarginMillis = 100
)

// prefilled is the result of a prefill on the engine that has it.
type prefilled struct {
	engine figseam.ListedEndpoint
	handle string
	until  figseam.Deadline
}

func (p *prefilled) source() string {
	if p == nil {
		return ""
	}
	return p.engine.Address + "/" + p.handle
}

// drop frees the result of a prefill that is not fetched.
func (t *task) drop(p *prefilled) {
	if p != nil && !p.until.Passed() {
		t.tell(p.engine, t.Codec.HandleReleasePath(p.handle))
	}
}

// prefill has the prompt read. Without a result the decode engine reads it: after
// a call that broke, since only calls that were refused are known to be over.
func (t *task) prefill(ctx context.Context, seat *seat) (*prefilled, figseam.Code) {
	for {
		choice, ok := t.choosePrefill(seat.choice.Candidate.Endpoint.DataCentre)
		if !ok {
			return nil, explainer.NoAvailableEndpoint
		}
		if t.ownPrefill(seat, choice) {
			return nil, ""
		}
		if t.sends > 0 && !t.mayRepeat() {
			return nil, explainer.RetriesExhausted
		}
		began := time.Now()
		p, code := t.prefillOnce(ctx, choice)
		t.note(choice.Candidate.Endpoint, "prefill", choice, code, began)
		if code == "" {
			t.cachedAt = &p.engine
			return p, ""
		}
		t.avoid[choice.Candidate.Endpoint.ID] = true
		if code == explainer.ConnectFailed {
			continue
		}
		if code != explainer.EndpointRejected {
			return nil, code
		}
		t.sends++
		t.Budget.RecordRetry(t.service)
		if t.sends >= t.route.MaxAttempts {
			return nil, code
		}
	}
}

// choosePrefill returns a good engine to read the prompt.
func (t *task) choosePrefill(home figseam.DataCentre) (selector.Choice, bool) {
	random := randomSource()
	return selector.Choose(selector.Sample(t.candidates(figseam.EndpointStagePrefill, 0), t.otherPrefills(), random), home, random)
}

// otherPrefills returns how many prefills other instances begin before this one hears
// of them.
func (t *task) otherPrefills() float64 {
	_, reading := t.pace.Estimate(t.request.Prompt.InputTokens)
	if reading <= 0 {
		return 0
	}
	return float64(t.others.of(t.service).OfferedPrefillMillis) / reading * hearsayMillis / 1000
}

// ownPrefill has the decode engine of the seat read the prompt if it is done sooner
// than the best prefill engine.
func (t *task) ownPrefill(s *seat, c selector.Choice) bool {
	_, reading := t.pace.Estimate(t.request.Prompt.InputTokens)
	if !selector.ShouldPrefillOnDecode(c.Candidate.WorkMillis, reading, s.choice.Candidate.WorkMillis) {
		return false
	}
	c.Reason = selector.ReasonDecodePrefill
	t.note(s.choice.Candidate.Endpoint, "prefill", c, "", time.Now())
	return true
}

func (t *task) prefillOnce(ctx context.Context, choice selector.Choice) (p *prefilled, code figseam.Code) {
	e := choice.Candidate.Endpoint
	fixed, reading := t.pace.Estimate(t.request.Prompt.InputTokens)
	began := time.Now()
	work := t.Tracker.StartRequest(e, reading, 0)
	verdict := selector.ResultFailure
	defer func() { work.Finish(verdict) }()
	patience := prefillPatienceMillis + prefillPatienceFactor*(fixed+reading+choice.Candidate.WorkMillis)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Duration(patience*float64(time.Millisecond)), func() { cancel(errSilent) })
	defer timer.Stop()
	response, head, code := t.send(ctx, figseam.EndpointCall{
		Request: t.request, Endpoint: e, Stage: figseam.EndpointStagePrefill, Deadline: t.request.Deadline,
	})
	if head.Load != nil {
		t.Tracker.RecordLoad(e, *head.Load, reading)
	}
	if response != nil {
		defer response.Close()
		work.RecordResponse()
	}
	if code != "" {
		verdict = verdictOf(code)
		return nil, code
	}
	body, code := readWhole(ctx, response)
	verdict = verdictOf(code)
	if code != "" {
		return nil, code
	}
	if response.Status != http.StatusOK {
		verdict = selector.ResultFailure
		return nil, explainer.PrefillFailed
	}
	handle, err := t.Codec.DecodeHandle(body)
	if err != nil {
		verdict = selector.ResultFailure
		return nil, explainer.InvalidResponse
	}
	if choice.CostMillis < idleMillis {
		t.pace.Observe(t.request.Prompt.InputTokens, float64(time.Since(began).Milliseconds()))
	}
	until := figseam.DeadlineAfterMillis(max(0, t.handleMillis()-handleMarginMillis))
	return &prefilled{engine: e, handle: handle.ID, until: until}, ""
}

// handleMillis returns how long engines of the service keep a prefill's result.
func (t *task) handleMillis() int64 {
	s := t.index.Load().Table().Services[t.service]
	if s.Engine == nil {
		return 0
	}
	return s.Engine.HandleTTLMillis
}
