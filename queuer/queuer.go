// Package queuer decides which of the generations that wait for memory on a
// decode engine goes next, and which is refused because its turn would come too
// late.
//
// Load pattern: bursts beyond what the decode engines hold. A prefill without a
// place for its answer is wasted, so requests wait before their prefill. Those
// that can still meet their target go first, the most pressing before the
// others; one that is late already waits until none of those is left, as it has
// lost least. A request whose turn would come after its caller gave up is
// refused at once, with the time at which there will be room.
package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// claimsMost bounds the requests of one queue that claim an engine.
const claimsMost = 3

// Waiter is a request that waits for room.
type Waiter struct {
	// Priority is the rank of its route; 0 is the most urgent.
	Priority int
	// StartDeadline is when it must start to meet its target.
	StartDeadline time.Time
	// ArrivedAt breaks ties.
	ArrivedAt time.Time
	// Tokens is the memory that it needs.
	Tokens int
}

// Late reports whether the request can no longer meet its target.
func (w Waiter) Late(now time.Time) bool { return now.After(w.StartDeadline) }

// Precedes reports whether a goes before b at a time.
func Precedes(a, b Waiter, now time.Time) bool {
	aLate, bLate := a.Late(now), b.Late(now)
	switch {
	case aLate != bLate:
		return bLate
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.StartDeadline.Equal(b.StartDeadline):
		return a.StartDeadline.Before(b.StartDeadline)
	}
	return a.ArrivedAt.Before(b.ArrivedAt)
}

// Load is what is believed of the engines of a service.
type Load struct {
	// MemoryTokens is the memory of all engines, UsedTokens what is taken of it.
	MemoryTokens int
	UsedTokens   int
	// QueuedTokens is what other requests wait for, on all instances, and
	// TimelyTokens the part of it for those that can still meet their target.
	QueuedTokens int
	OnTimeTokens int
	// MeanResidenceMillis is how long a request keeps its memory.
	MeanResidenceMillis float64
}

// ExpectedWaitMillis returns when there will be room for a request: memory comes
// free evenly, as fast as it is taken in a stay. A request that gets room before it
// is late goes before those that are.
func ExpectedWaitMillis(l Load, need int, now, startBy time.Time) float64 {
	if wait := l.waitMillis(l.OnTimeTokens + need); now.Add(time.Duration(wait * float64(time.Millisecond))).Before(startBy) {
		return wait
	}
	return l.waitMillis(l.QueuedTokens + need)
}

// waitMillis returns when so much memory will have come free.
func (l Load) waitMillis(tokens int) float64 {
	missing := tokens - (l.MemoryTokens - l.UsedTokens)
	if missing <= 0 || l.MemoryTokens <= 0 || l.MeanResidenceMillis <= 0 {
		return 0
	}
	return float64(missing) * l.MeanResidenceMillis / float64(l.MemoryTokens)
}

// Queue holds the requests of one instance that wait for room on the engines of
// one service. It is safe for concurrent use.
type Queue struct {
	changed func() <-chan struct{}

	// mu guards everything below.
	mu      sync.Mutex
	waiting map[*Waiter]struct{}
	// claimants are the requests that claim an engine.
	claimants map[*Waiter]struct{}
}

// New returns an empty queue. changed returns a channel that is closed when there
// may be room.
func New(changed func() <-chan struct{}) *Queue {
	return &Queue{changed: changed, waiting: map[*Waiter]struct{}{}, claimants: map[*Waiter]struct{}{}}
}

// QueuedTokens returns the memory for which requests wait without a claim, and that for
// which requests wait, with a claim or without, that can still meet their target.
func (q *Queue) QueuedTokens() (all, timely int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for w := range q.waiting {
		all += w.Tokens
		if !w.Late(now) {
			timely += w.Tokens
		}
	}
	for w := range q.claimants {
		if !w.Late(now) {
			timely += w.Tokens
		}
	}
	return all, timely
}

// Wait blocks until take succeeds for this request in its turn. It returns false
// when ctx ends or the deadline passes before.
func (q *Queue) Wait(ctx context.Context, w Waiter, until figseam.Deadline, take func() bool) bool {
	q.mu.Lock()
	if q.isFirst(&w, time.Now()) && take() {
		q.mu.Unlock()
		return true
	}
	q.waiting[&w] = struct{}{}
	q.mu.Unlock()
	defer q.leave(&w)
	end := time.NewTimer(time.Duration(until.RemainingMillis()) * time.Millisecond)
	defer end.Stop()
	late := time.NewTimer(time.Until(w.StartDeadline))
	defer late.Stop()
	for {
		changed := q.changed()
		if q.tryTurn(&w, take) {
			return true
		}
		select {
		case <-changed:
		case <-late.C:
		case <-end.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// AcquireAdvanceReservation takes the right to claim an engine that has no room yet; a few requests of
// the queue have it at a time. It is to be called from within Wait's take.
func (q *Queue) AcquireAdvanceReservation(w *Waiter) bool {
	if len(q.claimants) >= claimsMost {
		return false
	}
	q.claimants[w] = struct{}{}
	return true
}

// ReleaseAdvanceReservation gives the right back.
func (q *Queue) ReleaseAdvanceReservation(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.claimants, w)
}

func (q *Queue) tryTurn(w *Waiter, take func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isFirst(w, time.Now()) && take()
}

func (q *Queue) isFirst(w *Waiter, now time.Time) bool {
	for o := range q.waiting {
		if o != w && Precedes(*o, *w, now) {
			return false
		}
	}
	return true
}

func (q *Queue) leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, w)
}
