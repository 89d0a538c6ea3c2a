package scheduler

import (
	"time"

	"github.com/figseam/figseam"
)

const (
	// noDeadlineDueMillis is the time from the arrival of a job without a deadline until
	// it is due. Only jobs with a deadline before that time overtake it.
	noDeadlineDueMillis = 20_000
	// priorityStepMillis is the time by which each level of priority makes a job due
	// earlier.
	priorityStepMillis = 200
)

// waiter is a queued job whose caller waits for the result.
type waiter struct {
	job figseam.Job
	// due orders the queue. It is the first-token deadline, or for a job without one
	// noDeadlineDueMillis after its arrival, so that later jobs cannot starve it.
	// Each level of priority makes the job due earlier by priorityStepMillis.
	due time.Time
	// One of result, refusal and redirected is set once, then done is closed.
	result     figseam.Placement
	refusal    *figseam.Refusal
	redirected bool
	done       chan struct{}
}

func newWaiter(job figseam.Job, now time.Time) *waiter {
	due := now.Add(noDeadlineDueMillis * time.Millisecond)
	if !job.NoDeadline() {
		due = job.FirstTokenDeadline.Time()
	}
	due = due.Add(-time.Duration(job.Priority) * priorityStepMillis * time.Millisecond)
	return &waiter{job: job, due: due, done: make(chan struct{})}
}

func (w *waiter) place(p figseam.Placement) {
	w.result = p
	close(w.done)
}

func (w *waiter) refuse(r *figseam.Refusal) {
	w.refusal = r
	close(w.done)
}

// jobQueue is a slice of waiters ordered by due time.
type jobQueue []*waiter

// add inserts a waiter by due time and returns the number of waiters that precede it.
func (q *jobQueue) add(w *waiter) int {
	at := len(*q)
	for at > 0 && (*q)[at-1].due.After(w.due) {
		at--
	}
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
	return at
}

// remove deletes a waiter and reports whether it was queued.
func (q *jobQueue) remove(w *waiter) bool {
	for i, queued := range *q {
		if queued == w {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

// countDueBefore returns the number of waiters that would precede a new one with this
// due time.
func (q jobQueue) countDueBefore(due time.Time) int {
	at := len(q)
	for at > 0 && q[at-1].due.After(due) {
		at--
	}
	return at
}
