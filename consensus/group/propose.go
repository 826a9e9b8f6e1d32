package group

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/control"
)

// proposal is a proposed entry with a waiting caller. Either data or change is
// set. done has capacity 1.
type proposal struct {
	data   []byte
	change *consensus.MembershipChange
	// claimed is set by the run loop when it appends the proposal, or by the
	// caller when it stops waiting, whichever is first.
	claimed atomic.Bool
	term    uint64
	done    chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

func unknownOutcome(cause error) error { return &control.UnknownOutcomeError{Cause: cause} }

// Propose implements control.Log.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > maxProposalBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	return g.propose(ctx, &proposal{data: data, done: make(chan proposalResult, 1)})
}

func (g *Group) propose(ctx context.Context, p *proposal) (any, error) {
	if g.diskFull.Load() {
		return nil, &NotAppendedError{Cause: ErrDiskFull}
	}
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
		return g.abandon(p, ctx.Err())
	case <-g.stopped:
		return g.abandon(p, ErrStopped)
	}
}

// abandon ends the wait for p. The outcome is unknown if p was already appended.
func (g *Group) abandon(p *proposal, cause error) (any, error) {
	if p.claimed.CompareAndSwap(false, true) {
		return nil, &NotAppendedError{Cause: cause}
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	default:
		return nil, unknownOutcome(cause)
	}
}

// appendOrReject appends a proposal to the node's log, or answers it with an
// error. A proposal abandoned by its caller is ignored.
func (g *Group) appendOrReject(p *proposal) {
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

// resolveApplied answers the proposal waiting for an applied entry, if any.
func (g *Group) resolveApplied(e consensus.Entry, result any) {
	p := g.waiters[e.Index]
	if p == nil {
		return
	}
	if p.term != e.Term {
		// Another entry was committed at this index, so the proposal never
		// will be.
		g.resolve(e.Index, nil, &control.NotLeaderError{})
		return
	}
	g.resolve(e.Index, result, nil)
}

func (g *Group) resolve(index uint64, value any, err error) {
	g.waiters[index].done <- proposalResult{value, err}
	delete(g.waiters, index)
}

func (g *Group) failWaiters(cause error) {
	for index := range g.waiters {
		g.resolve(index, nil, unknownOutcome(cause))
	}
}

// failPending answers all pending proposals and confirmations when Run ends.
func (g *Group) failPending() {
	g.failWaiters(ErrStopped)
	g.failConfirms(ErrStopped)
}
