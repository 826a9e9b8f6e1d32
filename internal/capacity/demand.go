package main

// What must be carried two years ahead.
const (
	nodesAhead    = 810
	replicasAhead = 4700
	// queriesAhead is the number of queries a second, each to fanOutAhead shards.
	queriesAhead = 110_000
	fanOutAhead  = 210
	regionsAhead = 2
	dcsAhead     = 8
	// changesAhead is the number of configuration changes a day.
	changesAhead = 3400
	// inForceBar bounds the time until a change is in force, in seconds.
	inForceBar = 15
	// latencyBar bounds the answers' 99th percentile, in milliseconds.
	latencyBar = 160
	// controlCoreBar bounds control's share of a core at a node, in percent.
	controlCoreBar = 5
	// controlMemoryBar bounds control's memory at a node, 256 MB, in MiB.
	controlMemoryBar = 256e6 / (1 << 20)
	// controlTrafficBar bounds control's traffic at a node, in bytes a second.
	controlTrafficBar = 27_000
	// setAsideBar bounds the VMs that only control uses.
	setAsideBar = 7

	secondsADay = 86_400
)

// shardsAhead is the number of shards if a query asks all of them.
const shardsAhead = fanOutAhead

// queriesPerNode is the number of queries a second that one router takes in.
const queriesPerNode = float64(queriesAhead) / nodesAhead

// subRequestsPerNode is the number of sub-requests a second of one router.
const subRequestsPerNode = queriesPerNode * fanOutAhead

// figures holds all that was measured.
type figures struct {
	FanOutProcessor Slope
	FanOutBytes     Slope
	OwnersProcessor Slope
	OwnersMessages  Slope
	SearchProcessor Slope
	WholePath       Slope
	StreamMemory    Slope
	TargetMemory    Slope

	Today         Today
	PlacementTime Slope
	Placed        []Placed

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
