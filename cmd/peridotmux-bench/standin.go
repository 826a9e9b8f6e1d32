package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// standInFlags are the flags of the standin command. If deployment is set, that
// file gives the targets' addresses, shards and limits; of opts, only Cold, Median,
// Sigma and Seed apply then.
type standInFlags struct {
	deployment string
	addr       string
	ledger     string
	count      int
	shard      string
	opts       standin.Options
}

func registerStandIn(app *kingpin.Application, commands map[string]func() error) {
	cmd := app.Command("standin", "Run stand-in targets until interrupted.")
	f := &standInFlags{}
	cmd.Flag("deployment", "Deployment file; all of its targets are run.").StringVar(&f.deployment)
	cmd.Flag("addr", "IP and port of the first; the others take the next ports.").StringVar(&f.addr)
	cmd.Flag("ledger", "IP and port of the ledgers' page, /ledger.").StringVar(&f.ledger)
	cmd.Flag("count", "Number of targets.").Default("1").IntVar(&f.count)
	cmd.Flag("shard", "The shard that all of them serve.").Default("shard").StringVar(&f.shard)
	cmd.Flag("slots", "Searches that a warm target runs at once.").Default("3").IntVar(&f.opts.Slots)
	cmd.Flag("connections", "Cap of open connections, 0 for none.").Default("30").IntVar(&f.opts.MaxConnections)
	cmd.Flag("connect-cost", "Time that a new connection takes.").Default("6ms").DurationVar(&f.opts.ConnectCost)
	cmd.Flag("cold-limit", "Searches that a cold target carries.").Default("1").IntVar(&f.opts.ColdLimit)
	cmd.Flag("warm-after", "Work after which a cold target is warm.").Default("5s").DurationVar(&f.opts.WarmAfter)
	cmd.Flag("cold", "Start cold.").BoolVar(&f.opts.StartCold)
	cmd.Flag("median", "Median of the service time.").Default(standin.DefaultMedianServiceTime.String()).DurationVar(&f.opts.MedianServiceTime)
	cmd.Flag("sigma", "Sigma of the lognormal service time; 0 for an even one.").Default("0.5").Float64Var(&f.opts.ServiceTimeSigma)
	cmd.Flag("seed", "Seed of the service times.").Default("1").Uint64Var(&f.opts.Seed)
	commands[cmd.FullCommand()] = f.run
}

// run serves the targets, and the ledger page if its address is set, until the
// process receives SIGINT or SIGTERM.
func (f *standInFlags) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	plans, err := f.plan()
	if err != nil {
		return err
	}
	var targets []*standin.Target
	for _, p := range plans {
		t := standin.New(p.options)
		if err := t.Listen(p.addr); err != nil {
			return err
		}
		defer t.Close()
		targets = append(targets, t)
	}
	if f.ledger == "" {
		<-ctx.Done()
		return nil
	}
	return servePage(ctx, f.ledger, standin.LedgerHandler(targets))
}

// plannedTarget is one target to run, with the address that it listens on.
type plannedTarget struct {
	addr    netip.AddrPort
	options standin.Options
}

// plan returns the targets to run. Without a deployment file, they take
// consecutive ports and seeds.
func (f *standInFlags) plan() ([]plannedTarget, error) {
	if f.deployment != "" {
		return f.planDeployment()
	}
	first, err := netip.ParseAddrPort(f.addr)
	if err != nil {
		return nil, err
	}
	var plans []plannedTarget
	for i := range f.count {
		o := f.opts
		o.ID = topology.TargetID(fmt.Sprintf("%s/%d", f.shard, i))
		o.Shard = topology.ShardID(f.shard)
		o.Seed += uint64(i)                                              //nolint:gosec // Small and positive.
		addr := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)) //nolint:gosec // Bounded by the ports.
		plans = append(plans, plannedTarget{addr, o})
	}
	return plans, nil
}

// planDeployment returns one entry for each target of the deployment file. The
// flags set only the cold start, the service times and the seed.
func (f *standInFlags) planDeployment() ([]plannedTarget, error) {
	d, err := settings.LoadDeployment(f.deployment)
	if err != nil {
		return nil, err
	}
	index := topology.NewIndex(d)
	var plans []plannedTarget
	for i := range d.Targets {
		t := &d.Targets[i]
		o := standin.OptionsFor(t, index.GroupOf(t.Shard))
		o.StartCold = f.opts.StartCold
		o.MedianServiceTime = f.opts.MedianServiceTime
		o.ServiceTimeSigma = f.opts.ServiceTimeSigma
		o.Seed = f.opts.Seed + uint64(i) //nolint:gosec // Small and positive.
		plans = append(plans, plannedTarget{t.Addr, o})
	}
	return plans, nil
}

// servePage serves page at addr until ctx ends or the server fails.
func servePage(ctx context.Context, addr string, page http.Handler) error {
	server := &http.Server{Addr: addr, Handler: page, ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return server.Close()
	}
}
