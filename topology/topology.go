// Package topology defines the static facts of a deployment: data centres,
// VMs, groups, shards and targets. Its values are immutable once built and are
// shared between goroutines without locks.
package topology

import (
	"net/netip"
	"time"
)

// Region names a set of data centres that share one control group.
type Region string

// DataCentre names one data centre.
type DataCentre string

// VMName names one VM that runs processes of the system.
type VMName string

// TargetID names one target, a replica of one shard.
type TargetID string

// ShardID names one shard, unique over all groups ("agent-desk/03").
type ShardID string

// GroupName names a back-end group, a set of shards with equal limits.
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
	// Slots is the number of requests one warm target carries at once.
	Slots int
	// Connections is the number of connections one target accepts.
	Connections int
	// ConnectCost is the time a new connection takes.
	ConnectCost time.Duration
	// ColdLimit is the number of requests one cold target carries at once.
	ColdLimit int
	// WarmAfter is the work a cold target serves before it is warm.
	WarmAfter time.Duration
	// Shards lists the group's shards in order.
	Shards []ShardID
}

// Policy says what a query waits for.
type Policy string

const (
	// PolicyCoverage waits for every shard until the deadline.
	PolicyCoverage Policy = "coverage"
	// PolicyLatency answers early once the minimum coverage is reached.
	PolicyLatency Policy = "latency"
)

// Kind holds the defaults for one kind of query.
type Kind struct {
	Name KindName
	// Weight is the kind's share of service under overload and in measures.
	Weight float64
	Policy Policy
	// MinCoverage is the share of shards, 0 to 1, under which no answer is given.
	MinCoverage float64
	Deadline    time.Duration
	Idempotent  bool
}

// VM is one VM of the system itself, an entry VM or one with a disk.
type VM struct {
	Name       VMName
	DataCentre DataCentre
	// RPC is the address for the system's own processes.
	RPC netip.AddrPort
	// HTTP is the address for callers or operators.
	HTTP netip.AddrPort
}

// Deployment is one version of the configuration that operators state. It is
// replicated as JSON.
type Deployment struct {
	Name        string
	Region      Region
	DataCentres []DataCentre
	Groups      []Group
	Targets     []Target
	Kinds       []Kind
	// HedgeBudget is the share of extra sub-requests that hedges may add, 0 to 1.
	HedgeBudget float64
	// RetryBudget is the share of extra sub-requests that retries may add, 0 to 1.
	RetryBudget float64
}
