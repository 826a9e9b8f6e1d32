package main

import (
	"errors"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
)

func registerIntents(app *kingpin.Application, commands commandSet) {
	group := app.Command("intent", "State, confirm and follow intents.")
	registerTakeOut(group, commands)
	registerBringBack(group, commands)
	registerLeave(group, commands)
	registerConfigure(group, commands)
	registerNonIdempotent(group, commands)
	registerConfirm(group, commands)
	registerWithdraw(group, commands)
	registerList(group, commands)
	registerShow(group, commands)
}

// intentFlags are the flags of every command that submits an intent.
type intentFlags struct {
	commandFlags
	operator  *string
	overrides *[]string
}

func addIntentFlags(cmd *kingpin.CmdClause) intentFlags {
	return intentFlags{
		commandFlags: addCommandFlags(cmd),
		operator:     cmd.Flag("operator", "Who states the intent; it is recorded.").Envar("USER").String(),
		overrides: cmd.Flag("override",
			"Reason for a refusal to take on; it is recorded. May be given several times.").Strings(),
	}
}

// submit submits the intent with the shared flags and prints the resulting plan.
func (s intentFlags) submit(spec api.IntentSpec) error {
	spec.Operator = *s.operator
	for _, o := range *s.overrides {
		spec.Overrides = append(spec.Overrides, api.PlanReason(o))
	}
	client, ctx, cancel := s.client()
	defer cancel()
	in, err := client.Submit(ctx, &api.Submission{Command: s.commandNumber(), Intent: spec})
	if err != nil {
		return s.printRefusal(err)
	}
	return show(s.controlFlags, in, writeIntent)
}

// printRefusal prints the details of err if it is an *api.Refusal: as JSON to
// standard output with --json, otherwise the refused intent and the conflict to
// standard error. It returns err unless printing fails.
func (f controlFlags) printRefusal(err error) error {
	var refusal *api.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	if *f.json {
		if e := show(f, refusal, nil); e != nil {
			return e
		}
		return err
	}
	w := newTable(os.Stderr)
	if refusal.Intent != nil {
		writeIntent(w, refusal.Intent)
	}
	if c := refusal.Conflict; c != nil {
		w.printf("won:\t%s %s (%s), base version now %d", c.Intent, c.Kind, c.State, c.Base)
	}
	if e := w.flush(); e != nil {
		return e
	}
	return err
}

func registerTakeOut(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("take-out", "Make a data centre or targets quiet.")
	dc := cmd.Flag("dc", "The data centre.").String()
	targets := cmd.Flag("target", "A target; may be given several times.").Strings()
	returnAt := cmd.Flag("return-at", "When it returns by itself (RFC 3339).").String()
	returnAfter := cmd.Flag("return-after", "After how long it returns by itself.").Duration()
	s := addIntentFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		at, err := returnTime(*returnAt, *returnAfter)
		if err != nil {
			return err
		}
		return s.submit(api.IntentSpec{
			Kind: api.IntentTakeOut, DataCentre: topology.DataCentre(*dc), Targets: targetIDs(*targets), ReturnAt: at,
		})
	}
}

// returnTime returns the return time of a take-out: at if it is set, otherwise the
// current time plus after, in whole seconds. It is zero if neither is set.
func returnTime(at string, after time.Duration) (time.Time, error) {
	if at != "" {
		return time.Parse(time.RFC3339, at)
	}
	if after > 0 {
		return time.Now().Add(after).UTC().Truncate(time.Second), nil
	}
	return time.Time{}, nil
}

func targetIDs(names []string) []topology.TargetID {
	out := make([]topology.TargetID, len(names))
	for i, n := range names {
		out[i] = topology.TargetID(n)
	}
	return out
}

func registerBringBack(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("bring-back", "Bring a data centre or targets back.")
	dc := cmd.Flag("dc", "The data centre.").String()
	targets := cmd.Flag("target", "A target; may be given several times.").Strings()
	s := addIntentFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		return s.submit(api.IntentSpec{
			Kind: api.IntentBringBack, DataCentre: topology.DataCentre(*dc), Targets: targetIDs(*targets),
		})
	}
}

func registerLeave(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("leave", "Let targets leave for good.")
	targets := cmd.Flag("target", "A target; may be given several times.").Required().Strings()
	s := addIntentFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		return s.submit(api.IntentSpec{Kind: api.IntentLeave, Targets: targetIDs(*targets)})
	}
}

func registerConfigure(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("configure", "State the deployment that should hold.")
	path := cmd.Arg("file", "The deployment's settings file.").Required().String()
	s := addIntentFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		d, err := settings.LoadDeployment(*path)
		if err != nil {
			return err
		}
		return s.submit(api.IntentSpec{Kind: api.IntentConfigure, Deployment: d})
	}
}

func registerNonIdempotent(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("non-idempotent", "Declare kinds of queries non-idempotent.")
	kinds := cmd.Arg("kind", "A kind of query.").Required().Strings()
	lift := cmd.Flag("lift", "Lift the declaration.").Bool()
	s := addIntentFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		spec := api.IntentSpec{Kind: api.IntentNonIdempotent, Lift: *lift}
		for _, k := range *kinds {
			spec.Kinds = append(spec.Kinds, topology.KindName(k))
		}
		return s.submit(spec)
	}
}

func registerConfirm(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("confirm", "Confirm a plan.")
	plan := cmd.Arg("plan", "The plan's id.").Required().String()
	base := cmd.Flag("base", "The plan's base version, as it was shown.").Required().Uint64()
	f := addCommandFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		in, err := client.Confirm(ctx, *plan, &api.Confirmation{Command: f.commandNumber(), Base: *base})
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f.controlFlags, in, writeIntent)
	}
}

func registerWithdraw(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("withdraw", "Withdraw an intent that isn't confirmed.")
	id := cmd.Arg("intent", "The intent's id.").Required().String()
	f := addCommandFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		in, err := client.Withdraw(ctx, *id, &api.Withdrawal{Command: f.commandNumber()})
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f.controlFlags, in, writeIntent)
	}
}

func registerList(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("list", "List intents, newest first.")
	f := addControlFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		list, err := client.Intents(ctx)
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f, list, writeIntents)
	}
}

func registerShow(group *kingpin.CmdClause, commands commandSet) {
	cmd := group.Command("show", "Show an intent with its plan and outcome.")
	id := cmd.Arg("intent", "The id of the intent or of its plan.").Required().String()
	f := addControlFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		in, err := client.Intent(ctx, *id)
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f, in, writeIntent)
	}
}
