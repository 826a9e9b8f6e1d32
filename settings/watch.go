package settings

import (
	"bytes"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// watchInterval is the polling interval of a settings file, which may change
// without a signal.
const watchInterval = time.Second

// Watch reloads the settings when the process receives SIGHUP or the file at path
// changes, and returns a function that returns the newest settings. If load fails,
// the old settings stay in force. Watch runs until the process exits.
func Watch[T any](first *T, load func() (*T, error), path string, log *slog.Logger) func() *T {
	var current atomic.Pointer[T]
	current.Store(first)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	seen, _ := os.ReadFile(path) // The caller has just read the file; the next poll reports a failure.
	go func() {
		tick := time.NewTicker(watchInterval)
		defer tick.Stop()
		for {
			bySignal := false
			select {
			case <-hup:
				bySignal = true
			case <-tick.C:
			}
			now, err := os.ReadFile(path)
			if err == nil && bytes.Equal(now, seen) {
				if bySignal {
					log.Info("reload", "cause", "signal", "changed", false)
				}
				continue
			}
			seen = now
			next, err := load()
			if err != nil {
				log.Error("reload failed; the old settings stay in force", "signal", bySignal, "error", err)
				continue
			}
			current.Store(next)
			log.Info("reload", "signal", bySignal, "changed", true)
		}
	}()
	return current.Load
}
