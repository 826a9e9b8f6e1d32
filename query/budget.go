package query

import "sync"

const (
	// budgetBurst bounds the extra sub-requests saved up for later.
	budgetBurst = 50.0
)

// Budget bounds the extra load of hedges and retries to a share of the
// sub-requests sent. Hedges and retries earn on their own shares and spend from
// one purse. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// Earn adds what n first attempts allow at the given share.
func (b *Budget) Earn(n int, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(n)*share, budgetBurst)
}

// Spend takes one extra sub-request from the budget and reports whether there
// was one left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back an extra sub-request that no target started.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, budgetBurst)
}
