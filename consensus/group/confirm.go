package group

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
)

// confirmRetry is the time after which a request for a confirmed index is
// taken for lost.
const confirmRetry = 300 * time.Millisecond

type confirmCall struct {
	done chan confirmResult
}

type confirmResult struct {
	index uint64
	begun time.Time
	err   error
}

// confirmState holds the loop's calls for a confirmed index: those that wait
// to be asked for, those asked for, and those that wait until it is applied.
type confirmState struct {
	waiting []*confirmCall
	asked   []*confirmCall
	request uint64
	begun   time.Time
	applies []confirmedCalls
}

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

// askConfirm asks for all waiting calls at once, unless a request is under way.
func (g *Group) askConfirm() {
	c := &g.confirm
	if len(c.asked) > 0 || len(c.waiting) == 0 {
		return
	}
	begun := time.Now()
	if err := g.node.Confirm(c.request + 1); err != nil {
		// Without a leader the calls wait until there is one, or give up.
		return
	}
	c.request++
	c.begun = begun
	c.asked, c.waiting = c.waiting, nil
}

// retryConfirm gives up a request that has had no answer for too long.
func (g *Group) retryConfirm() {
	c := &g.confirm
	if len(c.asked) > 0 && time.Since(c.begun) >= confirmRetry {
		g.requeueConfirm()
	}
}

func (g *Group) requeueConfirm() {
	c := &g.confirm
	c.waiting = append(c.waiting, c.asked...)
	c.asked = nil
}

func (g *Group) finishConfirms(done []consensus.ConfirmResult) {
	c := &g.confirm
	for _, d := range done {
		if d.Request != c.request || len(c.asked) == 0 {
			continue
		}
		if d.Lost {
			g.requeueConfirm()
			continue
		}
		c.applies = append(c.applies, confirmedCalls{c.asked, confirmResult{index: d.Index, begun: c.begun}})
		c.asked = nil
	}
	g.answerConfirms()
	g.askConfirm()
}

// answerConfirms answers the calls whose index is applied.
func (g *Group) answerConfirms() {
	c := &g.confirm
	kept := c.applies[:0]
	for _, a := range c.applies {
		if a.result.index > g.applied {
			kept = append(kept, a)
			continue
		}
		for _, call := range a.calls {
			call.done <- a.result
		}
	}
	c.applies = kept
}

func (g *Group) failConfirms(cause error) {
	g.requeueConfirm()
	calls := g.confirm.waiting
	for _, a := range g.confirm.applies {
		calls = append(calls, a.calls...)
	}
	for _, c := range calls {
		c.done <- confirmResult{err: &UnconfirmedError{Cause: cause}}
	}
}
