package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// addShardState adds the shard's queue length, usable slots and index versions
// to a reply.
func (s *shard) addShardState(reply *pb.SubReply) *pb.SubReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Queued = uint32(s.queue.length) //nolint:gosec // Bounded by the queue's limit.
	best, now := s.bestLatency(), time.Now()
	for _, r := range s.replicas {
		if r.usable() && !s.updateEjection(r, best, now) {
			reply.Slots += uint32(r.ramp.Limit()) //nolint:gosec // A small positive number.
		}
	}
	reply.Versions = s.versions()
	return reply
}

// versions returns the index versions that at least half of the usable targets
// serve, or all versions if there is no such version, newest first.
func (s *shard) versions() []uint64 {
	var all []uint64
	usable := 0
	for _, r := range s.replicas {
		if !r.usable() {
			continue
		}
		usable++
		for _, v := range r.versions {
			if !slices.Contains(all, v) {
				all = append(all, v)
			}
		}
	}
	slices.SortFunc(all, func(a, b uint64) int { return cmp.Compare(b, a) })
	majority := make([]uint64, 0, len(all))
	for _, v := range all {
		if 2*s.countServing(v) >= usable {
			majority = append(majority, v)
		}
	}
	if len(majority) == 0 {
		return all
	}
	return majority
}

// countServing returns the number of usable targets that serve version v.
func (s *shard) countServing(v uint64) int {
	n := 0
	for _, r := range s.replicas {
		if r.usable() && slices.Contains(r.versions, v) {
			n++
		}
	}
	return n
}
