package scheduler

import (
	"time"

	"github.com/figseam/figseam"
)

const (
	// patientMillis is how long a patient job lets others pass before it is due.
	patientMillis = 20_000
	// priorityMillis is how much earlier one step of priority makes a job due.
	priorityMillis = 200
)

// waiter is a job that waits for its place.
type waiter struct {
	job figseam.Job
	// due orders the queue. It is the first-token deadline, or for a patient job
	// a fixed time after its arrival, so that waiting lets it rise.
	due time.Time
	// One of result, refusal and moved is set once, then done is closed.
	result  figseam.Placement
	refusal *figseam.Refusal
	moved   bool
	done    chan struct{}
}

func newWaiter(job figseam.Job, now time.Time) *waiter {
	due := now.Add(patientMillis * time.Millisecond)
	if !job.NoDeadline() {
		due = job.FirstTokenDeadline.Time()
	}
	due = due.Add(-time.Duration(job.Priority) * priorityMillis * time.Millisecond)
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

// add puts a waiter in its place and returns how many stand before it.
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

// remove takes a waiter out; it reports whether it was there.
func (q *jobQueue) remove(w *waiter) bool {
	for i, o := range *q {
		if o == w {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

// position returns how many waiters are due before t.
func (q jobQueue) position(due time.Time) int {
	at := len(q)
	for at > 0 && q[at-1].due.After(due) {
		at--
	}
	return at
}
