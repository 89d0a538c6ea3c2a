package relayer

import (
	"context"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/queuer"
)

const (
	// longestWaitMillis is how long after its arrival a request may start: its
	// caller gives up when the first event does not come.
	longestWaitMillis = 2500
	// returnSlackMillis is how much earlier than there is room a refused caller may
	// come back: others give up meanwhile.
	returnSlackMillis = 300
	// claimMillis is how often a claimed engine is asked for room.
	claimMillis = 25
)

// turn is a request's wait for a place.
type turn struct {
	*task
	queue   *queuer.Queue
	waiting queuer.Waiter
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
		return nil, explainer.NoAvailableEndpoint
	}
	// A caller that has a part of its stream counts the gap, not the whole.
	from := t.began
	if t.wroteHead {
		from = now
	}
	startBy := from.Add(time.Duration(float64(t.route.LatencyTargetMillis)-t.startMillis()) * time.Millisecond)
	wait := queuer.ExpectedWaitMillis(load, u.need, now, startBy)
	if float64(now.Sub(from).Milliseconds())+wait > longestWaitMillis {
		t.retryMillis = max(0, wait-returnSlackMillis)
		return nil, explainer.NoDecodeCapacity
	}
	u.waiting = queuer.Waiter{Priority: t.route.Priority, StartDeadline: startBy, ArrivedAt: t.began, Tokens: u.need}
	u.until = figseam.DeadlineAt(from.Add(longestWaitMillis * time.Millisecond)).Min(t.request.Deadline)
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
		return nil, explainer.NoAvailableEndpoint
	}
	u.unclaim()
	if u.queue.Wait(ctx, u.waiting, u.until, take) {
		return taken, ""
	}
	if code := codeOfEnd(ctx); code != "" {
		return nil, code
	}
	return nil, explainer.NoDecodeCapacity
}

// yields reports whether the request, late already, leaves the room to those of
// other instances that can still be in time.
func (u *turn) yields() bool {
	return u.waiting.Late(time.Now()) && u.others.of(u.service).OnTimeTokens > 0
}

// givesClaimUp reports whether the request, late already, leaves its claim to those
// that can still be in time, here or on other instances.
func (u *turn) givesClaimUp() bool {
	if !u.waiting.Late(time.Now()) {
		return false
	}
	_, timely := u.queue.QueuedTokens()
	return timely > 0 || u.yields()
}

// take places the request where there is room, or claims a place.
func (u *turn) take() *seat {
	if u.yields() {
		return nil
	}
	choice, ok := u.chooseCached(u.need)
	if !ok {
		choice, ok = u.choose(figseam.EndpointStageDecode, u.DataCentre, u.need)
	}
	if !ok {
		if !u.claims && !u.queue.AcquireAdvanceReservation(&u.waiting) {
			return nil
		}
		u.claims = true
		choice, ok = u.choose(figseam.EndpointStageDecode, u.DataCentre, 0)
		if !ok {
			return nil
		}
	}
	return &seat{choice: choice, work: u.Tracker.StartRequest(choice.Candidate.Endpoint, 0, u.need)}
}

func (u *turn) unclaim() {
	if u.claims {
		u.claims = false
		u.queue.ReleaseAdvanceReservation(&u.waiting)
	}
}

// pause waits until a claimed engine may have room.
func (u *turn) pause(ctx context.Context) figseam.Code {
	if u.until.Passed() {
		return explainer.NoDecodeCapacity
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

// noteRetry notes when a refused caller may come back.
func (t *task) noteRetry(u *turn) {
	load, _ := t.load(u.queue)
	wait := queuer.ExpectedWaitMillis(load, u.need, time.Now(), u.waiting.StartDeadline)
	t.retryMillis = max(0, wait-returnSlackMillis)
}
