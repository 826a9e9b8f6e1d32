package group_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
)

const (
	takeoverBound = 3 * time.Second
	catchUpBound  = 2 * time.Second
	missedEntries = 1000
)

// proposeAll proposes n commands at once and waits until all are acknowledged.
func (c *cluster) proposeAll(prefix string, n int) {
	c.t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { c.propose(fmt.Sprint(prefix, i)) })
	}
	wg.Wait()
}

func TestLossOfTheLeaderIsRepairedInTime(t *testing.T) {
	cases := []struct {
		name string
		lose func(*cluster, *process)
	}{
		{"stopped", func(_ *cluster, p *process) { p.stop() }},
		{"cut off silently", func(c *cluster, p *process) { c.cuts.set(p.id, true) }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.startAll()
			c.propose("before")
			old := c.leader()
			begun := time.Now()
			k.lose(c, old)
			delete(c.running, old.id)
			c.propose("after")
			took := time.Since(begun)
			t.Logf("acknowledged by a new leader after %v", took)
			if took > takeoverBound {
				t.Errorf("took %v, bound %v", took, takeoverBound)
			}
			c.running[old.id] = old
			if k.name == "stopped" {
				c.start(old.id, false)
			} else {
				eventually(t, "the old leader steps down", func() bool { return !old.Leadership().Leads })
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				if index, _, err := old.Confirm(ctx); err == nil {
					t.Errorf("a member that is cut off was confirmed index %d", index)
				}
				c.cuts.set(old.id, false)
			}
			eventually(t, "the lost member catches up", func() bool { return c.running[old.id].journal.count() == 2 })
		})
	}
}

func TestRestartedMemberCatchesUpInTime(t *testing.T) {
	for _, k := range []struct {
		name          string
		snapshotEvery uint64
	}{{"by entries", 0}, {"by a snapshot", 200}} {
		t.Run(k.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.snapshotEvery = k.snapshotEvery
			c.startAll()
			c.propose("first")
			id := c.leader().id%3 + 1
			c.running[id].stop()
			c.proposeAll("missed", missedEntries)
			begun := time.Now()
			p := c.start(id, false)
			eventually(t, "all applied", func() bool { return p.journal.count() == missedEntries+1 })
			took := time.Since(begun)
			t.Logf("caught up on %d entries after %v", missedEntries, took)
			if took > catchUpBound {
				t.Errorf("took %v, bound %v", took, catchUpBound)
			}
		})
	}
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	c.cuts.silence()
	c.propose("after")
	for _, p := range c.running {
		eventually(t, "all members are reached again", func() bool { return p.journal.count() == 2 })
	}
}

// status returns what the leader says about a member.
func (c *cluster) status(id consensus.MemberID) (safe, listed, voter bool) {
	s, err := c.leader().Status(context.Background())
	if err != nil {
		return false, false, false
	}
	for _, m := range s.Members {
		if m.ID == id {
			return m.SafeToLose, true, !m.Learner
		}
	}
	return false, false, false
}

// untilDone calls f at the leader until it returns nil.
func (c *cluster) untilDone(what string, f func(context.Context, *process) error) {
	c.t.Helper()
	var last error
	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	for ctx.Err() == nil {
		if last = f(ctx, c.leader()); last == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("%s: %v", what, last)
}

// repair brings a member with a new disk back, as docs/design/repairs.md says.
func (c *cluster) repair(id consensus.MemberID) {
	c.t.Helper()
	c.untilDone("remove", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.status(id); !listed {
			return nil
		}
		return l.Remove(ctx, id)
	})
	c.untilDone("add as a learner", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.status(id); listed {
			return nil
		}
		return l.AddLearner(ctx, c.member(id))
	})
	c.promote(id)
}

func (c *cluster) promote(id consensus.MemberID) {
	c.t.Helper()
	c.untilDone("promote", func(ctx context.Context, l *process) error {
		if _, _, voter := c.status(id); voter {
			return nil
		}
		return l.Promote(ctx, id)
	})
}

func TestMemberWithALostDiskIsRepaired(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	want := 0
	// Member 1 forms the group at the first start, and must not do so again.
	for _, id := range []consensus.MemberID{1, 2} {
		c.proposeAll(fmt.Sprint("before ", id, " is lost: "), 20)
		want += 20
		old := c.running[id].Disk()
		c.running[id].stop()
		if err := os.RemoveAll(c.dirs[id]); err != nil {
			t.Fatal(err)
		}
		p := c.start(id, true)
		if p.Disk() == old {
			t.Fatal("a new data folder has the old identity")
		}
		time.Sleep(500 * time.Millisecond)
		s, err := p.Status(t.Context())
		if got := p.journal.count(); err != nil || got != 0 || len(s.Members) != 0 {
			t.Fatalf("a member with an empty disk: %v, %d commands applied, members %v", err, got, s.Members)
		}
		c.repair(id)
		eventually(t, "the repaired member holds all", func() bool { return p.journal.count() == want })
		for other := range c.running {
			eventually(t, "any one member is safe to lose", func() bool {
				safe, _, _ := c.status(other)
				return safe
			})
		}
	}
}

func TestMemberUnderANewIDReplacesALostOne(t *testing.T) {
	const lost, added consensus.MemberID = 3, 4
	c := newCluster(t, 4)
	c.named = 3
	for id := range lost {
		c.start(id+1, true)
	}
	c.proposeAll("before", 20)
	c.running[lost].stop()
	p := c.start(added, false)
	c.untilDone("add as a learner", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.status(added); listed {
			return nil
		}
		return l.AddLearner(ctx, c.member(added))
	})
	c.promote(added)
	c.untilDone("remove", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.status(lost); !listed {
			return nil
		}
		return l.Remove(ctx, lost)
	})
	eventually(t, "the new member holds all", func() bool { return p.journal.count() == 20 })
	for id := range c.running {
		eventually(t, "any one member is safe to lose", func() bool {
			safe, _, _ := c.status(id)
			return safe
		})
	}
}

func TestStatusTellsWhoIsNotSafeToLose(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("x")
	l := c.leader()
	stopped := l.id%3 + 1
	c.running[stopped].stop()
	for id := range c.members {
		m := consensus.MemberID(id + 1)
		eventually(t, fmt.Sprint("what is safe about member ", m), func() bool {
			safe, listed, _ := c.status(m)
			return listed && safe == (m == stopped)
		})
	}
}

func TestImpossibleChangesAreRefused(t *testing.T) {
	c := newCluster(t, 1)
	p := c.start(1, true)
	c.propose("x")
	var refused *consensus.MembershipError
	if err := p.Promote(t.Context(), 9); !errors.As(err, &refused) || refused.Reason != consensus.NoSuchLearner {
		t.Errorf("got %v", err)
	}
	if err := p.Remove(t.Context(), 1); !errors.As(err, &refused) || refused.Reason != consensus.LastVoter {
		t.Errorf("got %v", err)
	}
}
