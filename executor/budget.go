package executor

import "sync"

const (
	// RetryRatio is the number of retries that an instance may send per request.
	RetryRatio = 0.1
	// retryBudgetCapacity is the capacity of the budget in retries. It covers the streams of
	// three engines that fail one after another.
	retryBudgetCapacity = 60
)

// RetryBudget is a token bucket that limits retries to a ratio of the requests, so that
// retries do not overload a failing pool. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64

	// mu guards balance.
	mu sync.Mutex
	// balance is the number of retries that are available.
	balance float64
}

// NewRetryBudget returns a full budget that grows by ratio with each request.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, balance: retryBudgetCapacity}
}

// Deposit adds the ratio to the budget, up to its capacity. It is called once per request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(retryBudgetCapacity, b.balance+b.ratio)
}

// TryWithdraw removes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
