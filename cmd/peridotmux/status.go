package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/api"
)

func registerStatus(app *kingpin.Application, commands commandSet) {
	cmd := app.Command("status", "Show the state of the system.")
	f := addControlFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		s, err := client.Status(ctx)
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f, s, writeStatus)
	}
}

// writeStatus prints the shared state, one row for each router and one for each
// control member.
func writeStatus(w *table, s *api.Status) {
	if s.Stale {
		w.printf("no leader is known; what follows may be outdated, and leases aren't known")
	}
	w.line("deployment", fmt.Sprintf("%s, configuration version %d", s.Deployment, s.ConfigVersion))
	w.line("base version", fmt.Sprint(s.Base))
	w.line("targets", fmt.Sprintf("%d, %d without a live owner", s.Targets, s.UnassignedTargets))
	w.line("leader", fmt.Sprintf("%s in term %d", s.Leader, s.Term))
	w.line("cold targets", joinNames(s.ColdTargets))
	w.line("non-idempotent", joinNames(s.NonIdempotent))
	for _, q := range s.QuietDCs {
		w.line("quiet data centre", quietText(&q))
	}
	for _, q := range s.QuietTargets {
		w.line("quiet target", quietText(&q))
	}
	for _, r := range s.Rollouts {
		w.line("rollout", rolloutText(&r))
	}
	w.printf("\nROUTER\tDATA CENTRE\tSTATE\tCONFIG\tRECORDS\tLEASE\tSEEN\tOWNS\tMEMBER")
	for _, r := range s.Routers {
		w.printf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s",
			r.VM, r.DataCentre, routerState(&r), configText(&r), recordsText(&r), leaseText(&r), seenText(&r), r.Owns, r.Member)
	}
	writeMembers(w, &api.MemberList{Members: s.Members})
}

func quietText(q *api.QuietStatus) string {
	text := q.Name + " by " + q.Intent
	if q.Leaving {
		text += ", leaves for good"
	}
	if !q.Until.IsZero() {
		text += ", until " + formatTime(q.Until)
	}
	return text
}

func rolloutText(r *api.RolloutStatus) string {
	text := fmt.Sprintf("%s to %s: %s", r.Service, r.Version, r.State)
	if r.Phase != "" {
		text += fmt.Sprintf(", %s, share %.3f, %d of %d ms", r.Phase, r.Share, r.ElapsedMS, r.RampMS)
	}
	if r.Reason != "" {
		text += ", " + r.Reason
	}
	return text
}

func routerState(r *api.RouterStatus) string {
	switch {
	case r.Leaving:
		return "leaving"
	case r.LeaseMS == 0:
		return "no lease"
	default:
		return "live"
	}
}

// configText returns the router's configuration version, or "older" if the router
// hasn't applied the newest one.
func configText(r *api.RouterStatus) string {
	if r.ConfigVersion == 0 {
		return "older"
	}
	return fmt.Sprint(r.ConfigVersion)
}

// recordsText returns "current", or the log index up to which the router has applied
// records.
func recordsText(r *api.RouterStatus) string {
	if r.Current {
		return "current"
	}
	return fmt.Sprintf("at %d", r.Applied)
}

func leaseText(r *api.RouterStatus) string { return fmt.Sprintf("%d ms", r.LeaseMS) }

func seenText(r *api.RouterStatus) string {
	if r.SeenAgoMS < 0 {
		return "not yet"
	}
	return fmt.Sprintf("%d ms ago", r.SeenAgoMS)
}
