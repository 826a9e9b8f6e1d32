package query

import "sync"

const (
	// budgetBurst is the maximum number of extra sub-requests that can be saved
	// up.
	budgetBurst = 50.0
)

// Budget limits the extra load of hedges and retries to a share of the
// sub-requests sent. Hedges and retries share one token bucket. Its zero value
// is an empty budget. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// Earn adds n*share extra sub-requests for n first attempts.
func (b *Budget) Earn(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(n)*share, budgetBurst)
}

// Spend takes one extra sub-request from the budget and reports whether one was
// left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns an extra sub-request that no target started.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, budgetBurst)
}
