package query

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// OwnerState is the state of one shard at one owner, as reported in replies.
type OwnerState struct {
	Owner topology.VMName
	// Queued is the length of the owner's queue for the shard, Slots the sum of
	// the limits of its healthy targets, and Versions the index versions it
	// serves.
	Queued   int
	Slots    int
	Versions []uint64
	// UpdatedAt is when the latest reply arrived.
	UpdatedAt time.Time
	// LateAt is when a sub-request was last found late, zero once a reply has
	// arrived on time.
	LateAt time.Time
	// FailedAt is when the owner was last unreachable or without a lease, zero
	// once a reply has arrived.
	FailedAt time.Time
}

// OwnerStates holds the state of each shard at each owner, as reported in the
// replies to all queries. It is safe for concurrent use.
type OwnerStates struct {
	mu     sync.RWMutex
	shards map[topology.ShardID]*shardOwners
}

// shardOwners holds the owners' states of one shard.
type shardOwners struct {
	mu     sync.Mutex
	owners []OwnerState
}

// NewOwnerStates returns an empty OwnerStates.
func NewOwnerStates() *OwnerStates {
	return &OwnerStates{shards: make(map[topology.ShardID]*shardOwners)}
}

// shard returns the owners of a shard and creates the entry if necessary.
func (st *OwnerStates) shard(id topology.ShardID) *shardOwners {
	st.mu.RLock()
	s := st.shards[id]
	st.mu.RUnlock()
	if s != nil {
		return s
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if s = st.shards[id]; s == nil {
		s = &shardOwners{}
		st.shards[id] = s
	}
	return s
}

// owner returns the state of an owner and creates it if necessary. The caller
// holds s.mu. The pointer is valid until the next call.
func (s *shardOwners) owner(name topology.VMName) *OwnerState {
	for i := range s.owners {
		if s.owners[i].Owner == name {
			return &s.owners[i]
		}
	}
	s.owners = append(s.owners, OwnerState{Owner: name})
	return &s.owners[len(s.owners)-1]
}

// State returns a copy of the state of a shard at an owner. Its Versions must
// not be modified.
func (st *OwnerStates) State(id topology.ShardID, owner topology.VMName) OwnerState {
	s := st.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.owner(owner)
}

// MarkLate records that a sub-request at an owner is late.
func (st *OwnerStates) MarkLate(id topology.ShardID, owner topology.VMName, now time.Time) {
	s := st.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner(owner).LateAt = now
}

// RecordReply records a reply of an owner. onTime is true if it arrived within
// the recent 95th percentile latency.
func (st *OwnerStates) RecordReply(
	id topology.ShardID, owner topology.VMName, r *pb.SubReply, onTime bool, now time.Time,
) {
	s := st.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owner(owner)
	if noLease(r) {
		o.FailedAt = now
		return
	}
	o.Queued, o.Slots, o.UpdatedAt = int(r.GetQueued()), int(r.GetSlots()), now
	if onTime && r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
		o.LateAt = time.Time{}
	}
	o.Versions = r.GetVersions()
	o.FailedAt = time.Time{}
}

func noLease(r *pb.SubReply) bool {
	return r.GetReason() == pb.SubReason_SUB_REASON_NO_LEASE
}

// MarkUnreachable records that an owner couldn't be reached.
func (st *OwnerStates) MarkUnreachable(id topology.ShardID, owner topology.VMName, now time.Time) {
	s := st.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner(owner).FailedAt = now
}
