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

// returnController ends quiet records at their return time.
type returnController struct{}

func (*returnController) decide(input *controllerInput) []state.Command {
	due := state.DueReturns(input.view, input.now)
	if len(due) == 0 {
		return nil
	}
	input.logger.Info("return due", "records", due)
	return []state.Command{{Return: true}}
}

// planExpiryController expires plans that were not confirmed in time.
type planExpiryController struct{}

func (*planExpiryController) decide(input *controllerInput) []state.Command {
	if input.nextPlanExpiry.IsZero() || !input.now.After(input.nextPlanExpiry) {
		return nil
	}
	return []state.Command{{Expire: true}}
}

// progressController tracks confirmed intents until no router can hold a lease
// on records that are older than the intent.
type progressController struct {
	// firstSeen is when this leader first saw each intent.
	firstSeen map[string]time.Time
}

func newProgressController() *progressController {
	return &progressController{firstSeen: make(map[string]time.Time)}
}

func (p *progressController) decide(input *controllerInput) []state.Command {
	var out []state.Command
	for i := range input.unsettled {
		in := &input.unsettled[i]
		if _, ok := p.firstSeen[in.ID]; !ok {
			p.firstSeen[in.ID] = input.now
		}
		inForce, pending := RolloutStatus(in.Outcome.AcceptedIndex, input.routers, input.now)
		// After the duration of one lease, no lease on older records can still
		// run, not even at routers that no member has reported.
		settled := input.now.Sub(p.firstSeen[in.ID]) > lease.Duration
		if !settled && (in.State != api.IntentConfirmed || len(inForce) == 0) {
			continue
		}
		if settled {
			pending = nil
			delete(p.firstSeen, in.ID)
		}
		input.logger.Info("intent in force", "intent", in.ID, "settled", settled,
			"in_force", len(inForce), "pending", len(pending))
		out = append(out, state.Command{Progress: &state.Progress{
			Intent: in.ID, Settled: settled, InForce: inForce, Pending: pending,
		}})
	}
	return out
}

// RolloutStatus returns, sorted by name, the routers with a running lease: in
// inForce those that have applied the change accepted at index, and in pending
// those whose lease may still run on older records.
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
