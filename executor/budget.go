package executor

import "sync"

const (
	// RetryRatio is the number of retries per request that an instance may add.
	RetryRatio = 0.1
	// maxSavedRetries is the capacity of the budget in retries. It covers the streams of
	// three engines that fail one after another.
	maxSavedRetries = 60
)

// RetryBudget is a token bucket that limits retries to a ratio of the requests, so that
// retries do not overload a failing pool. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64

	// mu guards saved.
	mu    sync.Mutex
	saved float64
}

// NewRetryBudget returns a full budget that grows by ratio with each request.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, saved: maxSavedRetries}
}

// Deposit adds the ratio to the budget, up to its capacity. It is called once per request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSavedRetries, b.saved+b.ratio)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
