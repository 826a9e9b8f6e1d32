package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/bench"
)

func registerRun(app *kingpin.Application, commands map[string]func() error) {
	cmd := app.Command("run", "Run a scenario with each policy and compare.")
	req := bench.Request{}
	cmd.Arg("scenario", "The scenario.").Required().StringVar(&req.Scenario)
	cmd.Flag("deployment", "duenger or brazos.").Required().StringVar(&req.Deployment)
	cmd.Flag("seed", "Seed of arrivals, service times and faults.").Default("1").Uint64Var(&req.Load.Seed)
	cmd.Flag("load", "Share of the scarcest shard's slots that the arrivals need.").Float64Var(&req.Load.Utilization)
	cmd.Flag("duration", "Measured time of each policy.").Default("20s").DurationVar(&req.Load.Duration)
	cmd.Flag("warmup", "Time under load before that.").Default(bench.DefaultWarmup.String()).DurationVar(&req.Load.Warmup)
	cmd.Flag("queries", "Most queries measured.").IntVar(&req.Load.Queries)
	asJSON := cmd.Flag("json", "Print one JSON object as the last line.").Bool()
	static := cmd.Flag("static", "Also measure slots dealt out whole to the routers.").Bool()
	only := cmd.Flag("only", "Measure just this policy.").String()
	commands[cmd.FullCommand()] = func() error {
		req.Policies = []string{bench.PolicyNaive, bench.PolicyProduct}
		if *static {
			req.Policies = append(req.Policies, bench.PolicyStatic)
		}
		if *only != "" {
			req.Policies = []string{*only}
		}
		return run(req, *asJSON)
	}
}

// run measures each policy of the request and prints the report as a table, or as
// one JSON object if asJSON is set.
func run(req bench.Request, asJSON bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := bench.Measure(ctx, req)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return table(report)
}

// table prints the report to standard output with one column for each policy.
func table(r *bench.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s, %s, seed %d, %d queries in %.0f s\n", r.Scenario, r.Deployment, r.Seed, r.Queries, r.DurationS)
	for _, row := range r.Table() {
		for _, cell := range row {
			_, _ = fmt.Fprintf(w, "%s\t", cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}
