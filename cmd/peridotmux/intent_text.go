package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/api"
)

// maxNames is the number of names listed on one line, and of shards listed for one
// plan.
const maxNames = 12

func writeIntents(w *table, l *api.IntentList) {
	if l.Stale {
		w.printf("no leader is known; what follows may be outdated")
	}
	w.printf("INTENT\tKIND\tSTATE\tPLAN\tBASE\tSUBJECT\tSINCE")
	for i := range l.Intents {
		in := &l.Intents[i]
		plan, base := "", uint64(0)
		if in.Plan != nil {
			plan, base = in.Plan.ID, in.Plan.Base
		}
		since := in.History[len(in.History)-1].At.Format(time.RFC3339)
		w.printf("%s\t%s\t%s\t%s\t%d\t%s\t%s", in.ID, in.Spec.Kind, in.State, plan, base, subject(&in.Spec), since)
	}
}

// subject returns the data centre, targets and kinds that an intent names.
func subject(s *api.IntentSpec) string {
	parts := []string{string(s.DataCentre), joinNames(s.Targets), joinNames(s.Kinds)}
	return strings.TrimSpace(strings.Join(parts, " "))
}

// joinNames joins the first maxNames names with commas and adds how many follow.
func joinNames[T ~string](in []T) string {
	out := make([]string, 0, min(len(in), maxNames))
	for _, n := range in {
		if len(out) == maxNames {
			out = append(out, fmt.Sprintf("and %d more", len(in)-maxNames))
			break
		}
		out = append(out, string(n))
	}
	return strings.Join(out, ", ")
}

// formatTime returns t in RFC 3339 form, "" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}

// writeIntent prints an intent with its plan, outcome and history and, if the plan
// can be confirmed, the command that confirms it.
func writeIntent(w *table, in *api.Intent) {
	w.line("intent", in.ID)
	w.line("kind", string(in.Spec.Kind))
	w.line("subject", subject(&in.Spec))
	w.line("operator", in.Spec.Operator)
	w.line("state", string(in.State))
	if in.Plan != nil {
		writePlan(w, in.Plan)
	}
	writeOutcome(w, in)
	if in.State == api.IntentPlanned && in.Plan != nil {
		w.line("to confirm", fmt.Sprintf("peridotmux intent confirm %s --base %d", in.Plan.ID, in.Plan.Base))
	}
}

func writePlan(w *table, p *api.Plan) {
	w.line("plan", fmt.Sprintf("%s on base version %d", p.ID, p.Base))
	w.line("  quiet data centres", joinNames(p.QuietDCs))
	w.line("  quiet targets", joinNames(p.QuietTargets))
	w.line("  leaving targets", joinNames(p.LeavingTargets))
	w.line("  returning data centres", joinNames(p.ReturningDCs))
	w.line("  returning targets", joinNames(p.ReturningTargets))
	w.line("  returns at", formatTime(p.ReturnAt))
	w.line("  non-idempotent", joinNames(p.NonIdempotent))
	w.line("  idempotent again", joinNames(p.Idempotent))
	for _, c := range p.Changes {
		w.line("  change", c)
	}
	for _, g := range p.Groups {
		w.line("  group "+string(g.Group), capacityText(&g))
	}
	if p.ShardsTouched > 0 {
		w.line("  shards touched", fmt.Sprint(p.ShardsTouched))
	}
	for _, s := range p.Shards[:min(len(p.Shards), maxNames)] {
		w.line("  shard "+string(s.Shard), fmt.Sprintf("loses %d replicas, keeps %d", s.Loses, s.Left))
	}
	for _, n := range p.Notes {
		w.line("  note", n)
	}
	for _, r := range p.Refusals {
		label := "  refused"
		if r.Overridden {
			label = "  overridden"
		}
		w.line(label, strings.TrimSpace(string(r.Reason)+" "+r.Subject)+": "+r.Message)
	}
}

func capacityText(g *api.GroupCapacity) string {
	load := "assumed"
	if g.LoadReported {
		load = "reported"
	}
	return fmt.Sprintf("scarcest shard %s keeps %d of %d slots for a load of %.1f (%s)",
		g.Shard, g.SlotsLeft, g.Slots, g.Needed, load)
}

func writeOutcome(w *table, in *api.Intent) {
	o := &in.Outcome
	if o.ConfigVersion > 0 {
		w.line("configuration version", fmt.Sprint(o.ConfigVersion))
	}
	w.line("in force on", joinNames(o.InForce))
	for _, p := range o.Pending {
		w.line("lease still runs", fmt.Sprintf("%s, %d ms at most", p.VM, p.EndsInMS))
	}
	w.line("returned at", formatTime(o.ReturnedAt))
	w.line("superseded by", o.SupersededBy)
	for _, t := range in.History {
		w.line("history", fmt.Sprintf("%s %s (log index %d)", formatTime(t.At), t.State, t.Index))
	}
}
