// Command apidoc prints docs/API.md. It starts a small system in this process,
// sends every example request to it and prints the request with the response
// that the system returned.
package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/trial"
)

const (
	// startTimeout is the time within which the system must become ready.
	startTimeout = 30 * time.Second
	// exampleDeployment is the deployment of the system that runs the examples.
	exampleDeployment = `[deployment]
name = small
region = one
data_centres = dc-a, dc-b, dc-c
hedge_budget = 0.02
retry_budget = 0.02
[group prices]
slots = 3
connections = 30
connect_cost = 1ms
cold_limit = 1
warm_after = 1s
[kind price-sweep]
weight = 5
policy = coverage
min_coverage = 0.5
deadline = 500ms
idempotent = yes
[kind order-confirmation]
weight = 4
policy = coverage
min_coverage = 1
deadline = 2s
idempotent = no
[shard prices/00]
replicas = dc-a 127.0.0.1:9001 left, dc-b 127.0.0.1:9002 right
[shard prices/01]
replicas = dc-b 127.0.0.1:9003 left, dc-c 127.0.0.1:9004 right
`
)

func main() {
	app := kingpin.New("apidoc", "Prints the API's page with examples that were run.")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(); err != nil {
		app.Fatalf("%s", err)
	}
}

// run starts the system, writes the page to standard output and stops the
// system.
func run() error {
	d, err := settings.ParseDeployment("small.ini", []byte(exampleDeployment))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "peridotmux-apidoc-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := trial.Start(trial.Config{Deployment: d, Members: 3, Routers: 2, DataDir: dir})
	if err != nil {
		return err
	}
	defer func() { _ = s.Stop() }()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := s.WaitReady(ctx); err != nil {
		return err
	}
	p := &page{w: os.Stdout, system: s}
	p.write()
	return p.err
}
