// Command peridotmux-gateway-control runs one member of the control plane that
// gateways follow. The members form the consensus group without an operator.
package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/control/daemon"
	"github.com/peridotmux/peridotmux/control/orders"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/platform"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

const exitFailed = 1

func main() {
	app := kingpin.New("peridotmux-gateway-control", "Keeps the state that gateways share.")
	path := app.Flag("settings", "The member's settings file.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	cfg, err := settings.LoadSelfFormingControl(*path)
	if err != nil {
		app.Errorf("%s", err)
		os.Exit(exitFailed)
	}
	telemetry.LimitMemory(cfg.MemoryMB)
	out := telemetry.NewAsyncWriter(os.Stdout)
	log := telemetry.NewLogs(out, cfg.Log).Logger(settings.PartControl)
	current := settings.Watch(cfg, func() (*settings.SelfFormingControl, error) { return settings.LoadSelfFormingControl(*path) }, *path, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = daemon.RunSelfForming(ctx, daemon.SelfFormingConfig{
		Settings: cfg,
		NewReader: func(l *slog.Logger, m *telemetry.List) discovery.Reader {
			return platform.NewListReader(cfg.TargetList.Addr, l, m)
		},
		Decode: platform.DecodeRoutes,
		RegisterOperatorAPI: func(o *orders.Orders, self netip.AddrPort, l *slog.Logger, r *mux.Router) {
			platform.NewOperatorAPI(o, self, l).Register(r)
		},
		Seeds: func() []netip.AddrPort { return current().Seeds },
	}, out)
	if err != nil {
		log.Error("control member failed", "error", trace.UserMessage(err), "report", trace.DebugReport(err))
	}
	out.Flush(telemetry.FlushTimeout)
	if err != nil {
		os.Exit(exitFailed)
	}
}
