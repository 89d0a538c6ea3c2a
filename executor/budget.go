package executor

import "sync"

const (
	// RetryRatio is how many retries an instance may add per request.
	RetryRatio = 0.1
	// retryReserve is how many retries may be saved up: enough for the streams of
	// three engines that die one after another.
	retryReserve = 60
)

// RetryBudget keeps retries to a share of the requests, so that a failing pool
// is not loaded with its own retries. It is safe for concurrent use.
type RetryBudget struct {
	share float64

	// mu guards saved.
	mu    sync.Mutex
	saved float64
}

// NewRetryBudget returns a full budget that grows by share with each request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, saved: retryReserve}
}

// Deposit notes a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(retryReserve, b.saved+b.share)
}

// TryWithdraw takes one retry out of the budget, if it has one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
