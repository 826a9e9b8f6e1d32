package clientlimit

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/telemetry"
)

// cause is why a client was refused or closed.
type cause int

const (
	causeMemory cause = iota
	causeConnections
	causeBody
	causeAnswer
	causePipelined

	causes = iota
)

// causeNames are the causes' names in logs and metrics.
var causeNames = [causes]string{"memory", "connections", "slow body", "answer not read", "pipelined"}

// reportInterval is the time between two log lines about limited clients.
const reportInterval = time.Second

// reporter counts limited clients and logs them at most once in reportInterval.
type reporter struct {
	account *Account
	log     *slog.Logger
	metrics telemetry.Clients
	counts  [causes]atomic.Int64
	// next is when the next line may be written, in ns since the account's start.
	next atomic.Int64
}

// add notes that a client of a class was refused or closed.
func (r *reporter) add(class Class, why cause) {
	r.metrics.Limited(class.String(), causeNames[why])
	r.counts[why].Add(1)
	now, next := int64(r.account.now()), r.next.Load()
	if r.log == nil || now < next || !r.next.CompareAndSwap(next, now+int64(reportInterval)) {
		return
	}
	attrs := []any{"class", class.String(), "held", r.account.Held(), "allowed", r.account.limits.Bytes}
	for i, name := range causeNames {
		if n := r.counts[i].Swap(0); n > 0 {
			attrs = append(attrs, name, n)
		}
	}
	r.log.Warn("clients limited", attrs...)
}
