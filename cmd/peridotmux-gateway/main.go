// Command peridotmux-gateway runs one gateway, a router that forwards callers' HTTP
// requests to targets.
package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/gateway"
	"github.com/peridotmux/peridotmux/platform"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

const exitFailed = 1

func main() {
	app := kingpin.New("peridotmux-gateway", "Passes callers' requests on to targets.")
	path := app.Flag("settings", "The gateway's settings file.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	cfg, err := settings.LoadGateway(*path)
	if err != nil {
		app.Errorf("%s", err)
		os.Exit(exitFailed)
	}
	telemetry.LimitMemory(cfg.MemoryMB)
	out := telemetry.NewAsyncWriter(os.Stdout)
	log := telemetry.NewLogs(out, cfg.Log).Logger(settings.PartRouter)
	current := settings.Watch(cfg, func() (*settings.Gateway, error) { return settings.LoadGateway(*path) }, *path, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = gateway.Run(ctx, gateway.Config{
		Settings:  cfg,
		Headers:   platform.Headers(),
		PathReady: platform.PathReady,
		Decode:    platform.DecodeRoutes,
		NewReader: func(l *slog.Logger, m *telemetry.List) discovery.Reader {
			return platform.NewListReader(cfg.TargetList.Addr, l, m)
		},
		Seeds: func() []netip.AddrPort { return current().Control },
	}, out)
	if err != nil {
		log.Error("gateway failed", "error", trace.UserMessage(err), "report", trace.DebugReport(err))
	}
	out.Flush(telemetry.FlushTimeout)
	if err != nil {
		os.Exit(exitFailed)
	}
}
