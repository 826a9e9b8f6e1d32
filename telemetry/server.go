package telemetry

import (
	"errors"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/settings"
)

// busyRetryAfter is what a server with too many requests tells its clients.
const busyRetryAfter = time.Second

// PathPprof is where profiles are served if the settings allow it.
const PathPprof = "/debug/pprof/"

// NewServer returns an HTTP server that keeps the bounds and survives panics of
// its handlers. Health pages stay reachable when too many requests are served.
func NewServer(h http.Handler, b settings.Bounds, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           Recover(log, Limit(b.InFlight, h)),
		MaxHeaderBytes:    b.HeaderBytes,
		ReadHeaderTimeout: b.ReadHeaderTimeout,
		ReadTimeout:       b.ReadTimeout,
		WriteTimeout:      b.WriteTimeout,
		IdleTimeout:       b.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
}

// Limit refuses requests over the given number at once, before they're read.
func Limit(inFlight int, next http.Handler) http.Handler {
	slots := make(chan struct{}, inFlight)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isHealthPage(r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			WriteRefusal(w, &api.Refusal{
				Code:         api.CodeOverloaded,
				Message:      "too many requests are being served",
				Execution:    api.NotRun,
				RetryAfterMS: busyRetryAfter.Milliseconds(),
				Status:       http.StatusServiceUnavailable,
			})
		}
	})
}

func isHealthPage(path string) bool {
	return path == api.PathLive || path == api.PathReady || path == api.PathMetrics
}

// WriteRefusal answers with a refusal.
func WriteRefusal(w http.ResponseWriter, r *api.Refusal) {
	if r.RetryAfterMS > 0 {
		seconds := (r.RetryAfterMS + time.Second.Milliseconds() - 1) / time.Second.Milliseconds()
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	status := r.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, r)
}

// RefuseHandler answers every request with one refusal.
func RefuseHandler(r *api.Refusal) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { WriteRefusal(w, r) })
}

// Recover turns a handler's panic into a log line and a refusal, which can't
// say that nothing ran. Once an answer is begun it cuts the connection, so that
// no half of an answer passes for a whole one.
func Recover(log *slog.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun := &beginWatcher{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			log.Error("handler panicked", "path", r.URL.Path, "cause", cause, "stack", string(debug.Stack()))
			if begun.begun {
				panic(http.ErrAbortHandler)
			}
			WriteRefusal(w, &api.Refusal{
				Code:      api.CodeInternal,
				Message:   "the request failed inside the router",
				Execution: api.OutcomeUnknown,
				Status:    http.StatusInternalServerError,
			})
		}()
		next.ServeHTTP(begun, r)
	})
}

// beginWatcher notices that an answer is begun.
type beginWatcher struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the answer.
func (w *beginWatcher) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if WriteHeader didn't.
func (w *beginWatcher) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *beginWatcher) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// PprofHandler serves profiles under PathPprof.
func PprofHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(PathPprof, pprof.Index)
	m.HandleFunc(PathPprof+"cmdline", pprof.Cmdline)
	m.HandleFunc(PathPprof+"profile", pprof.Profile)
	m.HandleFunc(PathPprof+"symbol", pprof.Symbol)
	m.HandleFunc(PathPprof+"trace", pprof.Trace)
	return m
}
