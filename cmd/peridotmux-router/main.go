// Command peridotmux-router runs one router, which answers queries and owns targets.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/router"
	"github.com/peridotmux/peridotmux/settings"
)

const exitFailed = 1

func main() {
	app := kingpin.New("peridotmux-router", "Takes in queries and owns targets.")
	path := app.Flag("settings", "The router's settings file.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	cfg, err := settings.LoadRouter(*path)
	if err != nil {
		app.Errorf("%s", err)
		os.Exit(exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := router.RunDaemon(ctx, cfg, os.Stderr); err != nil {
		slog.Error("router failed", "error", trace.UserMessage(err), "report", trace.DebugReport(err))
		os.Exit(exitFailed)
	}
}
