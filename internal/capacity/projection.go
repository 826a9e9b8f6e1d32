package main

import (
	"math"
	"time"

	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
)

const (
	// membersPerRegion is the number of control members of one region. The two
	// groups of three use six of the seven VMs that may be dedicated to
	// control.
	membersPerRegion = 3
	// segmentHeaderBytes is the assumed size of the TCP and IP headers of one
	// segment; segmentsPerRenewal is the assumed number of segments of a
	// renewal, acknowledgements included.
	segmentHeaderBytes = 52
	segmentsPerRenewal = 4
	// failuresPerDay is the number of VMs that fail on an ordinary day;
	// restartsPerDay is the number that are restarted or replaced.
	failuresPerDay = 8
	restartsPerDay = 370
	// currentSlots is the largest number of slots of a target in the current
	// system.
	currentSlots = 6
	// serviceMedianMS and serviceSigma are the parameters of the lognormal
	// service time of a target.
	serviceMedianMS = 20.0
	serviceSigma    = 0.5
	// networkMS is the network's part of a query's latency: caller to entry,
	// entry to owner, owner to target, and back.
	networkMS = 2 * (3 + 1.5 + 1.5)
	// routerGraceSeconds is the time after which a silent router counts as
	// lost; placementIntervalSeconds is the time between two placements.
	routerGraceSeconds       = 4
	placementIntervalSeconds = 0.25
	// connectionsPerTarget limits an owner's connections to one target.
	connectionsPerTarget = 24
	// maxLogEntries is the largest number of entries that a restart reads:
	// those of one snapshot interval and those kept before the newest snapshot.
	maxLogEntries = group.DefaultSnapshotEvery + group.DefaultTrailingEntries
	// confirmRoundsPerSecond limits a member's confirmation rounds per second;
	// the member reuses confirmations up to 100 ms old.
	confirmRoundsPerSecond = 10
	// maxClaims and maxIntents are the limits of control's state.
	maxClaims  = 100_000
	maxIntents = 4096
)

// projection holds the costs at the projected demand, computed from the slopes.
// The page's template uses the fields and methods by name. A CPU field is a
// percentage of one core; a traffic field is in bytes per second.
type projection struct {
	*measurements

	// Queries at entry, owner and target.

	// OwnersAsked is the expected number of owners that a query is sent to.
	OwnersAsked float64
	// MessagesASecond counts a router's messages as entry and as owner.
	MessagesASecond float64
	// QueryCores is the number of cores per router for queries, targets
	// included; ExchangeCores is the part of the exchange with the owners.
	QueryCores    float64
	ExchangeCores float64
	// QueryTraffic is the traffic of one router as entry.
	QueryTraffic float64
	StreamMiB    float64
	// CellOwners, CellMessages and CellCores are the values if routers form
	// cells, each of which has owners for all shards.
	CellOwners   float64
	CellMessages float64
	CellCores    float64
	// PerTarget is the number of sub-requests per second at each target.
	// ServiceAtSlots is the mean service time, in milliseconds, that the
	// current slots would allow; SlotsNeeded is the number of slots for the
	// current service time.
	PerTarget      float64
	ServiceAtSlots float64
	SlotsNeeded    float64
	// TailMS is the 99th percentile of a query's latency without queues.
	TailMS           float64
	TargetsPerRouter float64

	// Control at a router.

	RenewalsPerSecond float64
	// FollowerRenewals is a router's traffic for renewals alone, FollowerSmall
	// with changes of single targets, FollowerWhole with changes of the whole
	// deployment; FollowerWholeShare is the latter as a percentage of the
	// limit.
	FollowerRenewals   float64
	FollowerSmall      float64
	FollowerWhole      float64
	FollowerWholeShare float64

	// Control at a member.

	// Followers is the number of routers that follow one member.
	Followers float64
	MemberCPU float64
	// OneMemberCPU is the renewals' share of a core if one member serves all
	// routers.
	OneMemberCPU  float64
	MemberTraffic float64
	// FedByMember is the number of routers that a member can serve within the
	// traffic limit.
	FedByMember float64
	LeaderCPU   float64
	// PushCPUDay is the share of a core for whole deployments, PushMS the time
	// to send one to all followers.
	PushCPUDay      float64
	PushMS          float64
	MemberMemoryMiB float64
	ClaimsMiB       float64
	IntentsMiB      float64
	// ClaimRate is the largest rate of non-idempotent requests per second,
	// ClaimShare its percentage of all queries.
	ClaimRate        float64
	ClaimShare       float64
	MemberConfirmCPU float64
	MemberIdleCPU    float64
	// MemberGroup is a member's traffic with other members.
	MemberGroup float64
	// CommitMS is the time to commit a whole deployment, LoadMS the time to
	// read the log's files after a restart.
	CommitMS float64
	LoadMS   float64
	// LogADayMiB is the log's daily size for changes of single targets,
	// LogWholeADayMiB for changes of the whole deployment.
	LogADayMiB      float64
	LogWholeADayMiB float64
	SnapshotMiB     float64
	// ReplayDayMS is the time to replay a day's changes, ReplayHundredsMS that
	// for 400 changes.
	ReplayDayMS      float64
	ReplayHundredsMS float64

	// Failures of routers and data centres.

	// TakeOverSeconds limits the time that the targets of a lost router are
	// without an owner.
	TakeOverSeconds float64
	// MovesADay is the number of targets moved per day because of failures and
	// restarts.
	MovesADay float64
	// DCBytes is the size of the changes sent to each router after the loss of
	// a data centre.
	DCBytes float64
}

// perSecond converts a daily number to a rate per second.
func perSecond(perDay float64) float64 { return perDay / secondsPerDay }

// project computes all costs from the measurements.
func project(m *measurements) *projection {
	p := &projection{measurements: m}
	p.projectQueries()
	p.projectFollowers()
	p.projectMembers()
	p.projectFailures()
	return p
}

// projectQueries sets the costs of queries at entry, owners and targets.
func (p *projection) projectQueries() {
	p.OwnersAsked = projectedNodes * (1 - math.Pow(1-1.0/projectedNodes, projectedFanOut))
	p.MessagesASecond = 2 * queriesPerNode * p.OwnersMessages.At(p.OwnersAsked)
	p.ExchangeCores = queriesPerNode * p.OwnersProcessor.At(p.OwnersAsked) / 1e6
	extraOwners := p.OwnersProcessor.At(p.OwnersAsked) - p.OwnersProcessor.At(fanOutOwners)
	p.QueryCores = queriesPerNode * (p.WholePath.At(projectedFanOut) + extraOwners) / 1e6
	p.QueryTraffic = queriesPerNode * p.FanOutBytes.At(projectedFanOut)
	p.StreamMiB = p.StreamMemory.At(projectedNodes-1) / 1024
	p.TargetsPerRouter = float64(projectedReplicas) / projectedNodes
	p.CellOwners = projectedFanOut / p.TargetsPerRouter
	p.CellMessages = 2 * queriesPerNode * p.OwnersMessages.At(p.CellOwners)
	extraOwners = p.OwnersProcessor.At(p.CellOwners) - p.OwnersProcessor.At(fanOutOwners)
	p.CellCores = queriesPerNode * (p.WholePath.At(projectedFanOut) + extraOwners) / 1e6
	p.PerTarget = float64(projectedQueries) * projectedFanOut / projectedReplicas
	mean := serviceMedianMS * math.Exp(serviceSigma*serviceSigma/2)
	p.ServiceAtSlots = currentSlots / p.PerTarget * 1e3
	p.SlotsNeeded = p.PerTarget * mean / 1e3
	quantile := math.Pow(0.99, 1.0/projectedFanOut)
	p.TailMS = serviceMedianMS*math.Exp(serviceSigma*math.Sqrt2*math.Erfinv(2*quantile-1)) + networkMS
}

// projectFollowers sets the costs of control at a router. It must run after
// projectQueries.
func (p *projection) projectFollowers() {
	p.RenewalsPerSecond = float64(time.Second) / float64(lease.RenewInterval)
	p.FollowerRenewals = p.RenewalsPerSecond * (p.RenewalBytes.PerX + segmentsPerRenewal*segmentHeaderBytes)
	moveBytes := p.DeltaBytes.PerX
	p.MovesADay = (failuresPerDay + restartsPerDay) * 2 * p.TargetsPerRouter
	p.FollowerSmall = p.FollowerRenewals + perSecond((projectedChanges+p.MovesADay)*(moveBytes+2*segmentHeaderBytes))
	deploymentBytes := p.DeploymentBytes.At(projectedReplicas) * 1024
	p.FollowerWhole = p.FollowerRenewals + perSecond(projectedChanges*deploymentBytes+p.MovesADay*(moveBytes+2*segmentHeaderBytes))
	p.FollowerWholeShare = 100 * p.FollowerWhole / maxControlTraffic
}

// projectMembers sets the costs of a control member. It must run after
// projectFollowers.
func (p *projection) projectMembers() {
	p.Followers = projectedNodes / (projectedRegions * membersPerRegion)
	cost := p.RenewalProcessor.PerX * p.RenewalsPerSecond // Milliseconds per second and follower.
	p.MemberCPU = cost * p.Followers / 10
	p.OneMemberCPU = cost * projectedNodes / 10
	rounds := min(p.Followers*p.RenewalsPerSecond, confirmRoundsPerSecond)
	p.MemberConfirmCPU = p.ConfirmProcessor.PerX * rounds / 10
	p.MemberIdleCPU = p.GroupIdle.At(membersPerRegion) / membersPerRegion / 10
	// Bytes between members count at both ends.
	p.MemberGroup = 2 * (p.ConfirmBytes.PerX*rounds + p.GroupIdleBytes.At(membersPerRegion)/membersPerRegion)
	p.CommitMS = p.ProposeTime.At(p.DeploymentBytes.At(projectedReplicas))
	p.LoadMS = p.LoadTime.At(maxLogEntries)
	p.MemberTraffic = p.FollowerSmall*p.Followers + p.MemberGroup
	p.FedByMember = maxControlTraffic / p.FollowerSmall
	p.LeaderCPU = p.LeaderIdle.At(projectedNodes) / 10
	p.PushMS = p.PushTime.At(p.Followers)
	p.PushCPUDay = perSecond(projectedChanges*p.PushProcessor.At(p.Followers)) / 10
	p.ClaimsMiB = p.ClaimMemory.At(maxClaims) / 1024
	p.IntentsMiB = p.IntentMemory.PerX * maxIntents / 1024
	p.MemberMemoryMiB = p.StateMemory.At(projectedNodes)/1024 + p.ClaimsMiB + p.IntentsMiB
	p.ClaimRate = maxClaims / state.DefaultLimits().MinKeyAge.Seconds()
	p.ClaimShare = 100 * p.ClaimRate / projectedQueries
	p.LogADayMiB = p.LogBytes.At(projectedChanges) / 1024
	p.LogWholeADayMiB = projectedChanges * p.DeploymentBytes.At(projectedReplicas) / 1024
	p.SnapshotMiB = p.SnapshotBytes.At(maxIntents) / 1024
	p.ReplayDayMS = p.ReplayTime.At(projectedChanges)
	p.ReplayHundredsMS = p.ReplayTime.At(400)
}

// projectFailures sets the costs of failures.
func (p *projection) projectFailures() {
	p.TakeOverSeconds = routerGraceSeconds + placementIntervalSeconds + lease.Duration.Seconds()
	p.DCBytes = p.DeltaBytes.At(float64(p.Placed[0].Lost[2]))
}

// slopes returns all slopes in the order of the page.
func (m *measurements) slopes() []Slope {
	return []Slope{
		m.FanOutProcessor, m.FanOutBytes, m.OwnersProcessor, m.OwnersMessages, m.SearchProcessor, m.WholePath,
		m.StreamMemory, m.TargetMemory, m.RenewalProcessor, m.RenewalBytes, m.DeltaBytes, m.WholeBytes,
		m.DeploymentBytes, m.PushTime, m.PushProcessor, m.PlacementTime, m.LeaderIdle, m.StateMemory,
		m.ClaimMemory, m.IntentMemory, m.GroupIdle, m.GroupIdleBytes, m.ConfirmProcessor, m.ConfirmBytes, m.ProposeTime,
		m.DiskBytes, m.LoadTime, m.LogBytes, m.SnapshotBytes, m.ReplayTime,
	}
}
