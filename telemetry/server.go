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

// overloadRetryAfter is the Retry-After of requests over the limit.
const overloadRetryAfter = time.Second

// PathPprof is the path of profiles, served only if the settings allow it.
const PathPprof = "/debug/pprof/"

// NewServer returns an HTTP server that enforces the bounds and recovers from
// panics in its handlers. Health pages and metrics are exempt from the limit on
// in-flight requests.
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

// Limit refuses requests while inFlight others are being served, before reading
// their bodies. Health pages and metrics are exempt.
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
				RetryAfterMS: overloadRetryAfter.Milliseconds(),
				Status:       http.StatusServiceUnavailable,
			})
		}
	})
}

func isHealthPage(path string) bool {
	return path == api.PathLive || path == api.PathReady || path == api.PathMetrics
}

// WriteRefusal writes a refusal as JSON, with its status, 500 if it has none, and
// a Retry-After header in seconds, rounded up, if it has one.
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

// RefuseHandler returns a handler that answers every request with r.
func RefuseHandler(r *api.Refusal) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { WriteRefusal(w, r) })
}

// Recover logs a panic of next and answers with a refusal whose execution is
// unknown, since the request may have run in part. If the answer was started
// before the panic, it aborts the connection instead, so that a truncated answer
// cannot be taken for a complete one.
func Recover(log *slog.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &startRecorder{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			log.Error("handler panicked", "path", r.URL.Path, "cause", cause, "stack", string(debug.Stack()))
			if recorder.started {
				panic(http.ErrAbortHandler)
			}
			WriteRefusal(w, &api.Refusal{
				Code:      api.CodeInternal,
				Message:   "the request failed inside the router",
				Execution: api.OutcomeUnknown,
				Status:    http.StatusInternalServerError,
			})
		}()
		next.ServeHTTP(recorder, r)
	})
}

// startRecorder is a ResponseWriter that records whether the answer was started.
type startRecorder struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startRecorder) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startRecorder) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *startRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// PprofHandler returns a handler that serves profiles under PathPprof.
func PprofHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(PathPprof, pprof.Index)
	m.HandleFunc(PathPprof+"cmdline", pprof.Cmdline)
	m.HandleFunc(PathPprof+"profile", pprof.Profile)
	m.HandleFunc(PathPprof+"symbol", pprof.Symbol)
	m.HandleFunc(PathPprof+"trace", pprof.Trace)
	return m
}
