package service

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/topology"
)

// returns brings back what is due.
type returns struct{}

func (*returns) decide(f *facts) []state.Command {
	due := state.DueReturns(f.view, f.now)
	if len(due) == 0 {
		return nil
	}
	f.logger.Info("return due", "records", due)
	return []state.Command{{Return: true}}
}

// expiry ends plans that nobody confirmed.
type expiry struct{}

func (*expiry) decide(f *facts) []state.Command {
	if f.planExpires.IsZero() || !f.now.After(f.planExpires) {
		return nil
	}
	return []state.Command{{Expire: true}}
}

// progress follows confirmed intents until no lease runs on older records.
type progress struct {
	// first is when this leader first saw each intent.
	first map[string]time.Time
}

func newProgress() *progress { return &progress{first: make(map[string]time.Time)} }

func (p *progress) decide(f *facts) []state.Command {
	var out []state.Command
	for i := range f.unsettled {
		in := &f.unsettled[i]
		if _, ok := p.first[in.ID]; !ok {
			p.first[in.ID] = f.now
		}
		inForce, pending := RolloutStatus(in.Outcome.AcceptedIndex, f.routers, f.now)
		// After the duration of a lease none can run on older records, also not
		// at routers that no member has reported.
		settled := f.now.Sub(p.first[in.ID]) > lease.Duration
		if !settled && (in.State != api.IntentConfirmed || len(inForce) == 0) {
			continue
		}
		if settled {
			pending = nil
			delete(p.first, in.ID)
		}
		f.logger.Info("intent in force", "intent", in.ID, "settled", settled,
			"in_force", len(inForce), "pending", len(pending))
		out = append(out, state.Command{Progress: &state.Progress{
			Intent: in.ID, Settled: settled, InForce: inForce, Pending: pending,
		}})
	}
	return out
}

// RolloutStatus tells at which routers the change accepted at index is in force, and
// which others have a lease that may still run.
func RolloutStatus(
	index uint64, routers map[topology.VMName]ReportedRouter, now time.Time,
) (inForce []topology.VMName, pending []api.PendingLease) {
	for _, vm := range slices.Sorted(maps.Keys(routers)) {
		seen := routers[vm]
		left := seen.LeaseUntil.Sub(now)
		switch {
		case left <= 0:
		case seen.GetApplied() >= index:
			inForce = append(inForce, vm)
		default:
			pending = append(pending, api.PendingLease{
				VM: vm, Applied: seen.GetApplied(), EndsInMS: left.Milliseconds(),
			})
		}
	}
	return inForce, pending
}
