package owner

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// Released returns to a new owner which of its targets this router has
// released: the new assignment is applied here and nothing is in flight. A
// target that this process has never held isn't released, because an earlier
// process of this router may still have searches there.
func (o *Owner) Released(_ context.Context, q *pb.ReleasedRequest) (*pb.ReleasedResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	response := &pb.ReleasedResponse{}
	if o.appliedIndex < q.GetIndex() {
		return response, nil
	}
	for _, id := range q.GetTargets() {
		h := o.held[topology.TargetID(id)]
		if h == nil {
			continue
		}
		if rt := h.released(time.Now()); rt != nil {
			h.handedOver = true
			response.Targets = append(response.Targets, rt)
		}
	}
	return response, nil
}

// AllHandedOver reports whether every target this process has held is released
// and its next owner has received the release. If a router exits earlier, the
// next owners must wait for a full lease.
func (o *Owner) AllHandedOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range o.held {
		if !h.handedOver {
			return false
		}
	}
	return true
}

// released returns the hand-over of a closed target without searches in flight,
// or nil if the target isn't released.
func (h *heldTarget) released(now time.Time) *pb.ReleasedTarget {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	r := h.replica
	safe := r.previousDone || !now.Before(r.fenceEnd)
	if r.state != stateClosed || !safe || len(r.inFlight) > 0 {
		return nil
	}
	return &pb.ReleasedTarget{
		Target:     string(r.id()),
		Process:    r.ramp.Process,
		Limit:      uint32(r.ramp.Limit()),
		WarmWorkUs: uint64(r.ramp.Work.Microseconds()),
	}
}

// pollReleaseLoop polls the previous owners of fenced targets until ctx ends.
func (o *Owner) pollReleaseLoop(ctx context.Context) {
	tick := time.NewTicker(releasePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for previous, q := range o.releaseRequests() {
			o.pollRelease(ctx, previous, q)
		}
	}
}

// releaseRequests returns one request for each previous owner of fenced
// targets.
func (o *Owner) releaseRequests() map[topology.VMName]*pb.ReleasedRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	requests := make(map[topology.VMName]*pb.ReleasedRequest)
	for id, h := range o.held {
		h.shard.mu.Lock()
		poll := h.replica.state == stateFenced && h.previous != "" && h.previous != o.cfg.VM
		epoch := h.replica.epoch
		h.shard.mu.Unlock()
		if !poll {
			continue
		}
		q := requests[h.previous]
		if q == nil {
			q = &pb.ReleasedRequest{Vm: string(o.cfg.VM)}
			requests[h.previous] = q
		}
		q.Index = max(q.Index, epoch)
		q.Targets = append(q.Targets, string(id))
	}
	return requests
}

// pollRelease requests the release of fenced targets from their previous owner
// and activates those that are released.
func (o *Owner) pollRelease(ctx context.Context, previous topology.VMName, q *pb.ReleasedRequest) {
	if o.cfg.FetchReleased == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releasePollTimeout)
	defer cancel()
	response, err := o.cfg.FetchReleased(ctx, previous, q)
	if err != nil {
		o.cfg.Log.Debug("failed to poll previous owner for released targets", "previous", previous, "error", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, rt := range response.GetTargets() {
		h := o.held[topology.TargetID(rt.GetTarget())]
		if h == nil || h.previous != previous {
			continue
		}
		h.shard.mu.Lock()
		if h.replica.state == stateFenced && h.replica.epoch <= q.GetIndex() {
			o.activate(h, rt)
		}
		h.shard.mu.Unlock()
	}
}

// releasePollTimeout is the timeout of one poll of a previous owner.
const releasePollTimeout = 200 * time.Millisecond
