package service

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/control"
)

// confirmReuse is how old a confirmation may be to serve another renewal. The
// renewal's lease is shorter by the confirmation's age.
const confirmReuse = 100 * time.Millisecond

// confirmer gives confirmations of the log's index to renewals. Renewals that
// come within confirmReuse share one, so that the rounds with a majority don't
// grow with the number of routers.
type confirmer struct {
	log control.Log

	mu    sync.Mutex
	index uint64
	begun time.Time
}

// confirm returns an index of at least least and when its confirmation was
// begun.
func (c *confirmer) confirm(ctx context.Context, least uint64, now time.Time) (uint64, time.Time, error) {
	if index, begun, ok := c.recent(least, now); ok {
		return index, begun, nil
	}
	index, begun, err := c.log.Confirm(ctx)
	if err == nil {
		c.keep(index, begun)
	}
	return index, begun, err
}

func (c *confirmer) recent(least uint64, now time.Time) (uint64, time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := !c.begun.IsZero() && now.Sub(c.begun) <= confirmReuse
	return c.index, c.begun, fresh && c.index >= least
}

func (c *confirmer) keep(index uint64, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begun.After(c.begun) {
		c.index, c.begun = index, begun
	}
}
