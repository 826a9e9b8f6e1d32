package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/clientlimit"
)

const (
	// operatorHeaderBytes bounds the headers of a request for the pages or the readiness.
	operatorHeaderBytes = 16 << 10
	// operatorTimeout bounds the time in which such a request is read, and its answer
	// written.
	operatorTimeout = 10 * time.Second
)

// operatorServer returns a server for the balancer's readiness check or the pages.
func (g *Gateway) operatorServer(h http.Handler) *http.Server {
	return clientlimit.Serve(&http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: operatorHeaderBytes, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	})
}
