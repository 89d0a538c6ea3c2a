// Package canceller frees engine memory of attempts whose caller, instance or owner has
// disappeared. It retries the cancellation until the engine confirms it or has been
// removed from the configuration.
package canceller

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// initialBackoffMillis and maxBackoffMillis are the shortest and the longest delay
	// before a cancellation is requested again.
	initialBackoffMillis = 50
	maxBackoffMillis     = 2000
	// requestTimeoutMillis is the timeout of one request to an engine.
	requestTimeoutMillis = 2000
	// maxConcurrent is the maximum number of requests in flight, and the length of the
	// queue.
	maxConcurrent = 64
)

// cancellation is the unconfirmed cancellation of an attempt at an endpoint.
type cancellation struct {
	endpoint    figseam.Endpoint
	attempt     figseam.AttemptID
	onConfirmed []func()
	backoff     time.Duration
}

type cancellationID struct {
	address string
	attempt figseam.AttemptID
}

// Canceller retries cancellations until they are confirmed. It is safe for concurrent use.
type Canceller struct {
	dialer  figseam.Dialer
	removed func(figseam.Endpoint) bool
	log     zerolog.Logger
	queue   chan *cancellation

	// mu guards pending.
	mu      sync.Mutex
	pending map[cancellationID]*cancellation
}

// New returns a canceller. removed reports whether an endpoint is no longer in the
// configuration, so that its cancellations are dropped.
func New(dialer figseam.Dialer, removed func(figseam.Endpoint) bool, log zerolog.Logger) *Canceller {
	return &Canceller{
		dialer: dialer, removed: removed, log: log,
		queue: make(chan *cancellation, maxConcurrent), pending: map[cancellationID]*cancellation{},
	}
}

// Cancel starts to request the cancellation of the attempt, repeatedly until the endpoint
// confirms it or is removed. onConfirmed is called then, unless it is nil. Cancel does not
// block.
func (c *Canceller) Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, onConfirmed func()) {
	c.mu.Lock()
	id := cancellationID{endpoint.Address, attempt}
	entry, known := c.pending[id]
	if !known {
		entry = &cancellation{endpoint: endpoint, attempt: attempt, backoff: initialBackoffMillis * time.Millisecond}
		c.pending[id] = entry
	}
	if onConfirmed != nil {
		entry.onConfirmed = append(entry.onConfirmed, onConfirmed)
	}
	c.mu.Unlock()
	if !known {
		c.enqueue(entry)
	}
}

// enqueue queues a cancellation, after its backoff if the queue is full.
func (c *Canceller) enqueue(entry *cancellation) {
	select {
	case c.queue <- entry:
	default:
		time.AfterFunc(entry.backoff, func() { c.enqueue(entry) })
	}
}

// Pending returns the number of unconfirmed cancellations.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run sends cancellations until ctx is cancelled. It returns a channel that is closed when
// the last request in flight has ended.
func (c *Canceller) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var workers sync.WaitGroup
	for range maxConcurrent {
		workers.Go(func() { c.runWorker(ctx) })
	}
	go func() {
		defer close(done)
		workers.Wait()
	}()
	return done
}

func (c *Canceller) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-c.queue:
			c.send(ctx, entry)
		}
	}
}

// send requests a cancellation once, and queues it again if it is not confirmed.
func (c *Canceller) send(ctx context.Context, entry *cancellation) {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeoutMillis*time.Millisecond)
	err := c.dialer.Engine(entry.endpoint).Cancel(requestCtx, entry.attempt)
	cancel()
	if err != nil && !c.removed(entry.endpoint) {
		entry.backoff = min(2*entry.backoff, maxBackoffMillis*time.Millisecond)
		time.AfterFunc(entry.backoff, func() { c.enqueue(entry) })
		return
	}
	c.log.Debug().Str("endpoint", string(entry.endpoint.Name)).Str("attempt", string(entry.attempt)).Msg("cancelled")
	c.confirm(entry)
}

func (c *Canceller) confirm(entry *cancellation) {
	c.mu.Lock()
	delete(c.pending, cancellationID{entry.endpoint.Address, entry.attempt})
	callbacks := entry.onConfirmed
	c.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}
