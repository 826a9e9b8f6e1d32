package main

import "github.com/peridotmux/peridotmux/lease"

// EntriesKept returns the largest number of entries that a restart reads.
func (p *projection) EntriesKept() float64 { return maxLogEntries }

// DiskMiB returns the size of a member's files with maxLogEntries entries.
func (p *projection) DiskMiB() float64 { return p.DiskBytes.At(maxLogEntries) / 1024 }

// ControlToday returns the projected traffic of a router with control at the
// current size, in bytes per second.
func (p *projection) ControlToday() float64 { return p.RenewalsPerSecond * p.RenewalBytes.PerX }

// IdleToday returns the projected processor time per second of the idle system
// at the current size, in milliseconds: heartbeats, decisions, renewals and
// their confirmations.
func (p *projection) IdleToday() float64 {
	renewals := p.RenewalsPerSecond * currentRouters
	return p.GroupIdle.At(defaultMembers) + p.LeaderIdle.At(currentRouters) +
		renewals*p.RenewalProcessor.PerX +
		min(renewals, defaultMembers*confirmRoundsPerSecond)*p.ConfirmProcessor.PerX
}

// QueryToday returns the projected processor time of a query of all shards at
// the current size, in milliseconds.
func (p *projection) QueryToday() float64 { return p.WholePath.At(float64(p.Today.Shards)) / 1e3 }

// QueryOver returns the ratio of the measured to the projected processor time
// of a query at the current size.
func (p *projection) QueryOver() float64 { return p.Today.QueryMS / p.QueryToday() }

// QueryCoresOver returns the cores of a router, multiplied by QueryOver.
func (p *projection) QueryCoresOver() float64 { return p.QueryCores * p.QueryOver() }

// limits holds the limits for the page, in the units of the constants.
type limits struct {
	InForce, Latency, Core, Memory, Traffic, SetAside float64
}

// Bars returns the limits that the projected costs are compared with.
func (p *projection) Bars() limits {
	return limits{
		InForce: maxInForceSeconds, Latency: maxLatencyMS, Core: maxControlCorePercent,
		Memory: maxControlMemoryMiB, Traffic: maxControlTraffic, SetAside: maxDedicatedVMs,
	}
}

// SetAside returns the number of VMs that run control only.
func (p *projection) SetAside() float64 { return projectedRegions * membersPerRegion }

// tableRow is one slope with the size that it is extrapolated to and the factor
// of that extrapolation.
type tableRow struct {
	Slope   Slope
	Needed  float64
	Stretch float64
}

// Table returns the slopes with the sizes needed for the projected demand. The
// sizes are in the order of slopes.
func (p *projection) Table() []tableRow {
	targetConnections := p.TargetsPerRouter * connectionsPerTarget
	needed := []float64{
		projectedFanOut, projectedFanOut, p.OwnersAsked, p.OwnersAsked, p.PerNodeSubRequests(), projectedFanOut,
		projectedNodes - 1, targetConnections, p.Followers, p.Followers, float64(p.Placed[0].Lost[2]), projectedNodes,
		projectedReplicas, p.Followers, p.Followers, projectedNodes, projectedNodes, projectedNodes,
		maxClaims, maxIntents, membersPerRegion, membersPerRegion, p.MemberRenewals() * membersPerRegion, p.MemberRenewals() * membersPerRegion,
		p.DeploymentKiB(), maxLogEntries, maxLogEntries, projectedChanges, maxIntents, projectedChanges,
	}
	slopes := p.slopes()
	rows := make([]tableRow, len(slopes))
	for i, x := range slopes {
		rows[i] = tableRow{Slope: x, Needed: needed[i], Stretch: x.Stretch(needed[i])}
	}
	return rows
}

// PerNodeQueries returns the number of queries per second of one router.
func (p *projection) PerNodeQueries() float64 { return queriesPerNode }

// PerNodeSubRequests returns the number of sub-requests per second of one
// router.
func (p *projection) PerNodeSubRequests() float64 { return subRequestsPerNode }

// Shards returns the number of shards if each has three replicas.
func (p *projection) Shards() float64 { return projectedReplicas / threeReplicas }

// LeaseSeconds returns the duration of a lease.
func (p *projection) LeaseSeconds() float64 { return lease.Duration.Seconds() }

// InForceSeconds returns the upper limit of the time until an accepted change
// is in force.
func (p *projection) InForceSeconds() float64 { return p.LeaseSeconds() + (p.CommitMS+p.PushMS)/1e3 }

// RenewalMicros returns the processor time of one renewal in microseconds.
func (p *projection) RenewalMicros() float64 { return p.RenewalProcessor.PerX * 1e3 }

// FollowerCPU returns the share of a core that renewals use at a router, in
// percent.
func (p *projection) FollowerCPU() float64 { return p.RenewalProcessor.PerX * p.RenewalsPerSecond / 10 }

// FollowerPushCPU returns the share of a core that whole deployments use at a
// router, in percent.
func (p *projection) FollowerPushCPU() float64 {
	return perSecond(projectedChanges*p.PushProcessor.PerX) / 10
}

// FollowerCPUAll returns the share of a core that control uses at a router, in
// percent.
func (p *projection) FollowerCPUAll() float64 { return p.FollowerCPU() + p.FollowerPushCPU() }

// MemberCPUAll returns the share of a core that the leader uses, in percent.
func (p *projection) MemberCPUAll() float64 {
	return p.MemberCPU + p.MemberConfirmCPU + p.MemberIdleCPU + p.LeaderCPU + p.PushCPUDay
}

// MemberRenewals returns the number of renewals per second at a member.
func (p *projection) MemberRenewals() float64 { return p.Followers * p.RenewalsPerSecond }

// ChangesASecond returns the number of changes per second, moves of targets
// included.
func (p *projection) ChangesASecond() float64 { return perSecond(projectedChanges + p.MovesADay) }

// StateMiB returns the memory of control's state, without claims and later
// intents.
func (p *projection) StateMiB() float64 { return p.StateMemory.At(projectedNodes) / 1024 }

// DeploymentKiB returns the size of the deployment's record.
func (p *projection) DeploymentKiB() float64 { return p.DeploymentBytes.At(projectedReplicas) }

// BusiestCores returns the cores of the router with the most first
// sub-requests.
func (p *projection) BusiestCores() float64 { return p.QueryCores * p.Placed[0].BusiestShare }

// WholeKiB returns the size of all records.
func (p *projection) WholeKiB() float64 { return p.WholeBytes.At(projectedNodes) }

// TargetKiB returns the memory of one connection to a target, both ends
// included.
func (p *projection) TargetKiB() float64 { return p.TargetMemory.PerX }

// SearchCores returns the cores that searches at targets use at one owner, the
// targets' part included.
func (p *projection) SearchCores() float64 { return subRequestsPerNode * p.SearchProcessor.PerX / 1e3 }

// HalfMessages returns the number of messages per second of one router as
// entry.
func (p *projection) HalfMessages() float64 { return p.MessagesASecond / 2 }

// QueryTrafficKiB returns the traffic of one router as entry, in KiB per
// second.
func (p *projection) QueryTrafficKiB() float64 { return p.QueryTraffic / 1024 }
