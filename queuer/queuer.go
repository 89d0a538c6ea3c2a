// Package queuer orders the generations that wait for memory on a decode engine, and
// estimates their wait.
//
// Load pattern: bursts beyond the memory of the decode engines. A prefill whose decode
// has no memory is wasted, so requests wait before their prefill. Requests with more urgent
// priorities are served first, also when they are late: a target that is harder to meet must not
// cost a caller its place. Among equals, those that can still meet their latency target are
// served first: first those of accounts that used less of their quota, so that an account with
// many times its usual requests waits behind the others, then by the time by which they must
// start. A late request waits until none of those is left, because further
// delay costs it least. The estimate serves to refuse a request at once if it would start
// after its caller gives up, and to state in the refusal when memory will be free.
package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// maxAdvanceReservations bounds the advance reservations of one queue. An advance
// reservation permits the placement of a request on an engine that does not have enough
// free memory yet.
const maxAdvanceReservations = 3

// Waiter is a request that waits for memory.
type Waiter struct {
	// Rank is the position of the priorities of the request's account and route among those
	// of all requests for the same engines; 0 is the most urgent.
	Rank int
	// UsageStep is how far the account has recently used its quota, in steps.
	UsageStep int
	// StartDeadline is the time by which the request must start to meet its latency
	// target.
	StartDeadline time.Time
	// ArrivedAt orders requests that are equal otherwise: the earlier one goes first.
	ArrivedAt time.Time
	// Tokens is the memory that the request needs.
	Tokens int
}

// Late reports whether the request can no longer meet its latency target.
func (w Waiter) Late(now time.Time) bool { return now.After(w.StartDeadline) }

// Precedes reports whether a is served before b at the given time.
func Precedes(a, b Waiter, now time.Time) bool {
	aLate, bLate := a.Late(now), b.Late(now)
	switch {
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case aLate != bLate:
		return bLate
	case a.UsageStep != b.UsageStep:
		return a.UsageStep < b.UsageStep
	case !a.StartDeadline.Equal(b.StartDeadline):
		return a.StartDeadline.Before(b.StartDeadline)
	}
	return a.ArrivedAt.Before(b.ArrivedAt)
}

// Load is the estimated load of the engines of a service.
type Load struct {
	// MemoryTokens is the memory of all engines, UsedTokens the used part of it.
	MemoryTokens int
	UsedTokens   int
	// QueuedTokens is the memory for which requests of all instances are queued,
	// OnTimeTokens the part of it for requests that can still meet their latency
	// target.
	QueuedTokens int
	OnTimeTokens int
	// MeanResidenceMillis is the mean time that a request keeps its memory.
	MeanResidenceMillis float64
}

// ExpectedWaitMillis returns the expected time until there is enough memory for a
// request. It assumes that memory is freed at a constant rate: all of it in the mean
// residence time. A request that would start before startDeadline waits only behind the
// queued requests that can still meet their latency target, any other behind all.
func ExpectedWaitMillis(l Load, tokens int, now, startDeadline time.Time) float64 {
	if wait := l.waitMillis(l.OnTimeTokens + tokens); now.Add(time.Duration(wait * float64(time.Millisecond))).Before(startDeadline) {
		return wait
	}
	return l.waitMillis(l.QueuedTokens + tokens)
}

// waitMillis returns the expected time until the given amount of memory is free.
func (l Load) waitMillis(tokens int) float64 {
	missing := tokens - (l.MemoryTokens - l.UsedTokens)
	if missing <= 0 || l.MemoryTokens <= 0 || l.MeanResidenceMillis <= 0 {
		return 0
	}
	return float64(missing) * l.MeanResidenceMillis / float64(l.MemoryTokens)
}

// Queue contains the requests of one instance that wait for memory on the engines of
// one service. It is safe for concurrent use.
type Queue struct {
	changed func() <-chan struct{}

	// mu guards everything below.
	mu      sync.Mutex
	waiters map[*Waiter]struct{}
	// advanceReservations contains the requests that have an advance reservation.
	advanceReservations map[*Waiter]struct{}
}

// New returns an empty queue. changed returns a channel that is closed when memory may
// have been freed.
func New(changed func() <-chan struct{}) *Queue {
	return &Queue{changed: changed, waiters: map[*Waiter]struct{}{}, advanceReservations: map[*Waiter]struct{}{}}
}

// QueuedTokens returns the memory for which requests wait without an advance
// reservation, and the memory for all requests, with or without an advance reservation,
// that can still meet their latency target.
func (q *Queue) QueuedTokens() (all, onTime int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for w := range q.waiters {
		all += w.Tokens
		if !w.Late(now) {
			onTime += w.Tokens
		}
	}
	for w := range q.advanceReservations {
		if !w.Late(now) {
			onTime += w.Tokens
		}
	}
	return all, onTime
}

// OnTimeTokensByRank returns the memory for requests of each rank, with or without an advance
// reservation, that can still meet their latency target. Ranks from count on are left out.
func (q *Queue) OnTimeTokensByRank(count int) []int {
	tokens := make([]int, count)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, waiters := range []map[*Waiter]struct{}{q.waiters, q.advanceReservations} {
		for w := range waiters {
			if w.Rank < count && !w.Late(now) {
				tokens[w.Rank] += w.Tokens
			}
		}
	}
	return tokens
}

// Wait blocks until w is first in the queue and acquire returns true. It returns false if
// ctx is cancelled or limit passes before. The queue is locked while acquire runs.
func (q *Queue) Wait(ctx context.Context, w Waiter, limit figseam.Deadline, acquire func() bool) bool {
	q.mu.Lock()
	if q.isFirst(&w, time.Now()) && acquire() {
		q.mu.Unlock()
		return true
	}
	q.waiters[&w] = struct{}{}
	q.mu.Unlock()
	defer q.remove(&w)
	expired := time.NewTimer(time.Duration(limit.RemainingMillis()) * time.Millisecond)
	defer expired.Stop()
	late := time.NewTimer(time.Until(w.StartDeadline))
	defer late.Stop()
	for {
		changed := q.changed()
		if q.tryAcquire(&w, acquire) {
			return true
		}
		select {
		case <-changed:
		case <-late.C:
		case <-expired.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// TryAcquireAdvanceReservation acquires an advance reservation for w. It returns false if
// the queue already has maxAdvanceReservations. It must only be called from the acquire
// function of Wait, which holds the lock.
func (q *Queue) TryAcquireAdvanceReservation(w *Waiter) bool {
	if len(q.advanceReservations) >= maxAdvanceReservations {
		return false
	}
	q.advanceReservations[w] = struct{}{}
	return true
}

// ReleaseAdvanceReservation releases the advance reservation of w.
func (q *Queue) ReleaseAdvanceReservation(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.advanceReservations, w)
}

func (q *Queue) tryAcquire(w *Waiter, acquire func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isFirst(w, time.Now()) && acquire()
}

func (q *Queue) isFirst(w *Waiter, now time.Time) bool {
	for other := range q.waiters {
		if other != w && Precedes(*other, *w, now) {
			return false
		}
	}
	return true
}

func (q *Queue) remove(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, w)
}
