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

// proposeAll proposes n commands concurrently and waits until all are
// acknowledged.
func (c *cluster) proposeAll(prefix string, n int) {
	c.t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { c.propose(fmt.Sprint(prefix, i)) })
	}
	wg.Wait()
}

// The leader is lost, either stopped or partitioned off without closing its
// connections. Another leader must acknowledge commands in time. The old one must
// step down, confirm nothing, and catch up when it returns.
func TestLeaderIsReplacedInTime(t *testing.T) {
	cases := []struct {
		name string
		lose func(*cluster, *process)
	}{
		{"stopped", func(_ *cluster, p *process) { p.stop() }},
		{"partitioned", func(c *cluster, p *process) { c.partitions.setIsolated(p.id, true) }},
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
			t.Logf("command acknowledged by a new leader after %v", took)
			if took > takeoverBound {
				t.Errorf("new leader acknowledged a command after %v, limit %v", took, takeoverBound)
			}
			c.running[old.id] = old
			if k.name == "stopped" {
				c.start(old.id, false)
			} else {
				eventually(t, "the old leader to step down", func() bool { return !old.Leadership().Leads })
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				if index, _, err := old.Confirm(ctx); err == nil {
					t.Errorf("partitioned member confirmed index %d", index)
				}
				c.partitions.setIsolated(old.id, false)
			}
			eventually(t, "the lost member to catch up", func() bool { return c.running[old.id].machine.count() == 2 })
		})
	}
}

// A member that missed many entries must catch up in time, both from the entries
// that the leader still has in memory and from a snapshot.
func TestRestartedMemberCatchesUpInTime(t *testing.T) {
	for _, k := range []struct {
		name          string
		snapshotEvery uint64
	}{{"from entries", 0}, {"from a snapshot", 200}} {
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
			eventually(t, "all commands to be applied", func() bool { return p.machine.count() == missedEntries+1 })
			took := time.Since(begun)
			t.Logf("caught up on %d entries after %v", missedEntries, took)
			if took > catchUpBound {
				t.Errorf("member caught up after %v, limit %v", took, catchUpBound)
			}
		})
	}
}

// Guards against a group that stays without progress because established
// connections silently drop all packets: members have to reconnect.
func TestStalledConnectionsAreReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	c.partitions.stallOpenConns()
	c.propose("after")
	for _, p := range c.running {
		eventually(t, "all members to apply the command", func() bool { return p.machine.count() == 2 })
	}
}

// memberStatus returns the leader's status of a member: whether it is safe to
// lose, listed in the membership, and a voter.
func (c *cluster) memberStatus(id consensus.MemberID) (safe, listed, voter bool) {
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

// retryAtLeader calls f with the current leader until it returns nil.
func (c *cluster) retryAtLeader(what string, f func(context.Context, *process) error) {
	c.t.Helper()
	var last error
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if last = f(ctx, c.leader()); last == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("%s: %v", what, last)
}

// replaceDisk re-adds a member with a new disk, by the procedure in
// docs/design/repairs.md.
func (c *cluster) replaceDisk(id consensus.MemberID) {
	c.t.Helper()
	c.retryAtLeader("remove", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.memberStatus(id); !listed {
			return nil
		}
		return l.Remove(ctx, id)
	})
	c.retryAtLeader("add as a learner", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.memberStatus(id); listed {
			return nil
		}
		return l.AddLearner(ctx, c.member(id))
	})
	c.promote(id)
}

func (c *cluster) promote(id consensus.MemberID) {
	c.t.Helper()
	c.retryAtLeader("promote", func(ctx context.Context, l *process) error {
		if _, _, voter := c.memberStatus(id); voter {
			return nil
		}
		return l.Promote(ctx, id)
	})
}

// A member that lost its disk must neither form a new group nor count as the old
// member. It takes part again, with all commands, once it was removed and added
// as a learner.
func TestMemberWithLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	want := 0
	// Member 1 formed the group at its first start and must not do so again.
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
			t.Fatal("new data folder has the identity of the old one")
		}
		time.Sleep(500 * time.Millisecond)
		s, err := p.Status(t.Context())
		if got := p.machine.count(); err != nil || got != 0 || len(s.Members) != 0 {
			t.Fatalf("member with an empty disk has state: error %v, %d commands applied, members %v", err, got, s.Members)
		}
		c.replaceDisk(id)
		eventually(t, "the re-added member to apply all commands", func() bool { return p.machine.count() == want })
		for other := range c.running {
			eventually(t, "every member to be safe to lose", func() bool {
				safe, _, _ := c.memberStatus(other)
				return safe
			})
		}
	}
}

// A lost member is replaced by a new one with another ID and address, which no
// other member has in its configuration.
func TestMemberUnderANewIDReplacesALostOne(t *testing.T) {
	const lost, added consensus.MemberID = 3, 4
	c := newCluster(t, 4)
	c.configured = 3
	for id := range lost {
		c.start(id+1, true)
	}
	c.proposeAll("before", 20)
	c.running[lost].stop()
	p := c.start(added, false)
	c.retryAtLeader("add as a learner", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.memberStatus(added); listed {
			return nil
		}
		return l.AddLearner(ctx, c.member(added))
	})
	c.promote(added)
	c.retryAtLeader("remove", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.memberStatus(lost); !listed {
			return nil
		}
		return l.Remove(ctx, lost)
	})
	eventually(t, "the new member to apply all commands", func() bool { return p.machine.count() == 20 })
	for id := range c.running {
		eventually(t, "every member to be safe to lose", func() bool {
			safe, _, _ := c.memberStatus(id)
			return safe
		})
	}
}

// With one of three members stopped, only the stopped member is safe to lose:
// without another one the group would have no majority.
func TestStatusReportsSafeToLose(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("x")
	l := c.leader()
	stopped := l.id%3 + 1
	c.running[stopped].stop()
	for id := range c.members {
		m := consensus.MemberID(id + 1)
		eventually(t, fmt.Sprint("the expected SafeToLose of member ", m), func() bool {
			safe, listed, _ := c.memberStatus(m)
			return listed && safe == (m == stopped)
		})
	}
}

func TestInvalidMembershipChangesAreRejected(t *testing.T) {
	c := newCluster(t, 1)
	p := c.start(1, true)
	c.propose("x")
	var refused *consensus.MembershipError
	if err := p.Promote(t.Context(), 9); !errors.As(err, &refused) || refused.Reason != consensus.NoSuchLearner {
		t.Errorf("Promote of an unknown member returned %v", err)
	}
	if err := p.Remove(t.Context(), 1); !errors.As(err, &refused) || refused.Reason != consensus.LastVoter {
		t.Errorf("Remove of the last voter returned %v", err)
	}
}
