// Package standin is a stand-in for a target: an HTTP server with slots, a
// connection cap, connection cost, cold starts, shedding, draining, index
// versions, lagging and lying health pages, and a ledger of what it ran. Tests,
// trials and the bench use it; the product doesn't.
package standin

import (
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// DefaultMedianServiceTime is the median service time.
	DefaultMedianServiceTime = 20 * time.Millisecond
	// DefaultServiceTimeSigma is the sigma of the lognormal service time.
	DefaultServiceTimeSigma = 0.5
	// DefaultHealthLag is how far health pages are behind.
	DefaultHealthLag = 2 * time.Second
	// queuePerSlot is how many searches a warm target lets wait for each slot.
	queuePerSlot = 8
	healthSample = 200 * time.Millisecond
	maxBodyBytes = 1 << 20
)

// Options sets up a Target. Zero fields of time and size take the defaults or
// mean no limit.
type Options struct {
	ID    topology.TargetID
	Shard topology.ShardID
	// Slots is the number of searches that a warm target runs at once.
	Slots int
	// MaxConnections caps the open connections, 0 for no cap.
	MaxConnections int
	// ConnectCost delays the first bytes of each connection.
	ConnectCost time.Duration
	// ColdLimit is the number of searches that a cold target carries at first.
	ColdLimit int
	// WarmAfter is the service time given after which a cold target is warm.
	WarmAfter time.Duration
	// StartCold starts the target cold.
	StartCold bool
	// MedianServiceTime and Sigma shape the lognormal service time.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	// Seed makes the service times repeatable.
	Seed uint64
	// Versions lists the index versions served, newest first.
	Versions  []uint64
	HealthLag time.Duration
	// OneWayLatency gives the network's one-way latency from a client, if set.
	OneWayLatency func(client netip.Addr) time.Duration
}

// OptionsFor returns the options that the deployment's limits give t.
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

// Result is the body of a successful answer. It lets a caller prove which
// request an answer belongs to.
type Result struct {
	RequestID string            `json:"request_id"`
	Shard     topology.ShardID  `json:"shard"`
	Target    topology.TargetID `json:"target"`
	Version   uint64            `json:"version"`
	// BodyHash is the xxhash of the request's body, in hexadecimal.
	BodyHash string `json:"body_hash"`
}

// HealthOverride changes what a health page says.
type HealthOverride func(target.Health) target.Health
