package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
	"github.com/peridotmux/peridotmux/examples"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
	"github.com/peridotmux/peridotmux/trial"
)

const (
	// trialMembers and trialRouters are the numbers of control members and routers.
	trialMembers = 3
	trialRouters = 4
	// trialStartTimeout bounds the wait until every router answers completely.
	trialStartTimeout = 20 * time.Second
	// tourIntentTimeout bounds the wait until a confirmed intent is in force.
	tourIntentTimeout = 10 * time.Second
	// tourPollInterval is the interval at which an intent's state is polled.
	tourPollInterval = 100 * time.Millisecond
)

// NotInForceError reports that an intent was not in force within tourIntentTimeout.
// State is its last known state.
type NotInForceError struct {
	Intent string
	State  api.IntentState
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return "intent " + e.Intent + " is still " + string(e.State)
}

func registerTrial(app *kingpin.Application, commands commandSet) {
	cmd := app.Command("trial", "Run a whole system in one process, with stand-in targets.")
	name := cmd.Flag("deployment", "Example deployment.").Default("duenger").Enum(examples.Names()...)
	tour := cmd.Flag("tour", "Run a query, take a data centre out, bring it back, and end.").Bool()
	logs := cmd.Flag("logs", "Print the processes' log lines.").Bool()
	commands[cmd.FullCommand()] = func() error { return runTrial(*name, *tour, *logs) }
}

// runTrial runs the named example deployment in a temporary data folder until the
// tour ends or, without tour, until the process receives SIGINT or SIGTERM.
func runTrial(name string, tour, logs bool) error {
	deployment, err := examples.Deployment(name)
	if err != nil {
		return trace.Wrap(err)
	}
	dir, err := os.MkdirTemp("", "peridotmux-trial-")
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cfg := trial.Config{
		Deployment: deployment, Members: trialMembers, Routers: trialRouters, DataDir: dir,
		Log: settings.Log{Format: settings.LogText},
	}
	if logs {
		cfg.LogOutput = os.Stderr
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := startTrial(ctx, cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = s.Stop() }()
	if tour {
		return runTour(ctx, os.Stdout, s)
	}
	printHints(os.Stdout, s)
	<-ctx.Done()
	return nil
}

// startTrial starts a system and waits until it is ready. It stops the system if
// that takes longer than trialStartTimeout.
func startTrial(ctx context.Context, cfg trial.Config) (*trial.System, error) {
	s, err := trial.Start(cfg)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, trialStartTimeout)
	defer cancel()
	if err := s.WaitReady(ctx); err != nil {
		_ = s.Stop()
		return nil, trace.Wrap(err)
	}
	return s, nil
}

func printHints(w io.Writer, s *trial.System) {
	out := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	out("%d targets, %d control members and %d routers run.", len(s.Targets), len(s.Members), len(s.Routers))
	out("In another shell:")
	out("  export PERIDOTMUX_ROUTER=%s", s.Routers[0].VM.HTTP)
	out("  export PERIDOTMUX_CONTROL=%s", s.ControlHTTP()[0])
	out("  peridotmux query --kind %s", s.Deployment.Kinds[0].Name)
	out("  peridotmux status")
	out("  peridotmux intent take-out --dc %s", s.Deployment.DataCentres[0])
	out("Ctrl-C ends it.")
}

// tourRunner runs the steps of a tour and prints their results.
type tourRunner struct {
	ctx    context.Context
	w      io.Writer
	system *trial.System
	client *adminclient.Client
}

// runTour runs a query before a data centre is taken out, while it is out, and after
// it is brought back.
func runTour(ctx context.Context, w io.Writer, s *trial.System) error {
	t := &tourRunner{ctx: ctx, w: w, system: s, client: adminclient.New(s.ControlHTTP())}
	t.printf("%d targets in %d shards, %d control members, %d routers", len(s.Targets),
		len(topology.NewIndex(s.Deployment).Shards()), len(s.Members), len(s.Routers))
	dc := s.Deployment.DataCentres[0]
	steps := []func() error{
		func() error { return t.query("A query to all shards") },
		func() error {
			return t.intent("Take "+string(dc)+" out", api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dc})
		},
		func() error { return t.query("The same query, with " + string(dc) + " quiet") },
		func() error {
			return t.intent("Bring "+string(dc)+" back", api.IntentSpec{Kind: api.IntentBringBack, DataCentre: dc})
		},
		func() error { return t.query("The same query, with all back") },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (t *tourRunner) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t *tourRunner) query(title string) error {
	t.printf("\n== %s", title)
	q := &api.Query{Kind: t.system.Deployment.Kinds[0].Name}
	begin := time.Now()
	a, err := runQuery(t.ctx, t.system.Routers[0].VM.HTTP.String(), q)
	if err != nil {
		return trace.Wrap(err)
	}
	t.printf("covered %d of %d shards from snapshot %d in %d ms; first result: %s", a.Covered, a.Asked,
		a.Snapshot, time.Since(begin).Milliseconds(), shorten(string(a.Results[0].Body)))
	for _, m := range a.Missing {
		t.printf("missing %s: %s", m.Shard, m.Reason)
	}
	return nil
}

// intent submits an intent, confirms its plan and waits until it is in force.
func (t *tourRunner) intent(title string, spec api.IntentSpec) error {
	t.printf("\n== %s", title)
	in, err := t.client.Submit(t.ctx, &api.Submission{Command: adminclient.NewCommandNumber(), Intent: spec})
	if err != nil {
		return trace.Wrap(err)
	}
	table := newTable(t.w)
	writeIntent(table, in)
	if err := table.flush(); err != nil {
		return trace.Wrap(err)
	}
	begin := time.Now()
	_, err = t.client.Confirm(t.ctx, in.Plan.ID, &api.Confirmation{
		Command: adminclient.NewCommandNumber(), Base: in.Plan.Base,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	settled, err := t.awaitInForce(in.ID)
	if err != nil {
		return trace.Wrap(err)
	}
	t.printf("confirmed; %s on %d routers after %d ms", settled.State, len(settled.Outcome.InForce),
		time.Since(begin).Milliseconds())
	return nil
}

// awaitInForce polls the intent until it is in force, i.e. applied by at least one
// router, or settled. It fails with a *NotInForceError after tourIntentTimeout.
func (t *tourRunner) awaitInForce(id string) (*api.Intent, error) {
	ctx, cancel := context.WithTimeout(t.ctx, tourIntentTimeout)
	defer cancel()
	for {
		in, err := t.client.Intent(ctx, id)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if in.State == api.IntentInForce || in.State == api.IntentSettled {
			return in, nil
		}
		select {
		case <-ctx.Done():
			return nil, &NotInForceError{Intent: id, State: in.State}
		case <-time.After(tourPollInterval):
		}
	}
}
