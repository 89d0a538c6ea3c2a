// Package canceller frees engine memory whose caller, instance or owner is
// gone. It tells the engine to cancel, again and again until the engine
// confirms or is known to be gone.
package canceller

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// firstPauseMillis and longestPauseMillis bound the pause between two tries.
	firstPauseMillis   = 50
	longestPauseMillis = 2000
	// tryMillis bounds one try.
	tryMillis = 2000
	// parallel bounds the cancels under way at one time.
	parallel = 64
)

// order is one cancel that is not confirmed yet.
type order struct {
	endpoint  figseam.Endpoint
	attempt   figseam.AttemptID
	confirmed []func()
	pause     time.Duration
}

type orderID struct {
	address string
	attempt figseam.AttemptID
}

// Canceller repeats cancels until they are confirmed. Its methods are safe for
// concurrent use.
type Canceller struct {
	dialer figseam.Dialer
	gone   func(figseam.Endpoint) bool
	log    zerolog.Logger
	work   chan *order

	// mu guards pending.
	mu      sync.Mutex
	pending map[orderID]*order
}

// New returns a canceller. gone tells of endpoints that no configuration names
// any more, for which there is no use in trying.
func New(dialer figseam.Dialer, gone func(figseam.Endpoint) bool, log zerolog.Logger) *Canceller {
	return &Canceller{
		dialer: dialer, gone: gone, log: log,
		work: make(chan *order, parallel), pending: map[orderID]*order{},
	}
}

// Cancel tells the endpoint to free the attempt until it confirms, then calls
// confirmed, which may be nil. It does not block.
func (c *Canceller) Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func()) {
	c.mu.Lock()
	id := orderID{endpoint.Address, attempt}
	o, known := c.pending[id]
	if !known {
		o = &order{endpoint: endpoint, attempt: attempt, pause: firstPauseMillis * time.Millisecond}
		c.pending[id] = o
	}
	if confirmed != nil {
		o.confirmed = append(o.confirmed, confirmed)
	}
	c.mu.Unlock()
	if !known {
		c.queue(o)
	}
}

func (c *Canceller) queue(o *order) {
	select {
	case c.work <- o:
	default:
		time.AfterFunc(o.pause, func() { c.queue(o) })
	}
}

// Pending returns how many cancels are not confirmed.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run carries out cancels until ctx ends. It returns a channel that is closed
// when the last try under way has ended.
func (c *Canceller) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() { c.worker(ctx) })
	}
	go func() {
		defer close(done)
		workers.Wait()
	}()
	return done
}

func (c *Canceller) worker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.work:
			c.try(ctx, o)
		}
	}
}

func (c *Canceller) try(ctx context.Context, o *order) {
	tryCtx, cancel := context.WithTimeout(ctx, tryMillis*time.Millisecond)
	err := c.dialer.Engine(o.endpoint).Cancel(tryCtx, o.attempt)
	cancel()
	if err != nil && !c.gone(o.endpoint) {
		o.pause = min(2*o.pause, longestPauseMillis*time.Millisecond)
		time.AfterFunc(o.pause, func() { c.queue(o) })
		return
	}
	c.log.Debug().Str("endpoint", string(o.endpoint.Name)).Str("attempt", string(o.attempt)).Msg("cancelled")
	c.settle(o)
}

func (c *Canceller) settle(o *order) {
	c.mu.Lock()
	delete(c.pending, orderID{o.endpoint.Address, o.attempt})
	confirmed := o.confirmed
	c.mu.Unlock()
	for _, f := range confirmed {
		f()
	}
}
