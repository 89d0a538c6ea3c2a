package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/queuer"
	"github.com/figseam/figseam/selector"
)

const (
	// startMillis is what passes until the first event beside the prefill.
	startMillis = 70
	// startMarginMillis is how much sooner a request must start for its target to be
	// safe: how long prefills and first tokens take varies.
	startMarginMillis = 80
	// hintFactor times the caller's hint is what is expected to be generated: the
	// hint is right at the median only.
	hintFactor = 1.3
	// holdCallMillis bounds the call that sets memory aside.
	holdCallMillis = 100
	// expectedShare of the most that is generated is what is expected of it.
	expectedShare = 0.6
)

// seat is a promised place on a decode engine.
type seat struct {
	choice selector.Choice
	work   *selector.InFlightRequest
	// hold names the memory that the engine set aside; empty for none.
	hold string
	// taken is when the memory was promised.
	taken time.Time
}

// leave gives the seat back unused.
func (t *task) leave(s *seat) {
	s.work.Finish(selector.ResultIgnored)
	if s.hold != "" {
		t.tell(s.choice.Candidate.Endpoint, t.Codec.ReservationReleasePath(s.hold))
	}
}

// takeSeat waits for a place on a decode engine and has the engine set the memory
// aside, since what other instances placed there may not be known yet. Without a
// place the code says why.
//
// The request that is first in the queue claims the emptiest engine while none has
// room for it. The claim counts as use of the engine, also for other instances, so
// that smaller requests do not take what comes free there piece by piece.
func (t *task) takeSeat(ctx context.Context) (*seat, figseam.Code) {
	began := time.Now()
	defer func() { t.waitedMillis += time.Since(began).Milliseconds() }()
	turn, code := t.newTurn(began)
	if code != "" {
		return nil, code
	}
	defer turn.unclaim()
	for {
		s, code := turn.wait(ctx)
		if s == nil {
			t.noteRetry(turn)
			return nil, code
		}
		held := time.Now()
		code = t.hold(ctx, s)
		if code == "" {
			s.taken = time.Now()
			return s, ""
		}
		e := s.choice.Candidate.Endpoint
		if code != explainer.EndpointRejected {
			t.note(e, "hold", s.choice, code, held)
		}
		s.work.Finish(verdictOfHold(code))
		if code == explainer.CallerDisconnected || code == explainer.DeadlineExceeded {
			return nil, code
		}
		if code != explainer.EndpointRejected {
			t.avoid[e.ID] = true
			if _, left := t.load(turn.queue); left == 0 {
				return nil, code
			}
			if turn.failures++; connectsFail(turn.failures, began) {
				return nil, code
			}
			continue
		}
		t.refusals++
		if !turn.claims {
			t.Tracker.MarkFull(e)
			continue
		}
		if code := turn.pause(ctx); code != "" {
			t.noteRetry(turn)
			return nil, code
		}
	}
}

// verdictOfHold says what a call to set memory aside tells of the engine: one that
// has no room is well, and one that does not answer so short a call is out of reach.
func verdictOfHold(code figseam.Code) selector.Result {
	switch code {
	case explainer.EndpointRejected:
		return selector.ResultIgnored
	case explainer.EndpointTimedOut:
		return selector.ResultUnreachable
	}
	return verdictOf(code)
}

// hold has the engine of a seat set the memory aside.
func (t *task) hold(ctx context.Context, s *seat) figseam.Code {
	traits := t.index.Load().Table().Services[t.service].Engine
	if traits == nil || traits.MaxReservationMillis <= 0 {
		return ""
	}
	ctx, cancel := context.WithTimeoutCause(ctx, holdCallMillis*time.Millisecond, errSilent)
	defer cancel()
	target, body := t.Codec.EncodeReservation(t.expectedTokens(), traits.MaxReservationMillis)
	status, answer, err := t.ask(ctx, s.choice.Candidate.Endpoint, http.MethodPost, target, body)
	switch {
	case err != nil:
		return codeOf(ctx, err)
	case status == http.StatusServiceUnavailable:
		return explainer.EndpointRejected
	case status != http.StatusOK:
		// An engine that sets nothing aside still takes the request.
		return ""
	}
	s.hold, err = t.Codec.DecodeReservationID(answer)
	if err != nil {
		return explainer.InvalidResponse
	}
	return ""
}

// startMillis returns what is expected to pass until the first event once there is
// room.
func (t *task) startMillis() float64 {
	fixed, reading := t.pace.Estimate(t.request.Prompt.InputTokens)
	// Prompts that the least busy prefill engine has before it are read first.
	queued := 0.0
	if c, ok := t.choose(figseam.EndpointStagePrefill, t.DataCentre, 0); ok {
		queued = c.Candidate.WorkMillis
	}
	return startMillis + startMarginMillis + fixed + reading + queued
}

// expectedTokens returns the memory that the request is expected to need.
func (t *task) expectedTokens() int {
	p := t.request.Prompt
	output := int(expectedShare * float64(p.MaxOutputTokens))
	if p.ExpectedOutputTokens > 0 {
		output = min(p.MaxOutputTokens, int(hintFactor*float64(p.ExpectedOutputTokens)))
	}
	return p.InputTokens + output
}

// load returns what is believed of the decode engines of the service that are not
// to be avoided, and how many there are.
func (t *task) load(queue *queuer.Queue) (queuer.Load, int) {
	memory := t.memoryTokens()
	waiting, timely := queue.QueuedTokens()
	others := t.others.of(t.service)
	l := queuer.Load{
		MeanResidenceMillis: t.stays.get(), QueuedTokens: waiting + others.QueuedTokens,
		OnTimeTokens: min(waiting, timely) + min(others.QueuedTokens, others.OnTimeTokens),
	}
	engines := 0
	for _, c := range t.candidates(figseam.EndpointStageDecode, 0) {
		engines++
		if selector.InBackoff(c) {
			continue
		}
		l.MemoryTokens += memory
		l.UsedTokens += int(c.MemoryUtilization * float64(memory))
	}
	return l, engines
}
