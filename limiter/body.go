package limiter

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// blockBytes is the size of the blocks that hold a body, except for the first one,
	// since most bodies are short. Blocks are never copied to grow, so a body occupies at
	// most one block more than its length.
	firstBlockBytes = 2 << 10
	blockBytes      = 16 << 10
	// smallBlocks is the number of blocks of each body that are taken from the reserve of a
	// budget first, so that large bodies cannot cause the rejection of small ones.
	smallBlocks = 4
	// reserveShare is the reserve of a budget, relative to the budget.
	reserveShare = 0.5
	// evictionWaitMillis bounds the wait for the memory of a body that is given up.
	evictionWaitMillis = 200
)

var (
	// ErrBodyTooLarge reports a body that is longer than its limit.
	ErrBodyTooLarge = errors.New("body is too large")
	// ErrBudgetExhausted reports that other bodies occupy the memory that a body needs.
	ErrBudgetExhausted = errors.New("buffered bodies occupy the memory available to them")
)

// Budget is the memory that the bodies buffered at the same time may occupy together. If it is
// used up, the body that has occupied most of it for longest without being complete is given
// up, provided that it can be. A body that is complete is never given up. It is safe for
// concurrent use.
type Budget struct {
	remaining atomic.Int64
	reserve   atomic.Int64
	evicted   atomic.Int64

	// mu guards reading, the bodies that are being read and can be given up.
	mu      sync.Mutex
	reading map[*Body]struct{}
}

// NewBudget returns a budget of a number of bytes, with a reserve for small bodies in addition.
func NewBudget(bytes int64) *Budget {
	b := &Budget{reading: map[*Body]struct{}{}}
	b.remaining.Store(bytes)
	b.reserve.Store(int64(reserveShare * float64(bytes)))
	return b
}

// Evicted returns the number of bodies that were given up.
func (b *Budget) Evicted() int64 { return b.evicted.Load() }

// tryAcquire takes bytes from a part of a budget. It reports false and takes none if fewer
// remain.
func tryAcquire(remaining *atomic.Int64, bytes int64) bool {
	if remaining.Add(-bytes) >= 0 {
		return true
	}
	remaining.Add(bytes)
	return false
}

// TryAcquire takes bytes from the budget for a purpose other than a [Body]. It reports false
// and takes none if fewer remain. They must be released.
func (b *Budget) TryAcquire(bytes int) bool { return tryAcquire(&b.remaining, int64(bytes)) }

// Release returns bytes that TryAcquire has taken.
func (b *Budget) Release(bytes int) { b.remaining.Add(int64(bytes)) }

// Body is a body in memory. It must be released when it is no longer used.
type Body struct {
	budget *Budget
	// acquired and reserved are the bytes taken from the budget and from its reserve. While
	// the body is being read, others read acquired.
	acquired atomic.Int64
	reserved int64
	blocks   [][]byte
	length   int
	// startedAt is the beginning of the read. abort ends it early; nil if it may not be.
	startedAt time.Time
	abort     func()
	// evicted is set when the body is given up. The budget's mu guards it.
	evicted bool
	// released is closed when the body is released.
	released chan struct{}
}

// ReadBody reads a body to its end. It returns [ErrBodyTooLarge] if the body is longer
// than maxBytes, [ErrBudgetExhausted] if the budget has no memory for it, and otherwise the
// errors of the source. The body is already released if there is an error.
func (b *Budget) ReadBody(source io.Reader, maxBytes int) (*Body, error) {
	return b.ReadAbortableBody(source, maxBytes, nil)
}

// ReadAbortableBody is like [Budget.ReadBody] for a body that may be given up for others:
// abort, which must not block, has reads from the source fail. It is not called after
// ReadAbortableBody has returned, so it does not affect what follows on the same connection.
func (b *Budget) ReadAbortableBody(source io.Reader, maxBytes int, abort func()) (body *Body, err error) {
	body = &Body{budget: b, startedAt: time.Now(), abort: abort, released: make(chan struct{})}
	b.register(body)
	defer func() {
		if b.unregister(body) {
			err = ErrBudgetExhausted
		}
		if err == nil {
			return
		}
		body.Release()
		body = nil
	}()
	for {
		block, err := body.lastBlock()
		if err != nil {
			return body, err
		}
		n, err := source.Read(block[len(block):cap(block)])
		body.blocks[len(body.blocks)-1] = block[:len(block)+n]
		body.length += n
		switch {
		case body.length > maxBytes:
			return body, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

func (b *Budget) register(body *Body) {
	if body.abort == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[body] = struct{}{}
}

// unregister ends the time in which a body can be given up, and reports whether it was. Reads
// from the source of such a body have been made to fail, so it does not count even if its end
// came at the same time.
func (b *Budget) unregister(body *Body) (evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, body)
	return body.evicted
}

// evictFor gives up the body that has occupied most memory for longest, waits until its memory
// is free and reports whether there was one. It reports false if that is the given body.
func (b *Budget) evictFor(body *Body) bool {
	victim := b.abortHeaviest(body)
	if victim == nil || victim == body {
		return false
	}
	timer := time.NewTimer(evictionWaitMillis * time.Millisecond)
	defer timer.Stop()
	select {
	case <-victim.released:
	case <-timer.C:
	}
	return true
}

// abortHeaviest gives up the body that has occupied most memory for longest and returns it; nil
// if there is none. If that is the given body, its source is left as it is.
func (b *Budget) abortHeaviest(reader *Body) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found *Body
	highest, now := 0.0, time.Now()
	for body := range b.reading {
		score := float64(body.acquired.Load()) * float64(now.Sub(body.startedAt).Milliseconds()+minHoldMillis)
		if found == nil || score > highest {
			found, highest = body, score
		}
	}
	if found == nil {
		return nil
	}
	found.evicted = true
	delete(b.reading, found)
	b.evicted.Add(1)
	if found != reader {
		found.abort()
	}
	return found
}

// lastBlock returns a block that is not full.
func (b *Body) lastBlock() ([]byte, error) {
	n := len(b.blocks)
	if n == 0 {
		b.blocks = append(b.blocks, make([]byte, 0, firstBlockBytes))
		return b.blocks[0], nil
	}
	if last := b.blocks[n-1]; len(last) < cap(last) {
		return last, nil
	}
	if err := b.acquireBlock(n); err != nil {
		return nil, err
	}
	b.blocks = append(b.blocks, make([]byte, 0, blockBytes))
	return b.blocks[n], nil
}

// acquireBlock takes the memory of the block with an index.
func (b *Body) acquireBlock(index int) error {
	if index < smallBlocks && tryAcquire(&b.budget.reserve, blockBytes) {
		b.reserved += blockBytes
		return nil
	}
	for !tryAcquire(&b.budget.remaining, blockBytes) {
		if !b.budget.evictFor(b) {
			return ErrBudgetExhausted
		}
	}
	b.acquired.Add(blockBytes)
	return nil
}

// Len returns the number of bytes.
func (b *Body) Len() int { return b.length }

// WriteTo implements [io.WriterTo].
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, block := range b.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Bytes returns the body in one piece, which replaces the blocks.
func (b *Body) Bytes() []byte {
	if len(b.blocks) == 1 {
		return b.blocks[0]
	}
	all := make([]byte, 0, b.length)
	for _, block := range b.blocks {
		all = append(all, block...)
	}
	b.blocks = [][]byte{all}
	return all
}

// Release frees the body and returns its memory to the budget. It may be called more than
// once.
func (b *Body) Release() {
	if b.blocks == nil {
		return
	}
	b.budget.remaining.Add(b.acquired.Swap(0))
	b.budget.reserve.Add(b.reserved)
	b.reserved, b.blocks, b.length = 0, nil, 0
	close(b.released)
}
