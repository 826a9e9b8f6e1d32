// Package telemetry provides the observability of a process: loggers, metrics and
// health checks, and an HTTP server with limits.
package telemetry

import (
	"context"
	"io"
	"log/slog"

	"github.com/peridotmux/peridotmux/settings"
)

// attrPart is the key of the log attribute that names the part of the process.
const attrPart = "part"

// Logs creates a logger for each part of a process, each with its own level.
type Logs struct {
	handler slog.Handler
	level   slog.Level
	parts   map[settings.Part]slog.Level
}

// NewLogs returns loggers that write to w in the format and with the levels of l.
func NewLogs(w io.Writer, l settings.Log) *Logs {
	// The handler accepts all levels; levelHandler filters by the level of the part.
	options := &slog.HandlerOptions{Level: slog.LevelDebug}
	logs := &Logs{level: l.Level, parts: l.Parts}
	if l.Format == settings.LogText {
		logs.handler = slog.NewTextHandler(w, options)
	} else {
		logs.handler = slog.NewJSONHandler(w, options)
	}
	return logs
}

// Logger returns the logger of part p.
func (l *Logs) Logger(p settings.Part) *slog.Logger {
	level, ok := l.parts[p]
	if !ok {
		level = l.level
	}
	return slog.New(&levelHandler{level, l.handler}).With(attrPart, string(p))
}

// levelHandler is a handler that drops records below its level.
type levelHandler struct {
	level slog.Level
	slog.Handler
}

// Enabled implements slog.Handler.
func (h *levelHandler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

// WithAttrs implements slog.Handler.
func (h *levelHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &levelHandler{h.level, h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *levelHandler) WithGroup(name string) slog.Handler {
	return &levelHandler{h.level, h.Handler.WithGroup(name)}
}
