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
	// firstEventMillis is how long the first event of a stream that may be sent
	// elsewhere may take, and gapMillis the time between two events.
	firstEventMillis = 2000
	gapMillis        = 2000
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

// generate carries a request to model engines: a prefill, then a decode engine
// that streams the answer, again behind the last event if the route allows it.
func (t *task) generate(ctx context.Context) {
	code := explainer.NoEndpoint
	_, reading := t.pace.Millis(t.request.Prompt.InputTokens)
	t.rooms.count(t.service, reading, t.expectedTokens(), t.stays.get())
	t.findKept(ctx)
	prefilling := t.readAt == nil
	for connects, began := 0, time.Now(); !connectsFail(connects, began); {
		var seat *seat
		seat, code = t.takeSeat(ctx)
		if seat == nil {
			break
		}
		var source *prefilled
		if prefilling {
			source, code = t.prefill(ctx, seat)
			if code == explainer.CallerGone || code == explainer.DeadlinePassed ||
				(code == explainer.EndpointRefused && t.sends >= t.route.MaxAttempts) {
				t.leave(seat)
				break
			}
		}
		if t.sends > 0 && !t.mayRepeat() {
			t.leave(seat)
			t.drop(source)
			code = explainer.RetriesSpent
			break
		}
		code = t.decode(ctx, seat, source)
		if code == explainer.ConnectionBroken && t.mayResume() {
			code = t.resume(ctx, seat)
		}
		if code == "" {
			return
		}
		if code == explainer.NotConnected {
			t.drop(source)
			prefilling = prefilling && source == nil
			connects++
			continue
		}
		if code == explainer.CallerGone || code == explainer.DeadlinePassed {
			t.drop(source)
			break
		}
		// A further prefill would count as an attempt, and an engine that refused may
		// lack the result of this one: the next decode engine reads the prompt itself.
		prefilling = false
		if code == explainer.EndpointRefused {
			t.drop(source)
			t.blame(seat, source)
		}
		if t.mayHaveRun && !t.route.Semantics.Repeatable() {
			break
		}
	}
	switch code {
	case explainer.CallerGone:
		t.gone()
	case explainer.DeadlinePassed:
		t.expire()
	default:
		t.fail(code)
	}
}

// blame finds who caused the refusal of a decode engine: if it had set memory
// aside, then the result of the prefill was gone.
func (t *task) blame(s *seat, source *prefilled) {
	if s.hold == "" || source == nil {
		return
	}
	t.Board.Blame(source.engine)
	delete(t.avoid, s.choice.Candidate.Endpoint.ID)
}

// drop frees the result of a prefill that is not fetched.
func (t *task) drop(p *prefilled) {
	if p != nil && !p.until.Passed() {
		t.tell(p.engine, t.Wire.ReleasePath(p.handle))
	}
}

// prefill has the prompt read. Without a result the decode engine reads it: after
// a call that broke, since only calls that were refused are known to be over.
func (t *task) prefill(ctx context.Context, seat *seat) (*prefilled, figseam.Code) {
	for {
		choice, ok := t.choosePrefill(seat.choice.Candidate.Endpoint.DataCentre)
		if !ok {
			return nil, explainer.NoEndpoint
		}
		if t.ownPrefill(seat, choice) {
			return nil, ""
		}
		if t.sends > 0 && !t.mayRepeat() {
			return nil, explainer.RetriesSpent
		}
		began := time.Now()
		p, code := t.prefillOnce(ctx, choice)
		t.note(choice.Candidate.Endpoint, "prefill", choice, code, began)
		if code == "" {
			t.readAt = &p.engine
			return p, ""
		}
		t.avoid[choice.Candidate.Endpoint.ID] = true
		if code == explainer.NotConnected {
			continue
		}
		if code != explainer.EndpointRefused {
			return nil, code
		}
		t.sends++
		t.Budget.Spend(t.service)
		if t.sends >= t.route.MaxAttempts {
			return nil, code
		}
	}
}

// choosePrefill returns a good engine to read the prompt.
func (t *task) choosePrefill(home figseam.DataCentre) (selector.Choice, bool) {
	skip := func(e figseam.ListedEndpoint) bool { return e.Stage != figseam.StageForPrefill || t.avoid[e.ID] }
	candidates := t.Board.Candidates(t.List.Service(t.service), skip, 0, t.memoryTokens())
	random := randomSource()
	return selector.Choose(selector.Sample(candidates, t.otherPrefills(), random), home, random)
}

// otherPrefills returns how many prefills other instances begin before this one hears
// of them.
func (t *task) otherPrefills() float64 {
	_, reading := t.pace.Millis(t.request.Prompt.InputTokens)
	if reading <= 0 {
		return 0
	}
	return float64(t.others.of(t.service).PrefillMillis) / reading * hearsayMillis / 1000
}

// ownPrefill has the decode engine of the seat read the prompt if it is done sooner
// than the best prefill engine.
func (t *task) ownPrefill(s *seat, c selector.Choice) bool {
	_, reading := t.pace.Millis(t.request.Prompt.InputTokens)
	if !selector.ReadsItself(c.Candidate.WorkMillis, reading, s.choice.Candidate.WorkMillis) {
		return false
	}
	c.Reason = selector.ReasonOwnPrefill
	t.note(s.choice.Candidate.Endpoint, "prefill", c, "", time.Now())
	return true
}

func (t *task) prefillOnce(ctx context.Context, choice selector.Choice) (p *prefilled, code figseam.Code) {
	e := choice.Candidate.Endpoint
	fixed, reading := t.pace.Millis(t.request.Prompt.InputTokens)
	began := time.Now()
	work := t.Board.Begin(e, reading, 0)
	verdict := selector.Bad
	defer func() { work.End(verdict) }()
	patience := prefillPatienceMillis + prefillPatienceFactor*(fixed+reading+choice.Candidate.WorkMillis)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(time.Duration(patience*float64(time.Millisecond)), func() { cancel(errSilent) })
	defer timer.Stop()
	response, head, code := t.send(ctx, figseam.EndpointCall{
		Request: t.request, Endpoint: e, Stage: figseam.StageForPrefill, Deadline: t.request.Deadline,
	})
	if head.Load != nil {
		t.Board.Load(e, *head.Load, reading)
	}
	if response != nil {
		defer response.Close()
		work.Answered()
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
		verdict = selector.Bad
		return nil, explainer.PrefillFailed
	}
	handle, err := t.Wire.DecodeHandle(body)
	if err != nil {
		verdict = selector.Bad
		return nil, explainer.AnswerSpoiled
	}
	if choice.Millis < idleMillis {
		t.pace.Learn(t.request.Prompt.InputTokens, float64(time.Since(began).Milliseconds()))
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
	return s.Engine.HandleMillis
}

// decode sends the request to the decode engine of its seat and passes the stream
// on. The code is empty if the request has ended.
func (t *task) decode(ctx context.Context, seat *seat, source *prefilled) figseam.Code {
	e := seat.choice.Candidate.Endpoint
	s := &stream{task: t, endpoint: e, work: seat.work, patienceMillis: firstEventMillis}
	call := figseam.EndpointCall{Source: source.source(), Hold: seat.hold}
	if source == nil {
		call.Fetch = t.fetchFrom(e)
	}
	if source == nil && t.readAt == nil {
		_, reading := t.pace.Millis(t.request.Prompt.InputTokens)
		s.reading = t.Board.Begin(e, selector.OwnReadingMillis(reading), 0)
		defer s.hasRead()
	}
	code := t.stream(ctx, s, seat, call)
	if code != "" {
		t.avoid[e.ID] = true
	}
	if code != explainer.NotConnected {
		t.sends++
	}
	return code
}

// stream makes a call to the engine of a seat and passes the answer on. The code is
// empty if the request has ended.
func (t *task) stream(ctx context.Context, s *stream, seat *seat, call figseam.EndpointCall) figseam.Code {
	began := time.Now()
	call.Request, call.Endpoint, call.Stage, call.Deadline = t.request, s.endpoint, figseam.StageForDecode, t.request.Deadline
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
	choice, ok := t.choose(figseam.StageNone, t.DataCentre, 0)
	if !ok {
		t.fail(explainer.NoEndpoint)
		return
	}
	e := choice.Candidate.Endpoint
	began := time.Now()
	s := &stream{task: t, endpoint: e, work: t.Board.Begin(e, callWorkMillis, 0), patienceMillis: firstEventMillis}
	code := s.run(ctx, figseam.EndpointCall{Request: t.request, Endpoint: e, Deadline: t.request.Deadline})
	t.note(e, "stream", choice, code, began)
	switch code {
	case "":
		t.logEnd(levelOf(s.status), s.code, s.status)
	case explainer.CallerGone:
		t.gone()
	case explainer.DeadlinePassed:
		t.expire()
	default:
		t.fail(code)
	}
}

// watch ends a sending that may be repeated elsewhere when nothing comes for too
// long. The returned function starts the time anew.
func (s *stream) watch(cancel context.CancelCauseFunc) (again func(), stop func()) {
	if !s.route.Semantics.Repeatable() || s.sends+1 >= s.route.MaxAttempts || s.Budget.Left(s.service) < 1 {
		return func() {}, func() {}
	}
	timer := time.AfterFunc(time.Duration(s.patienceMillis)*time.Millisecond, func() { cancel(errSilent) })
	return func() { timer.Reset(gapMillis * time.Millisecond) }, func() { timer.Stop() }
}

// noteLoad notes what a decode engine said of its load.
func (s *stream) noteLoad(head figseam.AnswerHead) {
	if head.Load != nil {
		s.Board.Load(s.endpoint, *head.Load, 0)
	}
}
