package admission

import "time"

// relay is what a member that doesn't lead keeps of the reports it received.
type relay struct {
	// pending are the reports to pass on, and pendingSince is when the first of them
	// came.
	pending      *report
	pendingSince time.Time
	// past are the reports of the last seconds, whether passed on or not.
	past history
	// leader is the one that the member heard of last, 0 if it heard of none. cut means
	// that it isn't connected to a leader any more, and informing that the leader is new,
	// so that the next report has the past.
	leader         leaderID
	cut, informing bool
}

// collect keeps a report.
func (r *relay) collect(o *report, now time.Time) {
	switch {
	case r.pending.empty():
		r.pendingSince = now
	case now.Sub(r.pendingSince) > maxCollected:
		// The leader couldn't be reached. Old reports passed on together later would look
		// like a burst.
		r.pending, r.pendingSince = newReport(), now
	}
	r.pending.add(o)
	r.past.add(o, now)
	r.past.expire(now)
}

// follow says which leader the member is connected to, 0 if none.
func (r *relay) follow(leader leaderID) {
	if leader == 0 {
		r.cut = true
		return
	}
	r.informing = r.informing && r.leader == leader || r.leader != 0 && r.leader != leader
	r.leader, r.cut = leader, false
}

// take returns the message to pass on, nil if there is none. While no leader is
// connected, reports stay in the past.
func (r *relay) take(now time.Time) []byte {
	if r.cut || r.pending.empty() && !r.informing {
		return nil
	}
	var out []byte
	if r.informing {
		r.informing = false
		r.past.expire(now)
		out = encodeHistory(r.past, now)
	} else {
		out = r.pending.encode()
	}
	r.pending = newReport()
	return out
}
