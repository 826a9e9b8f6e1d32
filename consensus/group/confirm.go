package group

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
)

// confirmTimeout is the time after which a confirm request to the leader is
// considered lost and repeated.
const confirmTimeout = 300 * time.Millisecond

// confirmCall is a caller waiting in Confirm. done has capacity 1.
type confirmCall struct {
	done chan confirmResult
}

type confirmResult struct {
	index uint64
	begun time.Time
	err   error
}

// confirmState holds the pending Confirm calls by stage. It belongs to the run
// loop.
type confirmState struct {
	// waiting holds the calls for which no request was sent yet.
	waiting []*confirmCall
	// inFlight holds the calls of the request in flight.
	inFlight []*confirmCall
	// request and begun are the ID and the start of the latest request.
	request uint64
	begun   time.Time
	// unapplied holds the confirmed calls whose index is not applied yet.
	unapplied []confirmedCalls
}

// confirmedCalls are calls that share a confirmed index.
type confirmedCalls struct {
	calls  []*confirmCall
	result confirmResult
}

// Confirm implements control.Log.
func (g *Group) Confirm(ctx context.Context) (index uint64, begun time.Time, err error) {
	c := &confirmCall{done: make(chan confirmResult, 1)}
	select {
	case g.confirms <- c:
	case <-ctx.Done():
		return 0, time.Time{}, &UnconfirmedError{Cause: ctx.Err()}
	case <-g.stopped:
		return 0, time.Time{}, &UnconfirmedError{Cause: ErrStopped}
	}
	select {
	case r := <-c.done:
		return r.index, r.begun, r.err
	case <-ctx.Done():
		return 0, time.Time{}, &UnconfirmedError{Cause: ctx.Err()}
	case <-g.stopped:
		return 0, time.Time{}, &UnconfirmedError{Cause: ErrStopped}
	}
}

// startConfirm sends one request for all waiting calls, unless a request is
// already in flight.
func (g *Group) startConfirm() {
	c := &g.confirm
	if len(c.inFlight) > 0 || len(c.waiting) == 0 {
		return
	}
	begun := time.Now()
	if err := g.node.Confirm(c.request + 1); err != nil {
		// No leader is known: the calls wait until there is one or their
		// contexts end.
		return
	}
	c.request++
	c.begun = begun
	c.inFlight, c.waiting = c.waiting, nil
}

// expireConfirm requeues the calls of a request that got no reply within
// confirmTimeout.
func (g *Group) expireConfirm() {
	c := &g.confirm
	if len(c.inFlight) > 0 && time.Since(c.begun) >= confirmTimeout {
		g.requeueConfirm()
	}
}

func (g *Group) requeueConfirm() {
	c := &g.confirm
	c.waiting = append(c.waiting, c.inFlight...)
	c.inFlight = nil
}

func (g *Group) finishConfirms(done []consensus.ConfirmResult) {
	c := &g.confirm
	for _, d := range done {
		if d.Request != c.request || len(c.inFlight) == 0 {
			continue
		}
		if d.Lost {
			g.requeueConfirm()
			continue
		}
		c.unapplied = append(c.unapplied, confirmedCalls{c.inFlight, confirmResult{index: d.Index, begun: c.begun}})
		c.inFlight = nil
	}
	g.answerConfirms()
	g.startConfirm()
}

// answerConfirms answers the calls whose confirmed index is applied.
func (g *Group) answerConfirms() {
	c := &g.confirm
	kept := c.unapplied[:0]
	for _, a := range c.unapplied {
		if a.result.index > g.applied {
			kept = append(kept, a)
			continue
		}
		for _, call := range a.calls {
			call.done <- a.result
		}
	}
	c.unapplied = kept
}

func (g *Group) failConfirms(cause error) {
	g.requeueConfirm()
	calls := g.confirm.waiting
	for _, a := range g.confirm.unapplied {
		calls = append(calls, a.calls...)
	}
	for _, c := range calls {
		c.done <- confirmResult{err: &UnconfirmedError{Cause: cause}}
	}
}
