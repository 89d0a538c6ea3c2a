package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/queuer"
	"github.com/figseam/figseam/selector"
)

const (
	// firstEventOverheadMillis is the time until the first event in addition to the
	// prefill.
	firstEventOverheadMillis = 70
	// firstEventMarginMillis is subtracted from a request's latest start as a safety
	// margin, because the durations of prefills and of first tokens vary.
	firstEventMarginMillis = 80
	// outputHintFactor times the caller's hint is the expected output: the hint is only
	// accurate at the median.
	outputHintFactor = 1.3
	// reserveTimeoutMillis is the timeout of a reservation call.
	reserveTimeoutMillis = 100
	// expectedOutputShare times the maximum output is the expected output of a request
	// without a hint.
	expectedOutputShare = 0.6
)

// placement is a decode engine chosen for a request, with the memory reserved there.
type placement struct {
	choice   selector.Choice
	inFlight *selector.InFlightRequest
	// reservationID identifies the engine's reservation; empty for none.
	reservationID string
	// reservedAt is the time at which the engine confirmed the reservation.
	reservedAt time.Time
}

// releasePlacement releases a placement that was not used, and its reservation.
func (t *task) releasePlacement(p *placement) {
	p.inFlight.Finish(selector.ResultIgnored)
	t.releaseReservation(p)
}

// releaseReservation releases the reservation of a placement, if there is one.
func (t *task) releaseReservation(p *placement) {
	if p.reservationID != "" {
		t.releaseAsync(p.choice.Candidate.Endpoint, t.Codec.ReservationReleasePath(p.reservationID))
	}
}

// acquirePlacement waits for free memory on a decode engine and reserves it there,
// because usage by other instances may not have been reported yet. Without a placement
// it returns the reason.
//
// If no engine has enough free memory, the first request of the queue acquires an advance
// reservation and is placed on the engine with the least cost, which is lower the more
// memory is free. The placement counts as use of the engine, also for other instances.
// Otherwise smaller requests would use up the memory piece by piece as it is freed.
func (t *task) acquirePlacement(ctx context.Context) (*placement, figseam.Code) {
	began := time.Now()
	defer func() { t.waitedMillis += time.Since(began).Milliseconds() }()
	queued, code := t.newQueuedRequest(began)
	if code != "" {
		return nil, code
	}
	defer queued.releaseAdvanceReservation()
	for {
		p, code := queued.wait(ctx)
		if p == nil {
			t.setRetryAfter(queued)
			return nil, code
		}
		reserveStart := time.Now()
		code = t.reserve(ctx, p)
		if code == "" {
			p.reservedAt = time.Now()
			return p, ""
		}
		e := p.choice.Candidate.Endpoint
		if code != explainer.EndpointRejected {
			t.recordStep(e, "hold", p.choice, code, reserveStart)
		}
		p.inFlight.Finish(reservationResult(code))
		if requestEnded(code) {
			return nil, code
		}
		if code != explainer.EndpointRejected {
			t.excluded[e.ID] = true
			if _, remaining := t.decodeLoad(queued.queue); remaining == 0 {
				return nil, code
			}
			if queued.reserveFailures++; connectRetriesExhausted(queued.reserveFailures, began) {
				return nil, code
			}
			continue
		}
		t.reservationRefusals++
		if !queued.hasAdvanceReservation {
			t.Tracker.MarkFull(e)
			continue
		}
		if code := queued.awaitReserveRetry(ctx); code != "" {
			t.setRetryAfter(queued)
			return nil, code
		}
	}
}

// reservationResult returns the result that is recorded for the engine of a reservation
// call. An engine that refuses for lack of memory is healthy; an engine that does not
// respond to such a short call in time is recorded as unreachable.
func reservationResult(code figseam.Code) selector.Result {
	switch code {
	case explainer.EndpointRejected:
		return selector.ResultIgnored
	case explainer.EndpointTimedOut:
		return selector.ResultUnreachable
	}
	return resultOf(code)
}

// reserve reserves memory on the engine of a placement. It does nothing if the
// service's engines do not support reservations. The code is empty if the request may
// be sent.
func (t *task) reserve(ctx context.Context, p *placement) figseam.Code {
	spec := t.index.Load().Table().Services[t.service].Engine
	if spec == nil || spec.MaxReservationMillis <= 0 {
		return ""
	}
	ctx, cancel := context.WithTimeoutCause(ctx, reserveTimeoutMillis*time.Millisecond, errAttemptTimeout)
	defer cancel()
	target, body := t.Codec.EncodeReservation(t.expectedTokens(), spec.MaxReservationMillis)
	e := p.choice.Candidate.Endpoint
	accept := func(status int, body []byte) error {
		if status != http.StatusOK {
			return nil
		}
		id, err := t.Codec.DecodeReservationID(body)
		if err != nil {
			return errInvalidReservation
		}
		p.reservationID = id
		return t.reservations.record(e, id)
	}
	call := controlCall{method: http.MethodPost, target: target, body: body, accept: accept, observeLate: t.lateReservation(e)}
	status, _, err := t.doControl(ctx, e, call)
	switch {
	case errors.Is(err, errInvalidReservation):
		return explainer.InvalidResponse
	case err != nil:
		p.reservationID = ""
		return errorCode(ctx, err)
	case status == http.StatusServiceUnavailable:
		return explainer.EndpointRejected
	}
	// An engine without support for reservations still accepts the request.
	return ""
}

// lateReservation returns a function that releases a reservation that an engine confirms after
// the request has gone on without it.
func (t *task) lateReservation(e figseam.ListedEndpoint) func(status int, body []byte) {
	return func(status int, body []byte) {
		id, err := t.Codec.DecodeReservationID(body)
		if status != http.StatusOK || err != nil {
			return
		}
		t.Log.Debug().Str("endpoint", e.ID).Str("reservation", id).Msg("releasing a reservation that was confirmed late")
		t.releaseAsync(e, t.Codec.ReservationReleasePath(id))
	}
}

// expectedFirstEventMillis returns the expected time from placement to the first event,
// including the safety margin.
func (t *task) expectedFirstEventMillis() float64 {
	fixedMillis, prefillMillis := t.prefillEstimator.Estimate(t.request.Prompt.InputTokens)
	// The best prefill engine first prefills the prompts that are already queued there.
	queuedMillis := 0.0
	if c, ok := t.choose(figseam.EndpointStagePrefill, t.DataCentre, 0); ok {
		queuedMillis = c.Candidate.WorkMillis
	}
	return firstEventOverheadMillis + firstEventMarginMillis + fixedMillis + prefillMillis + queuedMillis
}

// expectedTokens returns the memory that the request is expected to need, in tokens.
func (t *task) expectedTokens() int {
	prompt := t.request.Prompt
	output := int(expectedOutputShare * float64(prompt.MaxOutputTokens))
	if prompt.ExpectedOutputTokens > 0 {
		output = min(prompt.MaxOutputTokens, int(outputHintFactor*float64(prompt.ExpectedOutputTokens)))
	}
	return prompt.InputTokens + output
}

// decodeLoad returns the load of the service's decode engines that are not excluded,
// and their number. Engines in backoff are counted but add no memory.
func (t *task) decodeLoad(queue *queuer.Queue) (queuer.Load, int) {
	memory := t.memoryTokens()
	queuedTokens, onTimeTokens := queue.QueuedTokens()
	remote := t.remoteDemand.forService(t.service)
	l := queuer.Load{
		MeanResidenceMillis: t.residence.value(), QueuedTokens: queuedTokens + remote.QueuedTokens,
		OnTimeTokens: min(queuedTokens, onTimeTokens) + min(remote.QueuedTokens, remote.OnTimeTokens),
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
