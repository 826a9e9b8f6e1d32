package group_test

import (
	"context"
	"testing"
)

// A new member's settings may name nobody but itself, as after every other
// member was replaced. It answers whoever writes to it and catches up.
func TestMemberThatKnowsNobodyCatchesUp(t *testing.T) {
	c := newCluster(t, 4)
	c.named = 3
	for id := range c.members[:3] {
		c.start(c.members[id].ID, true)
	}
	c.proposeAll("before", 20)
	c.alone = 4
	p := c.start(4, false)
	c.untilDone("add as a learner", func(ctx context.Context, l *process) error {
		if _, listed, _ := c.status(4); listed {
			return nil
		}
		return l.AddLearner(ctx, c.member(4))
	})
	c.promote(4)
	eventually(t, "the new member holds all", func() bool { return p.journal.count() == 20 })
}
