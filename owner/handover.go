package owner

import (
	"context"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// Released tells a new owner which of its targets this router has released:
// it has applied the new assignment and has nothing in flight there. A target
// that this process doesn't know of isn't released, since an owner before this
// one may still work at it.
func (o *Owner) Released(_ context.Context, q *pb.ReleasedRequest) (*pb.ReleasedResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	response := &pb.ReleasedResponse{}
	if o.index < q.GetIndex() {
		return response, nil
	}
	for _, id := range q.GetTargets() {
		h := o.held[topology.TargetID(id)]
		if h == nil {
			continue
		}
		if rt := h.released(time.Now()); rt != nil {
			h.told = true
			response.Targets = append(response.Targets, rt)
		}
	}
	return response, nil
}

// AllHandedOver reports whether the next owner of each target that this router gave up
// was told so. A router that ends before costs those targets a lease.
func (o *Owner) AllHandedOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range o.held {
		if !h.told {
			return false
		}
	}
	return true
}

// released returns the hand-over of a target that is given up and at which
// nothing runs, else nil.
func (h *holding) released(now time.Time) *pb.ReleasedTarget {
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	r := h.replica
	safe := r.safe || !now.Before(r.fenceEnd)
	if r.state != stateClosed || !safe || len(r.running) > 0 {
		return nil
	}
	return &pb.ReleasedTarget{
		Target:     string(r.id()),
		Process:    r.ramp.Process,
		Limit:      uint32(r.ramp.Limit()),
		WarmWorkUs: uint64(r.ramp.Work.Microseconds()),
	}
}

// askLoop asks previous owners for the fenced targets until ctx ends.
func (o *Owner) askLoop(ctx context.Context) {
	tick := time.NewTicker(askInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for previous, q := range o.fenced() {
			o.ask(ctx, previous, q)
		}
	}
}

// fenced returns a question for each previous owner of fenced targets.
func (o *Owner) fenced() map[topology.VMName]*pb.ReleasedRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	questions := make(map[topology.VMName]*pb.ReleasedRequest)
	for id, h := range o.held {
		h.shard.mu.Lock()
		ask := h.replica.state == stateFenced && h.previous != "" && h.previous != o.cfg.VM
		epoch := h.replica.epoch
		h.shard.mu.Unlock()
		if !ask {
			continue
		}
		q := questions[h.previous]
		if q == nil {
			q = &pb.ReleasedRequest{Vm: string(o.cfg.VM)}
			questions[h.previous] = q
		}
		q.Index = max(q.Index, epoch)
		q.Targets = append(q.Targets, string(id))
	}
	return questions
}

func (o *Owner) ask(ctx context.Context, previous topology.VMName, q *pb.ReleasedRequest) {
	if o.cfg.FetchReleased == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := o.cfg.FetchReleased(ctx, previous, q)
	if err != nil {
		o.cfg.Log.Debug("previous owner can't be asked", "previous", previous, "error", err)
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
			o.open(h, rt)
		}
		h.shard.mu.Unlock()
	}
}

// askTimeout bounds one question to a previous owner.
const askTimeout = 200 * time.Millisecond
