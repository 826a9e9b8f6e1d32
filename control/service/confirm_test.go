package service

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotmux/peridotmux/control"
)

// countingLog confirms a configurable index and counts the confirmations.
type countingLog struct {
	control.Log
	index  uint64
	rounds int
}

func (l *countingLog) Confirm(context.Context) (uint64, time.Time, error) {
	l.rounds++
	return l.index, time.Now(), nil
}

// One quorum round per renewal would make the leader's load grow with the
// number of routers. A shared confirmation must not be too old, nor behind the
// index that the router has applied.
func TestRenewalsShareRecentConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{index: 7}
		c := &confirmer{log: log}
		confirm := func(least uint64) (uint64, time.Duration) {
			index, begun, err := c.confirm(t.Context(), least, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			return index, time.Since(begun)
		}
		const renewals, spread = 50, 100 * time.Millisecond
		for range renewals {
			confirm(7)
			time.Sleep(spread / renewals)
		}
		if log.rounds > 2 {
			t.Errorf("%d rounds for %d renewals within %v", log.rounds, renewals, spread)
		}
		log.index = 9
		if index, age := confirm(9); index != 9 || age != 0 {
			t.Errorf("a router that has applied 9 got %d, %v old", index, age)
		}
		time.Sleep(2 * spread)
		if _, age := confirm(9); age > spread {
			t.Errorf("a confirmation %v old was used", age)
		}
	})
}
