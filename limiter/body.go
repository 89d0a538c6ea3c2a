package limiter

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// blockBytes is the size of the blocks that hold a body, except for the first one,
	// since most bodies are short. Blocks are never copied to grow, so a body occupies at
	// most one block more than its length.
	firstBlockBytes = 2 << 10
	blockBytes      = 16 << 10
	// freeBlocks is the number of blocks of each body that need no budget, so that large
	// bodies cannot cause the rejection of small ones.
	freeBlocks = 4
)

var (
	// ErrBodyTooLarge reports a body that is longer than its limit.
	ErrBodyTooLarge = errors.New("body is too large")
	// ErrBudgetExhausted reports that other bodies occupy the memory that a body needs.
	ErrBudgetExhausted = errors.New("buffered bodies occupy the memory available to them")
)

// Budget is the memory that the bodies buffered at the same time may occupy together. It
// is safe for concurrent use.
type Budget struct {
	remaining atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.remaining.Store(bytes)
	return b
}

// tryAcquire takes bytes from the budget. It reports false and takes none if fewer remain.
func (b *Budget) tryAcquire(bytes int64) bool {
	if b.remaining.Add(-bytes) >= 0 {
		return true
	}
	b.remaining.Add(bytes)
	return false
}

// TryAcquire takes bytes from the budget for a purpose other than a [Body]. It reports false
// and takes none if fewer remain. They must be released.
func (b *Budget) TryAcquire(bytes int) bool { return b.tryAcquire(int64(bytes)) }

// Release returns bytes that TryAcquire has taken.
func (b *Budget) Release(bytes int) { b.remaining.Add(int64(bytes)) }

// Body is a body in memory. It must be released when it is no longer used.
type Body struct {
	budget   *Budget
	acquired int64
	blocks   [][]byte
	length   int
}

// ReadBody reads a body to its end. It returns [ErrBodyTooLarge] if the body is longer
// than maxBytes, [ErrBudgetExhausted] if the budget has no memory for it, and otherwise the
// errors of the source. The body is already released if there is an error.
func (b *Budget) ReadBody(source io.Reader, maxBytes int) (*Body, error) {
	body := &Body{budget: b}
	for {
		block, err := body.lastBlock()
		if err != nil {
			body.Release()
			return nil, err
		}
		n, err := source.Read(block[len(block):cap(block)])
		body.blocks[len(body.blocks)-1] = block[:len(block)+n]
		body.length += n
		switch {
		case body.length > maxBytes:
			body.Release()
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			body.Release()
			return nil, err
		}
	}
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
	if n >= freeBlocks {
		if !b.budget.tryAcquire(blockBytes) {
			return nil, ErrBudgetExhausted
		}
		b.acquired += blockBytes
	}
	b.blocks = append(b.blocks, make([]byte, 0, blockBytes))
	return b.blocks[n], nil
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

// Bytes returns the body in one piece. It is copied unless it fits in one block.
func (b *Body) Bytes() []byte {
	if len(b.blocks) == 1 {
		return b.blocks[0]
	}
	all := make([]byte, 0, b.length)
	for _, block := range b.blocks {
		all = append(all, block...)
	}
	return all
}

// Release frees the body and returns its memory to the budget. It may be called more than
// once.
func (b *Body) Release() {
	b.budget.remaining.Add(b.acquired)
	b.acquired, b.blocks, b.length = 0, nil, 0
}
