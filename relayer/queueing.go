package relayer

import (
	"context"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/queuer"
)

const (
	// minStartDelayMillis and startDelayShare, a share of the time for which the route's callers
	// wait for an event, determine the longest delay from a request's arrival to its start:
	// callers give up if the first event comes later.
	minStartDelayMillis = 2500
	startDelayShare     = 0.69
	// retryAdvanceMillis is subtracted from the expected wait in the Retry-After of a
	// refusal, because other callers may give up meanwhile.
	retryAdvanceMillis = 300
	// reserveRetryMillis is the delay between two reservation calls to an engine on
	// which a request has an advance reservation.
	reserveRetryMillis = 25
)

// queuedRequest is a request in the queue for the decode engines of its service.
type queuedRequest struct {
	*task
	queue  *queuer.Queue
	waiter queuer.Waiter
	tokens int
	// startLimit is the time after which the request is refused.
	startLimit figseam.Deadline
	// hasAdvanceReservation is set while the request has one of the queue's advance
	// reservations.
	hasAdvanceReservation bool
	// reserveFailures counts the reservation calls that failed other than by a refusal.
	reserveFailures int
}

// newQueuedRequest prepares a request for the queue. It returns a code instead if the
// service has no decode engine, or if the expected start is later than
// maxStartDelayMillis allows. If all engines are at their limits, it waits for one of them.
func (t *task) newQueuedRequest(now time.Time) (*queuedRequest, figseam.Code) {
	u := &queuedRequest{task: t, queue: t.queues.forService(t.service), tokens: t.expectedTokens()}
	// Once a stream has begun, the delay counts from its interruption.
	waitingSince := t.began
	if t.wroteHeader {
		waitingSince = now
	}
	startBy := waitingSince.Add(time.Duration(float64(t.route.LatencyTargetMillis)-t.expectedFirstEventMillis()) * time.Millisecond)
	wait, code := u.expectedWait(now, startBy)
	if code == explainer.NoAvailableEndpoint {
		return nil, code
	}
	maxDelay := t.maxStartDelayMillis()
	if float64(now.Sub(waitingSince).Milliseconds())+wait > maxDelay {
		t.retryAfterMillis = retryAfterMillis(wait, code)
		return nil, code
	}
	u.waiter = queuer.Waiter{
		Rank:      t.index.Load().Rank(t.service, t.accountPriority(), t.route.Priority),
		UsageStep: t.Quotas.UsageStep(t.account), StartDeadline: startBy, ArrivedAt: t.began, Tokens: u.tokens,
	}
	u.startLimit = figseam.DeadlineAt(waitingSince.Add(time.Duration(maxDelay) * time.Millisecond)).Min(t.request.Deadline)
	return u, ""
}

// maxStartDelayMillis returns the longest delay from the request's arrival to its start.
func (t *task) maxStartDelayMillis() float64 {
	return max(minStartDelayMillis, startDelayShare*float64(t.route.PatienceMillis))
}

// wait blocks until the request is placed on a decode engine that appears to have
// enough free memory, or on any by an advance reservation. Without a placement it
// returns the reason.
func (u *queuedRequest) wait(ctx context.Context) (*placement, figseam.Code) {
	var placed *placement
	place := func() bool {
		placed = u.tryPlace()
		return placed != nil
	}
	if u.hasAdvanceReservation && !u.yieldsAdvanceReservation() {
		if place() {
			return placed, ""
		}
		return nil, explainer.NoAvailableEndpoint
	}
	u.releaseAdvanceReservation()
	if u.queue.Wait(ctx, u.waiter, u.startLimit, place) {
		return placed, ""
	}
	if code := contextCode(ctx); code != "" {
		return nil, code
	}
	return nil, explainer.NoDecodeCapacity
}

// yieldsToRemote reports whether the request leaves free memory to other instances: it
// is late already, and they have requests that are no less urgent and can still meet their
// latency target.
func (u *queuedRequest) yieldsToRemote() bool {
	if !u.waiter.Late(time.Now()) {
		return false
	}
	onTime := u.remoteDemand.forService(u.service).OnTimeTokens
	return onTime-u.lessUrgentOnTime() > 0
}

// lessUrgentOnTime returns the memory for which requests wait at other instances that are less
// urgent than this one and can still meet their latency target.
func (u *queuedRequest) lessUrgentOnTime() int {
	count := u.index.Load().RankCount(u.service)
	return u.remoteDemand.onTimeOfRanks(u.service, u.waiter.Rank+1, count)
}

// yieldsAdvanceReservation reports whether the request gives up its advance
// reservation: it is late already, and requests of this or another instance can still
// meet their latency target.
func (u *queuedRequest) yieldsAdvanceReservation() bool {
	if !u.waiter.Late(time.Now()) {
		return false
	}
	_, onTime := u.queue.QueuedTokens()
	return onTime > 0 || u.yieldsToRemote()
}

// tryPlace places the request on an engine with enough free memory, or on any engine by
// an advance reservation. It returns nil if neither is possible.
func (u *queuedRequest) tryPlace() *placement {
	if u.yieldsToRemote() {
		return nil
	}
	choice, ok := u.chooseCacheEngine(u.tokens)
	if !ok {
		choice, ok = u.choose(figseam.EndpointStageDecode, u.DataCentre, u.tokens)
	}
	if !ok {
		if !u.hasAdvanceReservation && !u.queue.TryAcquireAdvanceReservation(&u.waiter) {
			return nil
		}
		u.hasAdvanceReservation = true
		choice, ok = u.choose(figseam.EndpointStageDecode, u.DataCentre, 0)
		if !ok {
			return nil
		}
	}
	return &placement{choice: choice, inFlight: u.Tracker.StartRequest(choice.Candidate.Endpoint, 0, u.tokens)}
}

func (u *queuedRequest) releaseAdvanceReservation() {
	if u.hasAdvanceReservation {
		u.hasAdvanceReservation = false
		u.queue.ReleaseAdvanceReservation(&u.waiter)
	}
}

// awaitReserveRetry waits until the next reservation call is due. The code is the
// reason to stop instead; empty for none.
func (u *queuedRequest) awaitReserveRetry(ctx context.Context) figseam.Code {
	if u.startLimit.Passed() {
		return explainer.NoDecodeCapacity
	}
	timer := time.NewTimer(reserveRetryMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return contextCode(ctx)
	case <-timer.C:
		return ""
	}
}

// expectedWait returns the expected time in milliseconds until the request is placed, and the
// reason of a refusal if that is too long. If all engines are at their limits, requests are
// placed as the limits allow.
func (u *queuedRequest) expectedWait(now, startBy time.Time) (millis float64, code figseam.Code) {
	load, engines := u.decodeLoad(u.queue)
	if engines > 0 {
		return queuer.ExpectedWaitMillis(load, u.tokens, now, startBy), explainer.NoDecodeCapacity
	}
	code = u.noEndpointCode(figseam.EndpointStageDecode)
	switch code {
	case explainer.EndpointPaused:
		return u.retryAfterMillis, code
	case explainer.EndpointLimited:
	default:
		return 0, code
	}
	return u.retryAfterMillis * float64(1+load.QueuedTokens/max(1, u.tokens)), code
}

// setRetryAfter sets retryAfterMillis from the current load.
func (t *task) setRetryAfter(u *queuedRequest) {
	wait, code := u.expectedWait(time.Now(), u.waiter.StartDeadline)
	t.retryAfterMillis = retryAfterMillis(wait, code)
}

// retryAfterMillis returns the Retry-After for an expected wait. The end of a pause does not
// come sooner if other callers give up.
func retryAfterMillis(waitMillis float64, code figseam.Code) float64 {
	if code == explainer.EndpointPaused {
		return waitMillis
	}
	return max(0, waitMillis-retryAdvanceMillis)
}
