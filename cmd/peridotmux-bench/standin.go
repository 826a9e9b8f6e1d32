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

// standInFlags are the flags of one process of stand-in targets.
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

// run serves until the process is interrupted.
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

// planned is one target to run.
type planned struct {
	addr    netip.AddrPort
	options standin.Options
}

// plan lists the targets that the flags ask for.
func (f *standInFlags) plan() ([]planned, error) {
	if f.deployment != "" {
		return f.planDeployment()
	}
	first, err := netip.ParseAddrPort(f.addr)
	if err != nil {
		return nil, err
	}
	var plans []planned
	for i := range f.count {
		o := f.opts
		o.ID = topology.TargetID(fmt.Sprintf("%s/%d", f.shard, i))
		o.Shard = topology.ShardID(f.shard)
		o.Seed += uint64(i)                                              //nolint:gosec // Small and positive.
		addr := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)) //nolint:gosec // Bounded by the ports.
		plans = append(plans, planned{addr, o})
	}
	return plans, nil
}

func (f *standInFlags) planDeployment() ([]planned, error) {
	d, err := settings.LoadDeployment(f.deployment)
	if err != nil {
		return nil, err
	}
	index := topology.NewIndex(d)
	var plans []planned
	for i := range d.Targets {
		t := &d.Targets[i]
		o := standin.OptionsFor(t, index.GroupOf(t.Shard))
		o.StartCold = f.opts.StartCold
		o.MedianServiceTime = f.opts.MedianServiceTime
		o.ServiceTimeSigma = f.opts.ServiceTimeSigma
		o.Seed = f.opts.Seed + uint64(i) //nolint:gosec // Small and positive.
		plans = append(plans, planned{t.Addr, o})
	}
	return plans, nil
}

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
