package main

import (
	"math"
	"time"

	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/lease"
)

const (
	// membersARegion is the number of control members of one region: two groups
	// of three take six of the seven VMs that may be set aside.
	membersARegion = 3
	// segmentBytes is taken for the TCP and IP headers of one segment;
	// segmentsRenewal for the segments of a renewal, acknowledgements included.
	segmentBytes    = 52
	segmentsRenewal = 4
	// failuresADay and restartsADay are the VMs that fail and that are
	// restarted or replaced on an ordinary day.
	failuresADay = 8
	restartsADay = 370
	// slotsToday is the largest number of slots of a target today.
	slotsToday = 6
	// serviceMedian and serviceSigma shape a target's lognormal service time.
	serviceMedian = 20.0
	serviceSigma  = 0.5
	// networkToday is the network's part of a latency: caller to entry, entry
	// to owner, owner to target, and back, in milliseconds.
	networkToday = 2 * (3 + 1.5 + 1.5)
	// routerGraceSeconds is how long a silent router counts as live; controlTick
	// is the time between two placements.
	routerGraceSeconds = 4
	controlTick        = 0.25
	// connectionsATarget bounds an owner's connections to one target.
	connectionsATarget = 24
	// entriesKept is the number of entries that a restart may have to read: one
	// interval of snapshots and what is kept behind the newest.
	entriesKept = group.DefaultSnapshotEvery + group.DefaultTrailingEntries
	// confirmRounds bounds the rounds a second of a member, which answers from
	// confirmations up to 100 ms old.
	confirmRounds = 10
	// claimsKept and intentsKept are the state's limits.
	claimsKept  = 100_000
	intentsKept = 4096
)

// sums holds what the slopes come to two years ahead.
type sums struct {
	*figures

	// Entry and owner.
	OwnersAsked      float64
	MessagesASecond  float64
	QueryCores       float64
	ExchangeCores    float64
	QueryTraffic     float64
	StreamMiB        float64
	CellOwners       float64
	CellMessages     float64
	CellCores        float64
	PerTarget        float64
	ServiceAtSlots   float64
	SlotsNeeded      float64
	TailMS           float64
	TargetsPerRouter float64

	// Followers.
	RenewalsPerSecond  float64
	FollowerRenewals   float64
	FollowerSmall      float64
	FollowerWhole      float64
	FollowerWholeShare float64

	// Members.
	Followers        float64
	MemberCPU        float64
	OneMemberCPU     float64
	MemberTraffic    float64
	FedByMember      float64
	LeaderCPU        float64
	PushCPUDay       float64
	PushMS           float64
	MemberMemoryMiB  float64
	ClaimsMiB        float64
	IntentsMiB       float64
	ClaimRate        float64
	ClaimShare       float64
	MemberConfirmCPU float64
	MemberIdleCPU    float64
	MemberGroup      float64
	CommitMS         float64
	LoadMS           float64
	LogADayMiB       float64
	LogWholeADayMiB  float64
	SnapshotMiB      float64
	ReplayDayMS      float64
	ReplayHundredsMS float64

	// Failures.
	TakeOverSeconds float64
	MovesADay       float64
	DCBytes         float64
}

// perSecond spreads what happens each day over its seconds.
func perSecond(aDay float64) float64 { return aDay / secondsADay }

func work(f *figures) *sums {
	s := &sums{figures: f}
	s.workQuery()
	s.workFollower()
	s.workMember()
	s.workFailures()
	return s
}

func (s *sums) workQuery() {
	s.OwnersAsked = nodesAhead * (1 - math.Pow(1-1.0/nodesAhead, fanOutAhead))
	s.MessagesASecond = 2 * queriesPerNode * s.OwnersMessages.At(s.OwnersAsked)
	s.ExchangeCores = queriesPerNode * s.OwnersProcessor.At(s.OwnersAsked) / 1e6
	overTwelve := s.OwnersProcessor.At(s.OwnersAsked) - s.OwnersProcessor.At(exchangeOwners)
	s.QueryCores = queriesPerNode * (s.WholePath.At(fanOutAhead) + overTwelve) / 1e6
	s.QueryTraffic = queriesPerNode * s.FanOutBytes.At(fanOutAhead)
	s.StreamMiB = s.StreamMemory.At(nodesAhead-1) / 1024
	s.TargetsPerRouter = float64(replicasAhead) / nodesAhead
	s.CellOwners = fanOutAhead / s.TargetsPerRouter
	s.CellMessages = 2 * queriesPerNode * s.OwnersMessages.At(s.CellOwners)
	overTwelve = s.OwnersProcessor.At(s.CellOwners) - s.OwnersProcessor.At(exchangeOwners)
	s.CellCores = queriesPerNode * (s.WholePath.At(fanOutAhead) + overTwelve) / 1e6
	s.PerTarget = float64(queriesAhead) * fanOutAhead / replicasAhead
	mean := serviceMedian * math.Exp(serviceSigma*serviceSigma/2)
	s.ServiceAtSlots = slotsToday / s.PerTarget * 1e3
	s.SlotsNeeded = s.PerTarget * mean / 1e3
	worst := math.Pow(0.99, 1.0/fanOutAhead)
	s.TailMS = serviceMedian*math.Exp(serviceSigma*math.Sqrt2*math.Erfinv(2*worst-1)) + networkToday
}

func (s *sums) workFollower() {
	s.RenewalsPerSecond = float64(time.Second) / float64(lease.RenewInterval)
	s.FollowerRenewals = s.RenewalsPerSecond * (s.RenewalBytes.PerX + segmentsRenewal*segmentBytes)
	move := s.DeltaBytes.PerX
	s.MovesADay = (failuresADay + restartsADay) * 2 * s.TargetsPerRouter
	s.FollowerSmall = s.FollowerRenewals + perSecond((changesAhead+s.MovesADay)*(move+2*segmentBytes))
	whole := s.DeploymentBytes.At(replicasAhead) * 1024
	s.FollowerWhole = s.FollowerRenewals + perSecond(changesAhead*whole+s.MovesADay*(move+2*segmentBytes))
	s.FollowerWholeShare = 100 * s.FollowerWhole / controlTrafficBar
}

func (s *sums) workMember() {
	s.Followers = nodesAhead / (regionsAhead * membersARegion)
	cost := s.RenewalProcessor.PerX * s.RenewalsPerSecond // Milliseconds a second for one follower.
	s.MemberCPU = cost * s.Followers / 10
	s.OneMemberCPU = cost * nodesAhead / 10
	rounds := min(s.Followers*s.RenewalsPerSecond, confirmRounds)
	s.MemberConfirmCPU = s.ConfirmProcessor.PerX * rounds / 10
	s.MemberIdleCPU = s.GroupIdle.At(membersARegion) / membersARegion / 10
	// Both ends count the bytes between members.
	s.MemberGroup = 2 * (s.ConfirmBytes.PerX*rounds + s.GroupIdleBytes.At(membersARegion)/membersARegion)
	s.CommitMS = s.ProposeTime.At(s.DeploymentBytes.At(replicasAhead))
	s.LoadMS = s.LoadTime.At(entriesKept)
	s.MemberTraffic = s.FollowerSmall*s.Followers + s.MemberGroup
	s.FedByMember = controlTrafficBar / s.FollowerSmall
	s.LeaderCPU = s.LeaderIdle.At(nodesAhead) / 10
	s.PushMS = s.PushTime.At(s.Followers)
	s.PushCPUDay = perSecond(changesAhead*s.PushProcessor.At(s.Followers)) / 10
	s.ClaimsMiB = s.ClaimMemory.At(claimsKept) / 1024
	s.IntentsMiB = s.IntentMemory.PerX * intentsKept / 1024
	s.MemberMemoryMiB = s.StateMemory.At(nodesAhead)/1024 + s.ClaimsMiB + s.IntentsMiB
	s.ClaimRate = claimsKept / state.DefaultLimits().MinKeyAge.Seconds()
	s.ClaimShare = 100 * s.ClaimRate / queriesAhead
	s.LogADayMiB = s.LogBytes.At(changesAhead) / 1024
	s.LogWholeADayMiB = changesAhead * s.DeploymentBytes.At(replicasAhead) / 1024
	s.SnapshotMiB = s.SnapshotBytes.At(intentsKept) / 1024
	s.ReplayDayMS = s.ReplayTime.At(changesAhead)
	s.ReplayHundredsMS = s.ReplayTime.At(400)
}

func (s *sums) workFailures() {
	s.TakeOverSeconds = routerGraceSeconds + controlTick + lease.Duration.Seconds()
	s.DCBytes = s.DeltaBytes.At(float64(s.Placed[0].Lost[2]))
}

// slopes lists all slopes in the order of the page.
func (f *figures) slopes() []Slope {
	return []Slope{
		f.FanOutProcessor, f.FanOutBytes, f.OwnersProcessor, f.OwnersMessages, f.SearchProcessor, f.WholePath,
		f.StreamMemory, f.TargetMemory, f.RenewalProcessor, f.RenewalBytes, f.DeltaBytes, f.WholeBytes,
		f.DeploymentBytes, f.PushTime, f.PushProcessor, f.PlacementTime, f.LeaderIdle, f.StateMemory,
		f.ClaimMemory, f.IntentMemory, f.GroupIdle, f.GroupIdleBytes, f.ConfirmProcessor, f.ConfirmBytes, f.ProposeTime,
		f.DiskBytes, f.LoadTime, f.LogBytes, f.SnapshotBytes, f.ReplayTime,
	}
}
