// Package telemetry sets up what a process tells of itself: log lines, metrics,
// health pages, and an HTTP server with bounds.
package telemetry

import (
	"context"
	"io"
	"log/slog"

	"github.com/peridotmux/peridotmux/settings"
)

// attrPart is the attribute that names a line's part.
const attrPart = "part"

// Logs gives each part of a process its logger.
type Logs struct {
	handler slog.Handler
	level   slog.Level
	parts   map[settings.Part]slog.Level
}

// NewLogs returns loggers that write to w as l says.
func NewLogs(w io.Writer, l settings.Log) *Logs {
	// The handler lets all through; the part's own level decides.
	options := &slog.HandlerOptions{Level: slog.LevelDebug}
	logs := &Logs{level: l.Level, parts: l.Parts}
	if l.Format == settings.LogText {
		logs.handler = slog.NewTextHandler(w, options)
	} else {
		logs.handler = slog.NewJSONHandler(w, options)
	}
	return logs
}

// Logger returns the logger of one part.
func (l *Logs) Logger(p settings.Part) *slog.Logger {
	level, ok := l.parts[p]
	if !ok {
		level = l.level
	}
	return slog.New(&leveled{level, l.handler}).With(attrPart, string(p))
}

// leveled drops lines under its level.
type leveled struct {
	level slog.Level
	slog.Handler
}

// Enabled reports whether lines of the given level are written.
func (h *leveled) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

// WithAttrs returns a handler that adds attributes to each line.
func (h *leveled) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &leveled{h.level, h.Handler.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h *leveled) WithGroup(name string) slog.Handler {
	return &leveled{h.level, h.Handler.WithGroup(name)}
}
