// Package budgeter keeps the repeats that all instances together send to a
// service within a share of its requests.
//
// Every instance has its own part of the bound: a share of the requests that it
// took itself, and an equal part of the fixed allowance. The window slides. An
// instance that has just started does not know what its last run spent, so its
// allowance grows over the first window. It answers repeats that come in bursts,
// such as after the loss of an endpoint.
package budgeter

import (
	"sync"
	"time"
)

// sliceCount is how many slices a window is counted in.
const sliceCount = 20

// caution is the part of its bound that an instance uses: the instances that it
// knows of may be fewer than there are.
const caution = 0.7

// Settings are the bound of all instances together.
type Settings struct {
	// RetryRatio of the requests that may be repeated.
	RetryRatio float64
	// BaseRetries is how many repeats are free in a window.
	BaseRetries float64
	// WindowMillis is the length of the sliding window.
	WindowMillis int64
}

// Budget is one instance's part. It is safe for concurrent use.
type Budget struct {
	settings Settings
	started  time.Time
	// mu guards everything below.
	mu        sync.Mutex
	instances int
	services  map[string]*window
}

// window counts in slices; slot i holds the slice whose number is numbers[i].
type window struct {
	numbers  [sliceCount + 1]int64
	requests [sliceCount + 1]int
	repeats  [sliceCount + 1]int
}

// New returns a budget that allows nothing until it is told of the instances.
func New(settings Settings) *Budget {
	return &Budget{settings: settings, started: time.Now(), services: map[string]*window{}}
}

// SetInstances tells how many instances share the allowance.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = n
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.slot(service)
	w.requests[i]++
}

// TryAcquire asks to send a request once more. It reports false when the budget is
// spent.
func (b *Budget) TryAcquire(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.slot(service)
	if float64(w.spent()+1) > b.bound(w) {
		return false
	}
	w.repeats[i]++
	return true
}

// Remaining returns how many repeats may be sent now.
func (b *Budget) Remaining(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, _ := b.slot(service)
	return b.bound(w) - float64(w.spent())
}

// RecordRetry counts a repeat that could not be prevented.
func (b *Budget) RecordRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.slot(service)
	w.repeats[i]++
}

func (b *Budget) bound(w *window) float64 {
	if b.instances == 0 {
		return 0
	}
	age := float64(time.Since(b.started).Milliseconds()) / float64(b.settings.WindowMillis)
	allowance := b.settings.BaseRetries / float64(b.instances) * min(1, age)
	requests := 0
	for _, n := range w.requests {
		requests += n
	}
	return caution * (allowance + b.settings.RetryRatio*float64(requests))
}

func (w *window) spent() int {
	n := 0
	for _, r := range w.repeats {
		n += r
	}
	return n
}

// slot returns the window of a service with the current slice, after it has
// dropped the slices that slid out.
func (b *Budget) slot(service string) (*window, int) {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	now := time.Since(b.started).Milliseconds() * sliceCount / b.settings.WindowMillis
	for i, n := range w.numbers {
		if n < now-sliceCount {
			w.numbers[i], w.requests[i], w.repeats[i] = 0, 0, 0
		}
	}
	i := int(now % (sliceCount + 1))
	if w.numbers[i] != now {
		w.numbers[i], w.requests[i], w.repeats[i] = now, 0, 0
	}
	return w, i
}
