package group_test

import (
	"context"
	"testing"
)

// A new member may be configured with itself only, for example after all others
// were replaced. It must reply to members that it learns of from their messages,
// and catch up.
func TestMemberWithoutConfiguredPeersCatchesUp(t *testing.T) {
	c := newCluster(t, 4)
	c.configured = 3
	for id := range c.members[:3] {
		c.start(c.members[id].ID, true)
	}
	c.proposeAll("before", 20)
	c.selfOnly = 4
	p := c.start(4, false)
	c.retryAtLeader("add as a learner", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.memberStatus(4); listed {
			return nil
		}
		return l.AddLearner(ctx, c.member(4))
	})
	c.promote(4)
	eventually(t, "the new member to apply all commands", func() bool { return p.machine.count() == 20 })
}
