package main

import "github.com/peridotmux/peridotmux/lease"

// EntriesKept is the number of entries that a restart may have to read.
func (s *sums) EntriesKept() float64 { return entriesKept }

// DiskMiB is the size of a member's files with as many entries.
func (s *sums) DiskMiB() float64 { return s.DiskBytes.At(entriesKept) / 1024 }

// ControlToday is the sum for a router's messages with control at today's size.
func (s *sums) ControlToday() float64 { return s.RenewalsPerSecond * s.RenewalBytes.PerX }

// IdleToday is the sum for an idle system's processor time a second, in
// milliseconds: heartbeats, decisions, renewals and their confirmations.
func (s *sums) IdleToday() float64 {
	renewals := s.RenewalsPerSecond * routersToday
	return s.GroupIdle.At(trialMembers) + s.LeaderIdle.At(routersToday) +
		renewals*s.RenewalProcessor.PerX +
		min(renewals, trialMembers*confirmRounds)*s.ConfirmProcessor.PerX
}

// QueryToday is the sum for a query of all of today's shards, in milliseconds.
func (s *sums) QueryToday() float64 { return s.WholePath.At(float64(s.Today.Shards)) / 1e3 }

// QueryOver is how many times the sum a query took.
func (s *sums) QueryOver() float64 { return s.Today.QueryMS / s.QueryToday() }

// QueryCoresOver is the sum of a router's cores, raised as much.
func (s *sums) QueryCoresOver() float64 { return s.QueryCores * s.QueryOver() }

// bars holds the bars that sums are held against.
type bars struct {
	InForce, Latency, Core, Memory, Traffic, SetAside float64
}

// Bars returns the bars.
func (s *sums) Bars() bars {
	return bars{
		InForce: inForceBar, Latency: latencyBar, Core: controlCoreBar,
		Memory: controlMemoryBar, Traffic: controlTrafficBar, SetAside: setAsideBar,
	}
}

// SetAside is the number of VMs that only control uses.
func (s *sums) SetAside() float64 { return regionsAhead * membersARegion }

// tableRow is one slope with the size that it is stretched to.
type tableRow struct {
	Slope   Slope
	Needed  float64
	Stretch float64
}

// Table lists the slopes with the sizes needed two years ahead.
func (s *sums) Table() []tableRow {
	targetConnections := s.TargetsPerRouter * connectionsATarget
	needed := []float64{
		fanOutAhead, fanOutAhead, s.OwnersAsked, s.OwnersAsked, s.PerNodeSubRequests(), fanOutAhead,
		nodesAhead - 1, targetConnections, s.Followers, s.Followers, float64(s.Placed[0].Lost[2]), nodesAhead,
		replicasAhead, s.Followers, s.Followers, nodesAhead, nodesAhead, nodesAhead,
		claimsKept, intentsKept, membersARegion, membersARegion, s.MemberRenewals() * membersARegion, s.MemberRenewals() * membersARegion,
		s.DeploymentKiB(), entriesKept, entriesKept, changesAhead, intentsKept, changesAhead,
	}
	slopes := s.slopes()
	rows := make([]tableRow, len(slopes))
	for i, x := range slopes {
		rows[i] = tableRow{Slope: x, Needed: needed[i], Stretch: x.Stretch(needed[i])}
	}
	return rows
}

// PerNodeQueries is the number of queries a second of one router.
func (s *sums) PerNodeQueries() float64 { return queriesPerNode }

// PerNodeSubRequests is the number of sub-requests a second of one router.
func (s *sums) PerNodeSubRequests() float64 { return subRequestsPerNode }

// Shards is the number of shards of three replicas.
func (s *sums) Shards() float64 { return replicasAhead / threeReplicas }

// LeaseSeconds is the length of a lease.
func (s *sums) LeaseSeconds() float64 { return lease.Duration.Seconds() }

// InForceSeconds bounds the time until an accepted change is in force.
func (s *sums) InForceSeconds() float64 { return s.LeaseSeconds() + (s.CommitMS+s.PushMS)/1e3 }

// RenewalMicros is the processor time of one renewal.
func (s *sums) RenewalMicros() float64 { return s.RenewalProcessor.PerX * 1e3 }

// FollowerCPU is the share of a core that renewals take at a router, in percent.
func (s *sums) FollowerCPU() float64 { return s.RenewalProcessor.PerX * s.RenewalsPerSecond / 10 }

// FollowerPushCPU is the share of a core that whole deployments take, in percent.
func (s *sums) FollowerPushCPU() float64 {
	return perSecond(changesAhead*s.PushProcessor.PerX) / 10
}

// FollowerCPUAll is the share of a core that control takes at a router.
func (s *sums) FollowerCPUAll() float64 { return s.FollowerCPU() + s.FollowerPushCPU() }

// MemberCPUAll is the share of a core that a leading member takes.
func (s *sums) MemberCPUAll() float64 {
	return s.MemberCPU + s.MemberConfirmCPU + s.MemberIdleCPU + s.LeaderCPU + s.PushCPUDay
}

// MemberRenewals is the number of renewals a second at a member.
func (s *sums) MemberRenewals() float64 { return s.Followers * s.RenewalsPerSecond }

// ChangesASecond is the number of changes a second, moves of targets included.
func (s *sums) ChangesASecond() float64 { return perSecond(changesAhead + s.MovesADay) }

// StateMiB is the memory of control's state.
func (s *sums) StateMiB() float64 { return s.StateMemory.At(nodesAhead) / 1024 }

// DeploymentKiB is the size of the deployment's record.
func (s *sums) DeploymentKiB() float64 { return s.DeploymentBytes.At(replicasAhead) }

// BusiestCores is what the router with most first sub-requests takes.
func (s *sums) BusiestCores() float64 { return s.QueryCores * s.Placed[0].BusiestShare }

// WholeKiB is the size of all records.
func (s *sums) WholeKiB() float64 { return s.WholeBytes.At(nodesAhead) }

// TargetKiB is the memory of one connection to a target.
func (s *sums) TargetKiB() float64 { return s.TargetMemory.PerX }

// SearchCores is what searches at targets take at one owner.
func (s *sums) SearchCores() float64 { return subRequestsPerNode * s.SearchProcessor.PerX / 1e3 }

// HalfMessages is the number of messages a second of one router as entry.
func (s *sums) HalfMessages() float64 { return s.MessagesASecond / 2 }

// QueryTrafficKiB is the traffic of one router as entry.
func (s *sums) QueryTrafficKiB() float64 { return s.QueryTraffic / 1024 }
