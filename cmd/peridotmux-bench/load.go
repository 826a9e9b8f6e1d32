package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/bench/plain"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
)

// loadFlags are the flags of the load command. One of routers and direct is
// required; direct takes precedence.
type loadFlags struct {
	routers []string
	direct  string
	kind    string
	load    plain.Load
}

func registerLoad(app *kingpin.Application, commands map[string]func() error) {
	cmd := app.Command("load", "Send queries to all shards, through routers or straight to targets.")
	f := &loadFlags{}
	cmd.Flag("router", "HTTP address of a router; may be given several times.").StringsVar(&f.routers)
	cmd.Flag("direct", "Deployment file; its targets are called without a router.").StringVar(&f.direct)
	cmd.Flag("kind", "Kind of query.").Required().StringVar(&f.kind)
	cmd.Flag("rate", "Queries a second.").Default("100").Float64Var(&f.load.Rate)
	cmd.Flag("duration", "How long.").Default("10s").DurationVar(&f.load.Duration)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&f.load.Seed)
	commands[cmd.FullCommand()] = f.run
}

// run sends the load and prints its result to standard output as one JSON
// object.
func (f *loadFlags) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	caller, err := f.caller()
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(plain.Run(ctx, f.load, caller))
}

// caller returns a client of the routers or, with --direct, of the targets of a
// deployment file. It fails with a *NoDestinationError if neither is set.
func (f *loadFlags) caller() (plain.Caller, error) {
	kind := topology.KindName(f.kind)
	if f.direct == "" {
		if len(f.routers) == 0 {
			return nil, &NoDestinationError{}
		}
		return plain.NewRouterCaller(f.routers, kind), nil
	}
	d, err := settings.LoadDeployment(f.direct)
	if err != nil {
		return nil, err
	}
	return plain.NewDirectCaller(d, kind)
}

// NoDestinationError reports that neither --router nor --direct is set.
type NoDestinationError struct{}

// Error implements error.
func (e *NoDestinationError) Error() string { return "either --router or --direct is needed" }
