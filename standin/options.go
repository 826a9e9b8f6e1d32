// Package standin simulates targets. A stand-in target is an HTTP server with
// slots, a connection limit, a connection cost, cold starts, load shedding,
// draining, index versions, health pages that lag or are deliberately wrong, and
// a ledger of the searches that it ran. It is used by tests, trials and
// benchmarks only.
package standin

import (
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// DefaultMedianServiceTime applies if Options.MedianServiceTime is 0.
	DefaultMedianServiceTime = 20 * time.Millisecond
	// DefaultServiceTimeSigma applies if MedianServiceTime and ServiceTimeSigma
	// are both 0.
	DefaultServiceTimeSigma = 0.5
	// DefaultHealthLag is the default age of the health that a health page shows.
	DefaultHealthLag = 2 * time.Second
	// queuePerSlot is the length of a warm target's queue per slot.
	queuePerSlot         = 8
	healthSampleInterval = 200 * time.Millisecond
	maxBodyBytes         = 1 << 20
)

// Options configures a Target. Zero durations and sizes select the defaults or
// mean no limit.
type Options struct {
	ID    topology.TargetID
	Shard topology.ShardID
	// Slots is the number of searches that a warm target runs concurrently.
	Slots int
	// MaxConnections limits the open connections; 0 means no limit.
	MaxConnections int
	// ConnectCost is the delay before a new connection's first bytes are read.
	ConnectCost time.Duration
	// ColdLimit is the number of concurrent searches that a target can run
	// without slowing down directly after a cold start.
	ColdLimit int
	// WarmAfter is the total service time after which a cold target is warm.
	WarmAfter time.Duration
	// StartCold makes the first process cold; by default it is warm.
	StartCold bool
	// MedianServiceTime and ServiceTimeSigma are the parameters of the lognormal
	// service time.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	// Seed makes the service times repeatable.
	Seed uint64
	// Versions lists the index versions served, newest first; default {1}.
	Versions  []uint64
	HealthLag time.Duration
	// OneWayLatency returns the simulated network latency between client and
	// target in one direction; nil means none.
	OneWayLatency func(client netip.Addr) time.Duration
}

// OptionsFor returns the options of target t with the limits of its group g.
func OptionsFor(t *topology.Target, g *topology.Group) Options {
	return Options{
		ID:             t.ID,
		Shard:          t.Shard,
		Slots:          g.Slots,
		MaxConnections: g.Connections,
		ConnectCost:    g.ConnectCost,
		ColdLimit:      g.ColdLimit,
		WarmAfter:      g.WarmAfter,
		Versions:       []uint64{1},
	}
}

// withDefaults returns o with the defaults for fields that are zero.
func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 1
	}
	if o.ColdLimit == 0 {
		o.ColdLimit = 1
	}
	if o.MedianServiceTime == 0 {
		o.MedianServiceTime = DefaultMedianServiceTime
		if o.ServiceTimeSigma == 0 {
			o.ServiceTimeSigma = DefaultServiceTimeSigma
		}
	}
	if o.HealthLag == 0 {
		o.HealthLag = DefaultHealthLag
	}
	if len(o.Versions) == 0 {
		o.Versions = []uint64{1}
	}
	return o
}

// Result is the body of a successful response. Its fields identify the search
// that the response belongs to, so that a caller can detect mismatches.
type Result struct {
	RequestID string            `json:"request_id"`
	Shard     topology.ShardID  `json:"shard"`
	Target    topology.TargetID `json:"target"`
	Version   uint64            `json:"version"`
	// BodyHash is the hash of the request's body, as returned by HashBody.
	BodyHash string `json:"body_hash"`
}

// HealthOverride maps the true health to the one that a health page reports.
type HealthOverride func(target.Health) target.Health
