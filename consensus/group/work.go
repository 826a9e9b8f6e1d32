package group

import (
	"github.com/peridotmux/peridotmux/consensus"
)

// work does what the node asks for until it asks for nothing more.
func (g *Group) work() error {
	for g.node.HasReady() {
		r := g.node.Ready()
		if err := g.persist(r); err != nil {
			return err
		}
		if err := g.restore(r.Snapshot); err != nil {
			return err
		}
		g.links.sync(g.node.Membership())
		g.links.send(r.Messages)
		g.keepHeartbeats(r.Messages)
		g.apply(r.Committed)
		g.node.Advance(r)
		g.noteLeadership()
		g.finishConfirms(r.Confirmed)
		if err := g.snapshotIfDue(); err != nil {
			return err
		}
	}
	return g.failure
}

// persist returns once all that r asks for is synced. A change of the commit
// index alone isn't written: it is found again from the other members.
func (g *Group) persist(r consensus.Ready) error {
	if !r.MustSync {
		return nil
	}
	g.initialized.Store(true)
	return g.save(func() error {
		if r.Snapshot != nil {
			if err := g.store.InstallSnapshot(r.HardState, *r.Snapshot); err != nil {
				return err
			}
		}
		return g.store.Save(r.HardState, r.Entries)
	})
}

func (g *Group) restore(s *consensus.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := g.cfg.StateMachine.Restore(s.Index, s.Data); err != nil {
		return &SnapshotError{Cause: err}
	}
	g.cfg.Logger.Info("consensus snapshot restored", "index", s.Index, "bytes", len(s.Data))
	g.snapIndex, g.applied, g.lastTerm = s.Index, s.Index, s.Term
	for index := range g.waiters {
		if index <= s.Index {
			g.finish(index, nil, unknown(ErrSnapshotRestored))
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
		g.applied, g.lastTerm = e.Index, e.Term
		g.settle(e, result)
	}
}

func (g *Group) snapshotIfDue() error {
	if g.applied-g.snapIndex < g.cfg.SnapshotEvery {
		return nil
	}
	data, err := g.cfg.StateMachine.Snapshot()
	if err != nil {
		return &SnapshotError{Cause: err}
	}
	s := consensus.Snapshot{Data: data}
	s.Index, s.Term, s.Membership = g.applied, g.lastTerm, g.node.MembershipAt(g.applied)
	if err := g.save(func() error { return g.store.SaveSnapshot(s) }); err != nil {
		return err
	}
	keep := s.Index - min(s.Index, g.cfg.TrailingEntries)
	g.node.Compact(s, keep)
	g.snapIndex = s.Index
	g.cfg.Logger.Info("consensus snapshot made", "index", s.Index, "bytes", len(data))
	return nil
}
