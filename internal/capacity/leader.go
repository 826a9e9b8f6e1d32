package main

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/control/controltest"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// leaderIdleTime is the duration of a measurement of an idle leader. It must be
// shorter than the grace period after which silent routers count as lost.
const leaderIdleTime = 2 * time.Second

// fitLeaderIdle measures the processor time of an idle leader.
func fitLeaderIdle(out *measurements) error {
	s := Slope{
		Key: "leader-idle", Title: "Leader with nothing to do: processor time a second",
		XLabel: "routers", YLabel: "milliseconds",
	}
	var err error
	out.LeaderIdle, err = measureSizes(s, []int{101, 202, 405, projectedNodes}, func(n int) (float64, error) {
		st := state.New(state.DefaultLimits())
		if err := (clusterShape{n, threeReplicas}).fill(directProposer(st)); err != nil {
			return 0, err
		}
		log := controltest.New(st).Member(0)
		svc := service.New(service.Config{Member: "a", State: st, Log: log, Logger: slog.New(slog.DiscardHandler)})
		ctx, cancel := context.WithTimeout(context.Background(), leaderIdleTime)
		defer cancel()
		runtime.GC()
		start := processorTime()
		svc.Run(ctx)
		return micros(processorTime()-start) / 1e3 / leaderIdleTime.Seconds(), nil
	})
	return err
}

// fitPush measures the time that a member takes to send a deployment of the
// projected size to all of its followers, and the processor time of both ends.
func fitPush(out *measurements) error {
	wall := Slope{
		Key: "push-time", Title: "A deployment of 4,700 targets to all followers of a member",
		XLabel: "followers", YLabel: "milliseconds",
	}
	processor := Slope{
		Key: "push-processor", Title: "A deployment of 4,700 targets: processor time, both ends",
		XLabel: "followers", YLabel: "milliseconds",
	}
	sizes := []int{15, 30, 60, 135}
	var err error
	wall, err = measureSizes(wall, sizes, func(n int) (float64, error) {
		took, _, err := measurePush(n)
		return took, err
	})
	if err != nil {
		return err
	}
	processor, err = measureSizes(processor, sizes, func(n int) (float64, error) {
		_, used, err := measurePush(n)
		return used, err
	})
	out.PushTime, out.PushProcessor = wall, processor
	return err
}

// measurePush sends a changed deployment to the followers and returns the
// wall-clock time and the processor time in milliseconds.
func measurePush(followers int) (wall, used float64, err error) {
	sh := clusterShape{projectedNodes, threeReplicas}
	m, err := newControlMember(sh)
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	for i := range followers {
		if err := m.addFollower(i); err != nil {
			return 0, 0, err
		}
	}
	changed := sh.deployment()
	changed.HedgeBudget = 0.03
	start, cpu := time.Now(), processorTime()
	if err := configure(m.propose, "second", changed); err != nil {
		return 0, 0, err
	}
	if err := m.awaitDeployment(); err != nil {
		return 0, 0, err
	}
	return micros(time.Since(start)) / 1e3, micros(processorTime()-cpu) / 1e3, nil
}

// awaitDeployment waits until each follower has received version 2 of the
// deployment.
func (m *controlMember) awaitDeployment() error {
	var wg sync.WaitGroup
	errs := make(chan error, len(m.followers))
	for _, s := range m.followers {
		wg.Go(func() {
			for {
				r, err := s.Recv()
				if err != nil {
					errs <- err
					return
				}
				if hasDeployment(r.GetRecords(), 2) {
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// hasDeployment reports whether records contains the given version of the
// deployment.
func hasDeployment(records []*pb.Record, version uint64) bool {
	for _, r := range records {
		if r.GetDeployment().GetVersion() == version {
			return true
		}
	}
	return false
}

// fitStateMemory measures the memory of control's state, of settled intents,
// and of settled claims.
func fitStateMemory(out *measurements) error {
	whole := Slope{
		Key: "state-memory", Title: "Control's state in memory, routers and targets in ratio",
		XLabel: "routers", YLabel: "KiB",
	}
	claims := Slope{
		Key: "claim-memory", Title: "Settled claims in memory, outcomes of 300 bytes",
		XLabel: "claims", YLabel: "KiB",
	}
	var err error
	whole, err = measureSizes(whole, []int{101, 202, 405, projectedNodes}, func(n int) (float64, error) {
		return stateMemoryKiB(func(s *state.State) error { return clusterShape{n, threeReplicas}.fill(directProposer(s)) })
	})
	if err != nil {
		return err
	}
	intents := Slope{
		Key: "intent-memory", Title: "Settled intents in memory, in force at 810 routers",
		XLabel: "intents", YLabel: "KiB",
	}
	intents, err = measureSizes(intents, []int{100, 200, 400}, func(n int) (float64, error) {
		return stateMemoryKiB(func(s *state.State) error {
			if err := (clusterShape{projectedNodes, threeReplicas}).fill(directProposer(s)); err != nil {
				return err
			}
			return (&entryLog{state: s}).applyChanges(n)
		})
	})
	if err != nil {
		return err
	}
	out.IntentMemory = intents
	claims, err = measureSizes(claims, []int{5_000, 10_000, 20_000}, func(n int) (float64, error) {
		return stateMemoryKiB(func(s *state.State) error { return claimKeys(s, n) })
	})
	out.StateMemory, out.ClaimMemory = whole, claims
	return err
}

// stateMemoryKiB returns the memory of a state after fill, in KiB.
func stateMemoryKiB(fill func(*state.State) error) (float64, error) {
	before := liveMemory()
	s := state.New(state.DefaultLimits())
	if err := fill(s); err != nil {
		return 0, err
	}
	held := kib(liveMemory(), before)
	runtime.KeepAlive(s)
	return held, nil
}

const (
	// outcomeBytes is the size of a settled claim's recorded outcome.
	outcomeBytes = 300
	// claimsPerEntry is the number of claims in one log entry.
	claimsPerEntry = 100
)

// claimKeys claims and settles n keys, or the next multiple of claimsPerEntry.
// It returns a *SetupError if the state doesn't reply to every claim.
func claimKeys(s *state.State, n int) error {
	for at := 0; at < n; at += claimsPerEntry {
		for _, settle := range []bool{false, true} {
			c := state.Command{Claims: make([]state.Claim, claimsPerEntry)}
			for i := range c.Claims {
				c.Claims[i] = state.Claim{
					Key: fmt.Sprintf("order-%032d", at+i), BodyHash: 1, VM: "entry-001", Incarnation: 1, Token: 1, Settle: settle,
				}
				if settle {
					c.Claims[i].Outcome = make([]byte, outcomeBytes)
				}
			}
			if replies, ok := directProposer(s)(c).([]*pb.ClaimReply); !ok || len(replies) != claimsPerEntry {
				return &SetupError{Step: "claims"}
			}
		}
	}
	return nil
}
