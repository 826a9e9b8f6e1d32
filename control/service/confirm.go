package service

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/control"
)

// confirmReuse is the maximum age of a confirmation that serves another
// renewal. The confirmation's age is subtracted from the lease it grants.
const confirmReuse = 100 * time.Millisecond

// confirmer confirms the log's index for renewals. Renewals within confirmReuse
// share one confirmation, so that the number of quorum rounds doesn't grow with
// the number of routers.
type confirmer struct {
	log control.Log

	mu    sync.Mutex
	index uint64
	begun time.Time
}

// confirm returns a confirmed index of at least minIndex, if there is a recent
// one, or else the result of a new confirmation, and the time at which the
// confirmation began.
func (c *confirmer) confirm(ctx context.Context, minIndex uint64, now time.Time) (uint64, time.Time, error) {
	if index, begun, ok := c.recent(minIndex, now); ok {
		return index, begun, nil
	}
	index, begun, err := c.log.Confirm(ctx)
	if err == nil {
		c.keep(index, begun)
	}
	return index, begun, err
}

// recent returns the last confirmation, and whether it is young enough and
// covers minIndex.
func (c *confirmer) recent(minIndex uint64, now time.Time) (uint64, time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := !c.begun.IsZero() && now.Sub(c.begun) <= confirmReuse
	return c.index, c.begun, fresh && c.index >= minIndex
}

// keep stores a confirmation if it began after the stored one.
func (c *confirmer) keep(index uint64, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begun.After(c.begun) {
		c.index, c.begun = index, begun
	}
}
