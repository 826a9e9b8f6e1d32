// Package topology defines the static configuration of a deployment: data
// centres, VMs, groups, shards and targets. Its values are immutable once built
// and are shared between goroutines without locks.
package topology

import (
	"net/netip"
	"time"
)

// Region names a set of data centres that share one control group.
type Region string

// DataCentre names one data centre.
type DataCentre string

// VMName names one VM that runs a process of the system.
type VMName string

// TargetID names one target, a replica of one shard.
type TargetID string

// ShardID names one shard, unique over all groups ("agent-desk/03").
type ShardID string

// GroupName names a back-end group, a set of shards with the same limits.
type GroupName string

// KindName names a kind of query, such as "price-sweep".
type KindName string

// Target is one replica of a shard.
type Target struct {
	ID         TargetID
	Shard      ShardID
	Group      GroupName
	DataCentre DataCentre
	Addr       netip.AddrPort
}

// Group holds the limits that all targets of one back-end group share.
type Group struct {
	Name GroupName
	// Slots is the number of concurrent requests that a warm target can process.
	Slots int
	// Connections is the number of connections that a target accepts.
	Connections int
	// ConnectCost is the time that establishing a connection takes.
	ConnectCost time.Duration
	// ColdLimit is the number of concurrent requests that a cold target can
	// process.
	ColdLimit int
	// WarmAfter is the total service time after which a cold target is warm.
	WarmAfter time.Duration
	// Shards lists the group's shards in the order of the deployment.
	Shards []ShardID
}

// Policy determines how long a query waits for shards.
type Policy string

const (
	// PolicyCoverage waits for every shard until the deadline.
	PolicyCoverage Policy = "coverage"
	// PolicyLatency returns early once the minimum coverage is reached.
	PolicyLatency Policy = "latency"
)

// Kind holds the defaults for one kind of query.
type Kind struct {
	Name KindName
	// Weight is the kind's relative share of service under overload and in
	// weighted measurements.
	Weight float64
	Policy Policy
	// MinCoverage is the fraction of shards, 0 to 1, below which a query is refused
	// instead of answered.
	MinCoverage float64
	// Deadline is the default time limit of a query.
	Deadline   time.Duration
	Idempotent bool
}

// VM is one VM of the system itself: an entry VM, or a VM with a disk that runs
// control.
type VM struct {
	Name       VMName
	DataCentre DataCentre
	// RPC is the address for other processes of the system.
	RPC netip.AddrPort
	// HTTP is the address for callers or operators.
	HTTP netip.AddrPort
}

// Deployment is one version of the configuration that operators provide. It is
// replicated as JSON; field names are part of the stored format.
type Deployment struct {
	Name        string
	Region      Region
	DataCentres []DataCentre
	Groups      []Group
	Targets     []Target
	Kinds       []Kind
	// HedgeBudget is the fraction, 0 to 1, of extra sub-requests that hedges may
	// add.
	HedgeBudget float64
	// RetryBudget is the fraction, 0 to 1, of extra sub-requests that retries may
	// add.
	RetryBudget float64
}
