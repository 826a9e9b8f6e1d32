package group

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/control"
)

// proposal is an entry that a caller waits for.
type proposal struct {
	data   []byte
	change *consensus.MembershipChange
	// claimed is set by the loop that appends it, or by the caller that gives
	// up before.
	claimed atomic.Bool
	term    uint64
	done    chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

func unknown(cause error) error { return &control.UnknownOutcomeError{Cause: cause} }

// Propose implements control.Log.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > maxProposalBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	return g.propose(ctx, &proposal{data: data, done: make(chan proposalResult, 1)})
}

func (g *Group) propose(ctx context.Context, p *proposal) (any, error) {
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return nil, &NotAppendedError{Cause: ctx.Err()}
	case <-g.stopped:
		return nil, &NotAppendedError{Cause: ErrStopped}
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	case <-ctx.Done():
		return g.giveUp(p, ctx.Err())
	case <-g.stopped:
		return g.giveUp(p, ErrStopped)
	}
}

// giveUp ends the wait for p, whose outcome is unknown if it was appended.
func (g *Group) giveUp(p *proposal, cause error) (any, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return nil, &NotAppendedError{Cause: cause}
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	default:
		return nil, unknown(cause)
	}
}

// take appends a proposal to the node's log.
func (g *Group) take(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	index, term, err := g.appendProposal(p)
	if errors.Is(err, consensus.ErrNotLeader) {
		err = &control.NotLeaderError{LeaderAddr: g.links.addrOf(g.node.Leader(), g.node.Membership())}
	}
	if errors.Is(err, consensus.ErrTooManyUncommitted) {
		err = &NotAppendedError{Cause: err}
	}
	if err != nil {
		p.done <- proposalResult{err: err}
		return
	}
	p.term = term
	g.waiters[index] = p
}

func (g *Group) appendProposal(p *proposal) (index, term uint64, err error) {
	if p.change != nil {
		return g.node.ProposeMembershipChange(*p.change)
	}
	return g.node.Propose(p.data)
}

// settle answers the proposal that waits for an applied entry.
func (g *Group) settle(e consensus.Entry, result any) {
	p := g.waiters[e.Index]
	if p == nil {
		return
	}
	if p.term != e.Term {
		// Another entry was committed in its place, so it never will be.
		g.finish(e.Index, nil, &control.NotLeaderError{})
		return
	}
	g.finish(e.Index, result, nil)
}

func (g *Group) finish(index uint64, value any, err error) {
	g.waiters[index].done <- proposalResult{value, err}
	delete(g.waiters, index)
}

func (g *Group) failWaiters(cause error) {
	for index := range g.waiters {
		g.finish(index, nil, unknown(cause))
	}
}

// failAll answers all that still wait when the run ends.
func (g *Group) failAll() {
	g.failWaiters(ErrStopped)
	g.failConfirms(ErrStopped)
}
