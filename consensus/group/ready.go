package group

import (
	"context"

	"github.com/peridotmux/peridotmux/consensus"
)

// processReady does one batch of the node's pending work, if there is any. The
// caller processes inputs in between, so that a member which applies many entries
// still votes and answers.
func (g *Group) processReady(ctx context.Context) error {
	if !g.node.HasReady() {
		return g.fatalErr
	}
	r := g.node.Ready()
	if err := g.persist(ctx, r); err != nil {
		return err
	}
	if err := g.restore(r.Snapshot); err != nil {
		return err
	}
	g.links.openNew(g.node.Membership())
	g.links.send(r.Messages)
	g.recordHeartbeats(r.Messages)
	g.apply(r.Committed)
	g.node.Advance(r)
	g.publishLeadership()
	g.finishConfirms(r.Confirmed)
	if err := g.snapshotIfDue(ctx); err != nil {
		return err
	}
	return g.fatalErr
}

// persist writes the state in r and returns once it is synced. A change of the
// commit index alone is not written, since a restarted member gets it from the
// other members.
func (g *Group) persist(ctx context.Context, r consensus.Ready) error {
	if !r.MustSync {
		return nil
	}
	g.initialized.Store(true)
	if r.Snapshot != nil {
		if err := g.save(ctx, func() error { return g.store.InstallSnapshot(r.HardState, *r.Snapshot) }); err != nil {
			return err
		}
	}
	return g.save(ctx, func() error { return g.store.Save(r.HardState, r.Entries) })
}

func (g *Group) restore(s *consensus.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := g.cfg.StateMachine.Restore(s.Index, s.Data); err != nil {
		return &SnapshotError{Cause: err}
	}
	g.cfg.Logger.Info("consensus snapshot restored", "index", s.Index, "bytes", len(s.Data))
	g.snapshotIndex, g.applied, g.appliedTerm = s.Index, s.Index, s.Term
	g.appliedBytes, g.snapshotBytes = 0, uint64(len(s.Data))
	for index := range g.waiters {
		if index <= s.Index {
			g.resolve(index, nil, unknownOutcome(ErrSnapshotRestored))
		}
	}
	return nil
}

func (g *Group) apply(entries []consensus.Entry) {
	for _, e := range entries {
		var result any
		if e.Kind == consensus.EntryCommand {
			result = g.cfg.StateMachine.Apply(e.Index, e.Data)
		}
		if e.Kind == consensus.EntryMembership {
			g.cfg.Logger.Info("consensus membership committed", "index", e.Index, "members", len(e.Membership.Members))
		}
		g.applied, g.appliedTerm = e.Index, e.Term
		g.appliedBytes += uint64(e.Size()) //nolint:gosec // A size isn't negative.
		g.resolveApplied(e, result)
	}
}

// snapshotDue reports whether enough was applied since the last snapshot: a number
// of entries, or a size. The size is at least that of the last snapshot, so that a
// large state isn't written again for every few entries. It bounds the data folder,
// the memory and the time of a start where single entries are large.
func (g *Group) snapshotDue() bool {
	if g.applied == g.snapshotIndex {
		return false
	}
	return g.applied-g.snapshotIndex >= g.cfg.SnapshotEvery ||
		g.appliedBytes >= max(g.cfg.SnapshotBytes, g.snapshotBytes)
}

// snapshotIfDue takes a snapshot if it is due, and compacts the log.
func (g *Group) snapshotIfDue(ctx context.Context) error {
	if !g.snapshotDue() {
		return nil
	}
	data, err := g.cfg.StateMachine.Snapshot()
	if err != nil {
		return &SnapshotError{Cause: err}
	}
	s := consensus.Snapshot{Data: data}
	s.Index, s.Term, s.Membership = g.applied, g.appliedTerm, g.node.MembershipAt(g.applied)
	if err := g.save(ctx, func() error { return g.store.SaveSnapshot(s) }); err != nil {
		return err
	}
	keep := s.Index - min(s.Index, g.cfg.TrailingEntries)
	g.node.Compact(s, keep, g.cfg.TrailingBytes)
	g.snapshotIndex, g.snapshotBytes, g.appliedBytes = s.Index, uint64(len(data)), 0
	g.cfg.Logger.Info("consensus snapshot taken", "index", s.Index, "bytes", len(data))
	return nil
}
