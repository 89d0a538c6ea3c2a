// Package budgeter limits the retries that all instances together send to a service to a
// share of its requests.
//
// Every instance has its own part of the limit: a share of the requests that it received
// itself, and an equal part of the fixed allowance. The window is sliding. A restarted
// instance has no record of the retries of its previous run, so its allowance grows over
// the first window. The limit holds for bursts of retries, such as after the loss of an
// endpoint.
package budgeter

import (
	"sync"
	"time"
)

// sliceCount is the number of slices in which the requests and retries of a window are
// counted.
const sliceCount = 20

// safetyFactor is the share of its limit that an instance uses, because its list of
// instances may be incomplete.
const safetyFactor = 0.7

// Settings is the limit of all instances together.
type Settings struct {
	// RetryRatio is the number of retries allowed per request.
	RetryRatio float64
	// RetryAllowance is the number of retries in a window that are allowed regardless of
	// requests.
	RetryAllowance float64
	// WindowMillis is the length of the sliding window.
	WindowMillis int64
}

// Budget is the part of the limit of one instance. It is safe for concurrent use.
type Budget struct {
	settings Settings
	started  time.Time
	// mu guards everything below.
	mu        sync.Mutex
	instances int
	services  map[string]*window
}

// window counts requests and retries in slices. Position i holds the slice with the number
// sliceNumbers[i], counted from the start of the budget.
type window struct {
	sliceNumbers [sliceCount + 1]int64
	requests     [sliceCount + 1]int
	retries      [sliceCount + 1]int
}

// New returns a budget that allows no retries until SetInstances is called.
func New(settings Settings) *Budget {
	return &Budget{settings: settings, started: time.Now(), services: map[string]*window{}}
}

// SetInstances sets the number of instances that share the fixed allowance.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = n
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.currentSlice(service)
	w.requests[i]++
}

// TryAcquire counts a retry and reports whether it is within the limit. It counts nothing
// if it is not.
func (b *Budget) TryAcquire(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.currentSlice(service)
	if float64(w.retryCount()+1) > b.limit(w) {
		return false
	}
	w.retries[i]++
	return true
}

// Remaining returns the number of retries that are allowed now. It is negative if more
// were counted than are allowed, for example by RecordRetry.
func (b *Budget) Remaining(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, _ := b.currentSlice(service)
	return b.limit(w) - float64(w.retryCount())
}

// RecordRetry counts a retry that cannot be prevented, even beyond the limit.
func (b *Budget) RecordRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.currentSlice(service)
	w.retries[i]++
}

func (b *Budget) limit(w *window) float64 {
	if b.instances == 0 {
		return 0
	}
	age := float64(time.Since(b.started).Milliseconds()) / float64(b.settings.WindowMillis)
	allowance := b.settings.RetryAllowance / float64(b.instances) * min(1, age)
	requests := 0
	for _, n := range w.requests {
		requests += n
	}
	return safetyFactor * (allowance + b.settings.RetryRatio*float64(requests))
}

func (w *window) retryCount() int {
	n := 0
	for _, r := range w.retries {
		n += r
	}
	return n
}

// currentSlice returns the window of a service and the position of its current slice,
// after it has cleared expired slices.
func (b *Budget) currentSlice(service string) (*window, int) {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	now := time.Since(b.started).Milliseconds() * sliceCount / b.settings.WindowMillis
	for i, n := range w.sliceNumbers {
		if n < now-sliceCount {
			w.sliceNumbers[i], w.requests[i], w.retries[i] = 0, 0, 0
		}
	}
	i := int(now % (sliceCount + 1))
	if w.sliceNumbers[i] != now {
		w.sliceNumbers[i], w.requests[i], w.retries[i] = now, 0, 0
	}
	return w, i
}
