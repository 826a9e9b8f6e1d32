package group_test

import (
	"errors"
	"fmt"
	"testing"

	"go.uber.org/goleak"

	"github.com/peridotmux/peridotmux/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Groups of several sizes elect a leader, commit commands and recover all of them
// from their data folders after a restart. No command may be applied twice unless
// it was proposed twice.
func TestMembersElectProposeAndRestart(t *testing.T) {
	for _, n := range []int{1, 3, 5, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, n)
			c.startAll()
			for i := range 10 {
				c.propose(fmt.Sprint(i))
			}
			c.stopAll()
			for _, m := range c.members {
				c.start(m.ID, false)
			}
			c.propose("last")
			for id, p := range c.running {
				eventually(t, fmt.Sprintf("member %d to apply all commands", id), func() bool { return p.machine.count() == 11 })
				if again := int(c.resent.Load()); p.machine.repeats() > again {
					t.Errorf("member %d applied %d duplicate commands, only %d were proposed again", id, p.machine.repeats(), again)
				}
			}
		})
	}
}

// Guards against stale reads on any member: after Confirm, all commands that were
// acknowledged before must be applied there.
func TestConfirmCoversAcknowledgedCommands(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	for i := range 20 {
		c.propose(fmt.Sprint(i))
		for id, p := range c.running {
			_, begun, err := p.Confirm(t.Context())
			if err != nil || begun.IsZero() {
				t.Fatalf("member %d: %v, begun %v", id, err, begun)
			}
			if got := p.machine.count(); got != i+1 {
				t.Fatalf("member %d has applied %d commands after a confirmation, want %d", id, got, i+1)
			}
		}
	}
}

func TestProposeAtFollowerReturnsLeaderAddress(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("first")
	leads := c.leader().Leadership()
	for _, p := range c.running {
		if p.Leadership().Leads {
			continue
		}
		eventually(t, "the follower to know the leader's address", func() bool { return p.Leadership().LeaderAddr != "" })
		_, err := p.Propose(t.Context(), []byte("x"))
		var other *control.NotLeaderError
		if !errors.As(err, &other) || other.LeaderAddr != leads.LeaderAddr {
			t.Fatalf("got %v, want a NotLeaderError with %s", err, leads.LeaderAddr)
		}
	}
}
