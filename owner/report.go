package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// fill adds to a reply what the owner knows of the shard.
func (s *shard) fill(reply *pb.SubReply) *pb.SubReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Queued = uint32(s.queue.length) //nolint:gosec // Bounded by the queue's limit.
	best, now := s.bestLatency(), time.Now()
	for _, r := range s.replicas {
		if r.usable() && !s.judge(r, best, now) {
			reply.Slots += uint32(r.ramp.Limit()) //nolint:gosec // A small positive number.
		}
	}
	reply.Versions = s.versions()
	return reply
}

// versions returns the index versions that at least half of the usable targets
// serve, or all versions if there is no such one, newest first.
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
	broad := make([]uint64, 0, len(all))
	for _, v := range all {
		if 2*s.serving(v) >= usable {
			broad = append(broad, v)
		}
	}
	if len(broad) == 0 {
		return all
	}
	return broad
}

func (s *shard) serving(v uint64) int {
	n := 0
	for _, r := range s.replicas {
		if r.usable() && slices.Contains(r.versions, v) {
			n++
		}
	}
	return n
}
