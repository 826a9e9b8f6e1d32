package group_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"
)

// Guards against a member that applies a backlog in one step: it then hears no message
// and answers no call until all of it is applied, and control has no leader meanwhile.
func TestMemberAnswersWhileItApplies(t *testing.T) {
	const (
		entries    = 40
		entryBytes = 300 << 10
		applyTime  = 25 * time.Millisecond
	)
	c := newCluster(t, 1)
	c.discard = true
	// No snapshot shortens the backlog.
	c.snapshotBytes = 1 << 30
	c.startAll()
	for i := range entries {
		c.propose(fmt.Sprint(i, ":") + string(bytes.Repeat([]byte("x"), entryBytes)))
	}
	c.running[1].stop()

	c.applyTime = applyTime
	p := c.start(1, true)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s, err := p.Status(ctx)
	for err == nil && s.AppliedIndex < entries/4 {
		s, err = p.Status(ctx)
	}
	if err != nil {
		t.Fatal(err)
	}
	if s.AppliedIndex >= entries {
		t.Errorf("no answer before entry %d of %d was applied", s.AppliedIndex, entries)
	}
}
