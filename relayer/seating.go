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
	// longestWaitMillis is how long after its arrival a request may start: its
	// caller gives up when the first event does not come.
	longestWaitMillis = 2500
	// returnSlackMillis is how much earlier than there is room a refused caller may
	// come back: others give up meanwhile.
	returnSlackMillis = 300
	// hintFactor times the caller's hint is what is expected to be generated: the
	// hint is right at the median only.
	hintFactor = 1.3
	// claimMillis is how often a claimed engine is asked for room.
	claimMillis = 25
	// holdCallMillis bounds the call that sets memory aside.
	holdCallMillis = 100
	// expectedShare of the most that is generated is what is expected of it.
	expectedShare = 0.6
)

// seat is a promised place on a decode engine.
type seat struct {
	choice selector.Choice
	work   *selector.Work
	// hold names the memory that the engine set aside; empty for none.
	hold string
	// taken is when the memory was promised.
	taken time.Time
}

// leave gives the seat back unused.
func (t *task) leave(s *seat) {
	s.work.End(selector.Neutral)
	if s.hold != "" {
		t.tell(s.choice.Candidate.Endpoint, t.Wire.DropHoldPath(s.hold))
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
		if code != explainer.EndpointRefused {
			t.note(e, "hold", s.choice, code, held)
		}
		s.work.End(verdictOfHold(code))
		if code == explainer.CallerGone || code == explainer.DeadlinePassed {
			return nil, code
		}
		if code != explainer.EndpointRefused {
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
			t.Board.Full(e)
			continue
		}
		if code := turn.pause(ctx); code != "" {
			t.noteRetry(turn)
			return nil, code
		}
	}
}

// noteRetry notes when a refused caller may come back.
func (t *task) noteRetry(u *turn) {
	load, _ := t.load(u.queue)
	wait := queuer.ExpectedWaitMillis(load, u.need, time.Now(), u.waiting.StartBy)
	t.retryMillis = max(0, wait-returnSlackMillis)
}

// verdictOfHold says what a call to set memory aside tells of the engine: one that
// has no room is well, and one that does not answer so short a call is out of reach.
func verdictOfHold(code figseam.Code) selector.Verdict {
	switch code {
	case explainer.EndpointRefused:
		return selector.Neutral
	case explainer.EndpointSilent:
		return selector.Unreachable
	}
	return verdictOf(code)
}

// turn is a request's wait for a place.
type turn struct {
	*task
	queue   *queuer.Queue
	waiting queuer.Waiting
	need    int
	until   figseam.Deadline
	// claims tells that the request holds its queue's claim.
	claims bool
	// failures counts the engines that could not be asked.
	failures int
}

// newTurn refuses at once what would get room too late for its caller.
func (t *task) newTurn(now time.Time) (*turn, figseam.Code) {
	u := &turn{task: t, queue: t.rooms.queue(t.service), need: t.expectedTokens()}
	load, engines := t.load(u.queue)
	if engines == 0 {
		return nil, explainer.NoEndpoint
	}
	// A caller that has a part of its stream counts the gap, not the whole.
	from := t.began
	if t.wroteHead {
		from = now
	}
	startBy := from.Add(time.Duration(float64(t.route.TargetMillis)-t.startMillis()) * time.Millisecond)
	wait := queuer.ExpectedWaitMillis(load, u.need, now, startBy)
	if float64(now.Sub(from).Milliseconds())+wait > longestWaitMillis {
		t.retryMillis = max(0, wait-returnSlackMillis)
		return nil, explainer.NoRoom
	}
	u.waiting = queuer.Waiting{Priority: t.route.Priority, StartBy: startBy, Arrived: t.began, Tokens: u.need}
	u.until = figseam.DeadlineAt(from.Add(longestWaitMillis * time.Millisecond)).WithEarlier(t.request.Deadline)
	return u, ""
}

// wait blocks until an engine seems to have room, or is claimed.
func (u *turn) wait(ctx context.Context) (*seat, figseam.Code) {
	var taken *seat
	take := func() bool {
		taken = u.take()
		return taken != nil
	}
	if u.claims && !u.givesClaimUp() {
		if take() {
			return taken, ""
		}
		return nil, explainer.NoEndpoint
	}
	u.unclaim()
	if u.queue.Wait(ctx, u.waiting, u.until, take) {
		return taken, ""
	}
	if code := codeOfEnd(ctx); code != "" {
		return nil, code
	}
	return nil, explainer.NoRoom
}

// yields reports whether the request, late already, leaves the room to those of
// other instances that can still be in time.
func (u *turn) yields() bool {
	return u.waiting.Late(time.Now()) && u.others.of(u.service).TimelyTokens > 0
}

// givesClaimUp reports whether the request, late already, leaves its claim to those
// that can still be in time, here or on other instances.
func (u *turn) givesClaimUp() bool {
	if !u.waiting.Late(time.Now()) {
		return false
	}
	_, timely := u.queue.Tokens()
	return timely > 0 || u.yields()
}

// take places the request where there is room, or claims a place.
func (u *turn) take() *seat {
	if u.yields() {
		return nil
	}
	choice, ok := u.chooseKept(u.need)
	if !ok {
		choice, ok = u.choose(figseam.StageForDecode, u.DataCentre, u.need)
	}
	if !ok {
		if !u.claims && !u.queue.Claim(&u.waiting) {
			return nil
		}
		u.claims = true
		choice, ok = u.choose(figseam.StageForDecode, u.DataCentre, 0)
		if !ok {
			return nil
		}
	}
	return &seat{choice: choice, work: u.Board.Begin(choice.Candidate.Endpoint, 0, u.need)}
}

func (u *turn) unclaim() {
	if u.claims {
		u.claims = false
		u.queue.Unclaim(&u.waiting)
	}
}

// pause waits until a claimed engine may have room.
func (u *turn) pause(ctx context.Context) figseam.Code {
	if u.until.Passed() {
		return explainer.NoRoom
	}
	timer := time.NewTimer(claimMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return codeOfEnd(ctx)
	case <-timer.C:
		return ""
	}
}

// hold has the engine of a seat set the memory aside.
func (t *task) hold(ctx context.Context, s *seat) figseam.Code {
	traits := t.index.Load().Table().Services[t.service].Engine
	if traits == nil || traits.HoldMillis <= 0 {
		return ""
	}
	ctx, cancel := context.WithTimeoutCause(ctx, holdCallMillis*time.Millisecond, errSilent)
	defer cancel()
	target, body := t.Wire.EncodeHold(t.expectedTokens(), traits.HoldMillis)
	status, answer, err := t.ask(ctx, s.choice.Candidate.Endpoint, http.MethodPost, target, body)
	switch {
	case err != nil:
		return codeOf(ctx, err)
	case status == http.StatusServiceUnavailable:
		return explainer.EndpointRefused
	case status != http.StatusOK:
		// An engine that sets nothing aside still takes the request.
		return ""
	}
	s.hold, err = t.Wire.DecodeHold(answer)
	if err != nil {
		return explainer.AnswerSpoiled
	}
	return ""
}

// startMillis returns what is expected to pass until the first event once there is
// room.
func (t *task) startMillis() float64 {
	fixed, reading := t.pace.Millis(t.request.Prompt.InputTokens)
	// Prompts that the least busy prefill engine has before it are read first.
	queued := 0.0
	if c, ok := t.choose(figseam.StageForPrefill, t.DataCentre, 0); ok {
		queued = c.Candidate.WorkMillis
	}
	return startMillis + startMarginMillis + fixed + reading + queued
}

// expectedTokens returns the memory that the request is expected to need.
func (t *task) expectedTokens() int {
	p := t.request.Prompt
	output := int(expectedShare * float64(p.OutputTokens))
	if p.HintTokens > 0 {
		output = min(p.OutputTokens, int(hintFactor*float64(p.HintTokens)))
	}
	return p.InputTokens + output
}

// load returns what is believed of the decode engines of the service that are not
// to be avoided, and how many there are.
func (t *task) load(queue *queuer.Queue) (queuer.Load, int) {
	memory := t.memoryTokens()
	skip := func(e figseam.ListedEndpoint) bool { return e.Stage != figseam.StageForDecode || t.avoid[e.ID] }
	waiting, timely := queue.Tokens()
	others := t.others.of(t.service)
	l := queuer.Load{
		StayMillis: t.stays.get(), WaitingTokens: waiting + others.WaitingTokens,
		TimelyTokens: min(waiting, timely) + min(others.WaitingTokens, others.TimelyTokens),
	}
	engines := 0
	for _, c := range t.Board.Candidates(t.List.Service(t.service), skip, 0, memory) {
		engines++
		if selector.Rests(c) {
			continue
		}
		l.MemoryTokens += memory
		l.UsedTokens += int(c.FillShare * float64(memory))
	}
	return l, engines
}
