package forward

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/quarantine"
)

// attemptKind says why an attempt was made.
type attemptKind string

// The kinds of attempts, as in logs and metrics.
const (
	kindFirst attemptKind = "first"
	kindHedge attemptKind = "hedge"
	kindRetry attemptKind = "retry"
)

// kindOf returns the kind of the attempt after some others of a call.
func kindOf(earlier int, hedge bool) attemptKind {
	switch {
	case hedge:
		return kindHedge
	case earlier > 0:
		return kindRetry
	default:
		return kindFirst
	}
}

// connectionEnded reports whether the attempt's connection ended although the target may
// have begun to run the request.
func (o *Outcome) connectionEnded() bool { return o.Verdict == Unknown && o.ConnectionLost }

// targetLost reports whether the target probably crashed. One that resets a new connection
// rather has too many of them.
func (o *Outcome) targetLost() bool {
	return o.connectionEnded() && (!o.OverConnectionLimit || !errors.Is(o.Cause, syscall.ECONNRESET))
}

// lostRuns counts the attempts of a request that were lost with their targets. It is safe
// for concurrent use.
type lostRuns struct {
	mu     sync.Mutex
	byKind map[attemptKind]int
}

func (l *lostRuns) add(k attemptKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKind == nil {
		l.byKind = make(map[attemptKind]int)
	}
	l.byKind[k]++
}

// take returns the counts, nil if there are none, and begins anew.
func (l *lostRuns) take() map[attemptKind]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.byKind
	l.byKind = nil
	return counts
}

// fingerprint identifies requests that are the same to a target.
func (req *request) fingerprint() quarantine.Fingerprint {
	req.hashOnce.Do(func() {
		req.hash = quarantine.FingerprintOf(req.workspaceName(), req.method, req.host, req.uri, req.body)
	})
	return req.hash
}

// logLostRuns logs that a request lost targets, at its end.
func (s *Server) logLostRuns(req *request) {
	counts := req.lost.take()
	if counts == nil || !s.requestLog.limit.Allow() {
		return
	}
	s.cfg.Log.Warn(msgTargetsLost, "request", req.id, "after", time.Since(req.received), "fingerprint", req.fingerprint().String(),
		"first", counts[kindFirst], "hedges", counts[kindHedge], "retries", counts[kindRetry])
}
