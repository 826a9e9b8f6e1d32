package quota

import (
	"math"
	"time"
)

// bucket is the holder's account of one workspace. The tokens and the outstanding
// credits together never exceed its capacity, and tokens are added at the workspace's
// rate only.
type bucket struct {
	limit  Limit
	tokens float64
	// outstanding is the number of credits that gateways may still spend, or have spent
	// without telling yet.
	outstanding int
	// wanted is the sum of what gateways want in stock, and kept that of standbys, which
	// have stored of it.
	wanted, kept, stored int
	// accruedTo is the time up to which tokens were added.
	accruedTo Instant
	// owed is the number of requests that were told to come back, less the tokens that
	// have accrued since owedAt.
	owed   float64
	owedAt Instant
	// removed is when the workspace was removed from the configuration, 0 if it wasn't.
	removed Instant
}

// limited reports whether the workspace has a limit.
func (b *bucket) limited() bool { return b.limit.RatePerSecond > 0 }

// accrue adds the tokens for the time up to the given one.
func (b *bucket) accrue(to Instant, capacity float64) {
	if to > b.accruedTo {
		b.tokens += b.limit.RatePerSecond * (to - b.accruedTo).Seconds()
		b.accruedTo = to
	}
	b.clip(capacity)
}

func (b *bucket) clip(capacity float64) {
	b.tokens = max(0, min(b.tokens, capacity-float64(b.outstanding)))
}

// grant takes up to n tokens, but leaves some. The caller counts them as outstanding.
func (b *bucket) grant(n int, leave float64) int {
	if n <= 0 {
		return 0
	}
	if !b.limited() {
		return n
	}
	n = min(n, int(math.Floor(b.tokens-leave)))
	if n <= 0 {
		return 0
	}
	b.tokens -= float64(n)
	return n
}

// retryAfter records that n requests got no credit, and returns when they may.
func (b *bucket) retryAfter(n int, now Instant) time.Duration {
	rate := b.limit.RatePerSecond
	b.owed = max(0, b.owed-rate*(now-b.owedAt).Seconds())
	b.owedAt = now
	b.owed = min(b.owed+float64(n), max(1, rate*maxRetryAfter.Seconds()))
	after := time.Duration(max(0, b.owed-b.tokens) / rate * float64(time.Second))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// want adds to what sessions want in stock.
func (b *bucket) want(standby bool, n int) {
	if standby {
		b.kept += n
	} else {
		b.wanted += n
	}
}

// change adds to the outstanding credits of a session.
func (b *bucket) change(standby bool, n int) {
	b.outstanding += n
	if standby {
		b.stored += n
	}
}

// reserve returns the number of tokens that a session's stock leaves: for requests that
// wait, and for what standbys lack.
func (b *bucket) reserve(standby bool, capacity float64) float64 {
	reserve := min(max(minReserve, urgentReserve-float64(b.kept)), capacity/2)
	if standby {
		return reserve
	}
	return reserve + float64(max(0, b.kept-b.stored))
}
