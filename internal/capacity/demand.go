package main

// The demand expected in two years, and the limits that the system has to meet
// then.
const (
	// projectedNodes is the number of nodes, each with one router.
	projectedNodes = 810
	// projectedReplicas is the number of replicas of all shards; each is a
	// target.
	projectedReplicas = 4700
	// projectedQueries is the number of queries per second, each to
	// projectedFanOut shards.
	projectedQueries = 110_000
	projectedFanOut  = 210
	projectedRegions = 2
	projectedDCs     = 8
	// projectedChanges is the number of configuration changes per day.
	projectedChanges = 3400
	// maxInForceSeconds limits the time until a change is in force everywhere.
	maxInForceSeconds = 15
	// maxLatencyMS limits the 99th percentile of the response time.
	maxLatencyMS = 160
	// maxControlCorePercent limits the share of one core that control uses on a
	// node.
	maxControlCorePercent = 5
	// maxControlMemoryMiB limits the memory that control uses on a node: 256
	// MB, converted to MiB.
	maxControlMemoryMiB = 256e6 / (1 << 20)
	// maxControlTraffic limits control's traffic on a node, in bytes per
	// second.
	maxControlTraffic = 27_000
	// maxDedicatedVMs limits the number of VMs that run control only.
	maxDedicatedVMs = 7

	secondsPerDay = 86_400
)

// projectedShards is the number of shards if each query is sent to all of them.
const projectedShards = projectedFanOut

// queriesPerNode is the number of queries per second that one router receives
// from callers.
const queriesPerNode = float64(projectedQueries) / projectedNodes

// subRequestsPerNode is the number of sub-requests per second that one router
// sends as entry, and that it receives as owner.
const subRequestsPerNode = queriesPerNode * projectedFanOut

// measurements holds the results of a run. It is stored as JSON under the names
// of its fields, and the page's template uses them too. The title of a slope
// states what was measured.
type measurements struct {
	FanOutProcessor Slope
	FanOutBytes     Slope
	OwnersProcessor Slope
	OwnersMessages  Slope
	SearchProcessor Slope
	WholePath       Slope
	StreamMemory    Slope
	TargetMemory    Slope

	// Today and Placed describe the current system and the placement at the
	// projected size.
	Today         CurrentSystem
	PlacementTime Slope
	Placed        []PlacementResult

	RenewalProcessor Slope
	RenewalBytes     Slope
	DeltaBytes       Slope
	WholeBytes       Slope
	DeploymentBytes  Slope

	LeaderIdle    Slope
	PushTime      Slope
	PushProcessor Slope
	StateMemory   Slope
	ClaimMemory   Slope
	IntentMemory  Slope

	GroupIdle        Slope
	GroupIdleBytes   Slope
	ConfirmProcessor Slope
	ConfirmBytes     Slope
	ProposeTime      Slope
	DiskBytes        Slope
	LoadTime         Slope

	LogBytes      Slope
	SnapshotBytes Slope
	ReplayTime    Slope
}
