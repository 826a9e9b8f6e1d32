// Command apidoc runs a small system and prints docs/API.md: each example is a
// request that was sent and the answer that came.
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
	// startTimeout bounds the start of the system.
	startTimeout = 30 * time.Second
	// deployment is the one that the examples run on.
	deployment = `[deployment]
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

func run() error {
	d, err := settings.ParseDeployment("small.ini", []byte(deployment))
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
