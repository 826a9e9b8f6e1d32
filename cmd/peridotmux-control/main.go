// Command peridotmux-control runs one member of the replicated control plane.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/control/daemon"
	"github.com/peridotmux/peridotmux/settings"
)

const exitFailed = 1

func main() {
	app := kingpin.New("peridotmux-control", "Keeps the state that the system's processes share.")
	path := app.Flag("settings", "The member's settings file.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	cfg, err := settings.LoadControl(*path)
	if err != nil {
		app.Errorf("%s", err)
		os.Exit(exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx, cfg, os.Stderr); err != nil {
		slog.Error("control member failed", "error", trace.UserMessage(err), "report", trace.DebugReport(err))
		os.Exit(exitFailed)
	}
}
