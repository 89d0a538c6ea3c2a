package relayer

import (
	"context"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/selector"
)

const (
	// firstEventMillis is how long the first event of a stream that may be sent
	// elsewhere may take, and gapMillis the time between two events.
	firstEventMillis = 2000
	gapMillis        = 2000
)

// generate carries a request to model engines: a prefill, then a decode engine
// that streams the answer, again behind the last event if the route allows it.
func (t *task) generate(ctx context.Context) {
	_, reading := t.pace.Estimate(t.request.Prompt.InputTokens)
	t.rooms.count(t.service, reading, t.expectedTokens(), t.stays.get())
	t.findCached(ctx)
	if code := t.generateOn(ctx); code != "" {
		t.conclude(code)
	}
}

// generateOn tries one decode engine after another. The code is empty if the request
// has ended, and says otherwise why no further engine is tried.
func (t *task) generateOn(ctx context.Context) figseam.Code {
	code := explainer.NoAvailableEndpoint
	prefilling := t.cachedAt == nil
	for connects, began := 0, time.Now(); !connectsFail(connects, began); {
		seat, none := t.takeSeat(ctx)
		if seat == nil {
			return none
		}
		var source *prefilled
		if prefilling {
			if source, code = t.prefill(ctx, seat); t.endsAfterPrefill(code) {
				t.leave(seat)
				return code
			}
		}
		if t.sends > 0 && !t.mayRepeat() {
			t.leave(seat)
			t.drop(source)
			return explainer.RetriesExhausted
		}
		code = t.decode(ctx, seat, source)
		if code == explainer.ConnectionLost && t.mayResume() {
			code = t.resume(ctx, seat)
		}
		// A further prefill would count as an attempt, and an engine that refused may
		// lack the result of this one: the next decode engine has the prompt fetched, or
		// reads it itself.
		switch code {
		case "":
			return ""
		case explainer.ConnectFailed:
			t.drop(source)
			prefilling = prefilling && source == nil
			connects++
			continue
		case explainer.CallerDisconnected, explainer.DeadlineExceeded:
			t.drop(source)
			return code
		case explainer.EndpointRejected:
			t.drop(source)
			t.blame(seat, source)
		}
		prefilling = false
		if t.mayHaveRun && !t.route.Semantics.Retryable() {
			return code
		}
	}
	return code
}

// endsAfterPrefill reports whether a request ends with a prefill that failed. After any
// other failure the decode engine reads the prompt.
func (t *task) endsAfterPrefill(code figseam.Code) bool {
	switch code {
	case explainer.CallerDisconnected, explainer.DeadlineExceeded:
		return true
	case explainer.EndpointRejected:
		return t.sends >= t.route.MaxAttempts
	}
	return false
}

// blame finds who caused the refusal of a decode engine: if it had set memory
// aside, then the result of the prefill was gone.
func (t *task) blame(s *seat, source *prefilled) {
	if s.hold == "" || source == nil {
		return
	}
	t.Tracker.RecordFailure(source.engine)
	delete(t.avoid, s.choice.Candidate.Endpoint.ID)
}

// decode sends the request to the decode engine of its seat and passes the stream
// on. The code is empty if the request has ended.
func (t *task) decode(ctx context.Context, seat *seat, source *prefilled) figseam.Code {
	e := seat.choice.Candidate.Endpoint
	s := &stream{task: t, endpoint: e, work: seat.work, patienceMillis: firstEventMillis}
	call := figseam.EndpointCall{PrefillSource: source.source(), Reservation: seat.hold}
	if source == nil {
		call.CacheSource = t.fetchFrom(e)
	}
	if source == nil && t.cachedAt == nil {
		_, reading := t.pace.Estimate(t.request.Prompt.InputTokens)
		s.reading = t.Tracker.StartRequest(e, selector.DecodePrefillMillis(reading), 0)
		defer s.hasRead()
	}
	code := t.stream(ctx, s, seat, call)
	if code != "" {
		t.avoid[e.ID] = true
	}
	if code != explainer.ConnectFailed {
		t.sends++
	}
	return code
}

// stream makes a call to the engine of a seat and passes the answer on. The code is
// empty if the request has ended.
func (t *task) stream(ctx context.Context, s *stream, seat *seat, call figseam.EndpointCall) figseam.Code {
	began := time.Now()
	call.Request, call.Endpoint, call.Stage, call.Deadline = t.request, s.endpoint, figseam.EndpointStageDecode, t.request.Deadline
	code := s.run(ctx, call)
	t.note(s.endpoint, "decode", seat.choice, code, began)
	if code == "" {
		t.stays.note(time.Since(seat.taken))
		t.logEnd(levelOf(s.status), s.code, s.status)
	}
	return code
}

func (t *task) memoryTokens() int {
	s := t.index.Load().Table().Services[t.service]
	if s.Engine == nil {
		return 0
	}
	return s.Engine.MemoryTokens
}

// streamPlainly passes the stream of a service without stages on.
func (t *task) streamPlainly(ctx context.Context) {
	choice, ok := t.choose(figseam.EndpointStageNone, t.DataCentre, 0)
	if !ok {
		t.fail(explainer.NoAvailableEndpoint)
		return
	}
	e := choice.Candidate.Endpoint
	began := time.Now()
	s := &stream{task: t, endpoint: e, work: t.Tracker.StartRequest(e, callWorkMillis, 0), patienceMillis: firstEventMillis}
	code := s.run(ctx, figseam.EndpointCall{Request: t.request, Endpoint: e, Deadline: t.request.Deadline})
	t.note(e, "stream", choice, code, began)
	if code != "" {
		t.conclude(code)
		return
	}
	t.logEnd(levelOf(s.status), s.code, s.status)
}

// watch ends a sending that may be repeated elsewhere when nothing comes for too
// long. The returned function starts the time anew.
func (s *stream) watch(cancel context.CancelCauseFunc) (again func(), stop func()) {
	if !s.route.Semantics.Retryable() || s.sends+1 >= s.route.MaxAttempts || s.Budget.Remaining(s.service) < 1 {
		return func() {}, func() {}
	}
	timer := time.AfterFunc(time.Duration(s.patienceMillis)*time.Millisecond, func() { cancel(errSilent) })
	return func() { timer.Reset(gapMillis * time.Millisecond) }, func() { timer.Stop() }
}

// noteLoad notes what a decode engine said of its load.
func (s *stream) noteLoad(head figseam.ResponseHead) {
	if head.Load != nil {
		s.Tracker.RecordLoad(s.endpoint, *head.Load, 0)
	}
}
