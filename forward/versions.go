package forward

import (
	"math"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/route"
)

// newVersionTime is how long a version counts as new for a router that control doesn't
// confirm: there may be a rollout of it that the router doesn't know of.
const newVersionTime = 5 * time.Minute

// versionsSeen says when each version of a service appeared in the list, zero if it did
// before all others.
type versionsSeen map[route.ServiceName]map[string]time.Time

// update returns the versions in a list. Those that stay keep their times.
func (s versionsSeen) update(l *discovery.List, now time.Time) versionsSeen {
	if l.RequestedAt.IsZero() {
		return s
	}
	next := make(versionsSeen)
	// earliest holds the start of each version's first target.
	earliest := make(map[route.ServiceName]map[string]int64)
	for _, t := range l.Targets {
		versions := next[t.Service]
		if versions == nil {
			versions = make(map[string]time.Time)
			next[t.Service], earliest[t.Service] = versions, make(map[string]int64)
		}
		at, known := s[t.Service][t.Version]
		if !known {
			at = now
		}
		versions[t.Version] = at
		first, known := earliest[t.Service][t.Version]
		if !known || t.BornUnixMS < first {
			earliest[t.Service][t.Version] = t.BornUnixMS
		}
	}
	for service, versions := range next {
		if s[service] == nil {
			markOldest(versions, earliest[service])
		}
	}
	return next
}

// markOldest sets the times of a service's versions that are in the list for the first
// time: the one whose targets started first was there before the others.
func markOldest(versions map[string]time.Time, earliest map[string]int64) {
	oldest := int64(math.MaxInt64)
	for _, born := range earliest {
		oldest = min(oldest, born)
	}
	for version, born := range earliest {
		if born == oldest {
			versions[version] = time.Time{}
		}
	}
}

// appearedLately reports whether a version appeared lately in a service that had another
// one before.
func (s versionsSeen) appearedLately(service route.ServiceName, version string, now time.Time) bool {
	versions := s[service]
	at := versions[version]
	if at.IsZero() || now.Sub(at) > newVersionTime {
		return false
	}
	for _, other := range versions {
		if other.Before(at) {
			return true
		}
	}
	return false
}

// admitsUnordered reports whether requests may go to a target of b's version although no
// rollout of its service is known to be running. x is its newest one, nil if there was
// none. A router that control doesn't confirm may miss the order for a version that
// appeared lately.
func (r *rollouts) admitsUnordered(x *serviceRollout, b *backend, now time.Time) bool {
	if len(r.seen[b.service]) < 2 {
		return true
	}
	mayBeOrdered := func(version string) bool {
		return !x.knows(version) && r.seen.appearedLately(b.service, version, now)
	}
	if mayBeOrdered(b.target.Version) {
		return r.cfg.Confirmed(now)
	}
	for version := range r.seen[b.service] {
		if mayBeOrdered(version) {
			// The rollout may be in its closing, or completed.
			return r.cfg.ConfirmedWithin(rollout.OldPermission, now)
		}
	}
	return true
}

// knows reports whether a version's rollout was completed or rolled back.
func (r *serviceRollout) knows(version string) bool {
	return r != nil && (r.IsRetired(version) || r.State == rollout.Completed && r.Version == version)
}
