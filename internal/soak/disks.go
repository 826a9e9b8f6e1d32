package soak

import (
	"context"
	"time"
)

// catchUpTime is how long a new member has before another one may be lost.
const catchUpTime = 4 * time.Second

// loseDisk takes a member's disk while all members are healthy. The member comes back
// empty, or a new one at another address takes its place and then another member loses
// its disk. Each time the group must take the empty member in within recoveryTimeout.
func (r *runner) loseDisk(ctx context.Context, _ time.Duration) {
	r.background.Wait()
	i := r.rng.IntN(controls)
	if !r.waitAllMembers(ctx) {
		return
	}
	if r.variants.IntN(2) == 0 {
		r.wipe(ctx, i)
		return
	}
	begun := time.Now()
	if !r.replace(ctx, i) {
		return
	}
	time.Sleep(time.Until(begun.Add(catchUpTime)))
	r.wipe(ctx, (i+1+r.variants.IntN(controls-1))%controls)
}

// wipe empties the disk of the member at a place and checks that the member is taken in
// again.
func (r *runner) wipe(ctx context.Context, place int) {
	m := r.cluster.member(place)
	r.printf("wipe %s", m.process.name)
	m.process.kill()
	err := wipeFolder(r.cluster.dataDir(m.number))
	if err == nil {
		err = r.cluster.writeMemberSettings(place, false)
	}
	if err != nil {
		r.cluster.ledger.addViolation("%s not wiped: %v", m.process.name, err)
	}
	r.restart(m.process)
	if !r.waitAllMembers(ctx) {
		r.cluster.ledger.addViolation("%s wasn't taken in again", m.process.name)
	}
}

// replace ends the member at a place for good and checks that its successor is taken in.
func (r *runner) replace(ctx context.Context, place int) bool {
	r.printf("replace %s", r.cluster.member(place).process.name)
	if err := r.cluster.replaceMember(place); err != nil {
		r.cluster.ledger.addViolation("no member in place %d: %v", place, err)
		return false
	}
	if !r.waitAllMembers(ctx) {
		r.cluster.ledger.addViolation("%s wasn't taken in", r.cluster.member(place).process.name)
		return false
	}
	return true
}
