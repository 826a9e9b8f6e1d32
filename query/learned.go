package query

import (
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// OwnerState is what replies told of one shard at one owner.
type OwnerState struct {
	Owner    topology.VMName
	Queued   int
	Slots    int
	Versions []uint64
	// UpdatedAt is when the newest of the replies arrived.
	UpdatedAt time.Time
	// LateAt is when a sub-request there was last found late, zero once a reply
	// came in the usual time.
	LateAt time.Time
	// FailedAt is when the owner last couldn't be reached or had no lease.
	FailedAt time.Time
}

// OwnerStates gathers what the replies of all queries told of shards and owners.
// It is safe for concurrent use.
type OwnerStates struct {
	mu     sync.RWMutex
	shards map[topology.ShardID]*learnedShard
}

type learnedShard struct {
	mu     sync.Mutex
	owners []OwnerState
}

// NewOwnerStates returns an empty store.
func NewOwnerStates() *OwnerStates {
	return &OwnerStates{shards: make(map[topology.ShardID]*learnedShard)}
}

func (l *OwnerStates) shard(id topology.ShardID) *learnedShard {
	l.mu.RLock()
	s := l.shards[id]
	l.mu.RUnlock()
	if s != nil {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s = l.shards[id]; s == nil {
		s = &learnedShard{}
		l.shards[id] = s
	}
	return s
}

func (s *learnedShard) owner(name topology.VMName) *OwnerState {
	for i := range s.owners {
		if s.owners[i].Owner == name {
			return &s.owners[i]
		}
	}
	s.owners = append(s.owners, OwnerState{Owner: name})
	return &s.owners[len(s.owners)-1]
}

// State returns what is known of a shard at an owner.
func (l *OwnerStates) State(id topology.ShardID, owner topology.VMName) OwnerState {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.owner(owner)
}

// MarkLate notes that a sub-request at an owner is late.
func (l *OwnerStates) MarkLate(id topology.ShardID, owner topology.VMName, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner(owner).LateAt = now
}

// RecordReply takes in a reply of an owner. Usual says that it came in the usual time.
func (l *OwnerStates) RecordReply(
	id topology.ShardID, owner topology.VMName, r *pb.SubReply, usual bool, now time.Time,
) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owner(owner)
	if noLease(r) {
		o.FailedAt = now
		return
	}
	o.Queued, o.Slots, o.UpdatedAt = int(r.GetQueued()), int(r.GetSlots()), now
	if usual && r.GetStatus() == pb.SubStatus_SUB_STATUS_OK {
		o.LateAt = time.Time{}
	}
	o.Versions = r.GetVersions()
	o.FailedAt = time.Time{}
}

func noLease(r *pb.SubReply) bool {
	return r.GetReason() == pb.SubReason_SUB_REASON_NO_LEASE
}

// MarkUnreachable notes that an owner couldn't be reached.
func (l *OwnerStates) MarkUnreachable(id topology.ShardID, owner topology.VMName, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner(owner).FailedAt = now
}
