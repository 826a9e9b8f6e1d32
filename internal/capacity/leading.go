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

// idleTime is how long an idle leader is watched. It is shorter than the grace
// after which silent routers count as lost.
const idleTime = 2 * time.Second

// leaderIdle measures the processor time of a leader that has nothing to do.
func leaderIdle(f *figures) error {
	s := Slope{
		Key: "leader-idle", Title: "Leader with nothing to do: processor time a second",
		XLabel: "routers", YLabel: "milliseconds",
	}
	var err error
	f.LeaderIdle, err = measureSizes(s, []int{101, 202, 405, nodesAhead}, func(n int) (float64, error) {
		st := state.New(state.DefaultLimits())
		if err := (shape{n, threeReplicas}).fill(direct(st)); err != nil {
			return 0, err
		}
		log := controltest.New(st).Member(0)
		svc := service.New(service.Config{Member: "a", State: st, Log: log, Logger: slog.New(slog.DiscardHandler)})
		ctx, cancel := context.WithTimeout(context.Background(), idleTime)
		defer cancel()
		runtime.GC()
		begun := processorTime()
		svc.Run(ctx)
		return micros(processorTime()-begun) / 1e3 / idleTime.Seconds(), nil
	})
	return err
}

// pushSlopes measures how long a member takes to give a deployment of full size
// to its followers, and at what cost.
func pushSlopes(f *figures) error {
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
	f.PushTime, f.PushProcessor = wall, processor
	return err
}

func measurePush(followers int) (wall, used float64, err error) {
	sh := shape{nodesAhead, threeReplicas}
	m, err := newMember(sh)
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	for i := range followers {
		if err := m.follow(i); err != nil {
			return 0, 0, err
		}
	}
	changed := sh.deployment()
	changed.HedgeBudget = 0.03
	begun, cpu := time.Now(), processorTime()
	if err := configure(m.propose, "second", changed); err != nil {
		return 0, 0, err
	}
	if err := m.awaitDeployment(); err != nil {
		return 0, 0, err
	}
	return micros(time.Since(begun)) / 1e3, micros(processorTime()-cpu) / 1e3, nil
}

// awaitDeployment waits until each follower has the second deployment.
func (m *member) awaitDeployment() error {
	var wg sync.WaitGroup
	failed := make(chan error, len(m.followers))
	for _, s := range m.followers {
		wg.Go(func() {
			for {
				r, err := s.Recv()
				if err != nil {
					failed <- err
					return
				}
				if hasDeployment(r.GetRecords(), 2) {
					return
				}
			}
		})
	}
	wg.Wait()
	close(failed)
	return <-failed
}

func hasDeployment(records []*pb.Record, version uint64) bool {
	for _, r := range records {
		if r.GetDeployment().GetVersion() == version {
			return true
		}
	}
	return false
}

// memorySlopes measures what control's state holds in memory, and what a claim
// adds to it.
func memorySlopes(f *figures) error {
	whole := Slope{
		Key: "state-memory", Title: "Control's state in memory, routers and targets in ratio",
		XLabel: "routers", YLabel: "KiB",
	}
	claims := Slope{
		Key: "claim-memory", Title: "Settled claims in memory, outcomes of 300 bytes",
		XLabel: "claims", YLabel: "KiB",
	}
	var err error
	whole, err = measureSizes(whole, []int{101, 202, 405, nodesAhead}, func(n int) (float64, error) {
		return heldBy(func(s *state.State) error { return shape{n, threeReplicas}.fill(direct(s)) })
	})
	if err != nil {
		return err
	}
	intents := Slope{
		Key: "intent-memory", Title: "Settled intents in memory, in force at 810 routers",
		XLabel: "intents", YLabel: "KiB",
	}
	intents, err = measureSizes(intents, []int{100, 200, 400}, func(n int) (float64, error) {
		return heldBy(func(s *state.State) error {
			if err := (shape{nodesAhead, threeReplicas}).fill(direct(s)); err != nil {
				return err
			}
			return (&entryLog{state: s}).changes(n)
		})
	})
	if err != nil {
		return err
	}
	f.IntentMemory = intents
	claims, err = measureSizes(claims, []int{5_000, 10_000, 20_000}, func(n int) (float64, error) {
		return heldBy(func(s *state.State) error { return claimKeys(s, n) })
	})
	f.StateMemory, f.ClaimMemory = whole, claims
	return err
}

// heldBy returns the KiB that a state holds once it is filled.
func heldBy(fill func(*state.State) error) (float64, error) {
	before := heldMemory()
	s := state.New(state.DefaultLimits())
	if err := fill(s); err != nil {
		return 0, err
	}
	held := kib(heldMemory(), before)
	runtime.KeepAlive(s)
	return held, nil
}

const (
	outcomeBytes = 300
	// claimsAnEntry is the number of claims in one log entry.
	claimsAnEntry = 100
)

func claimKeys(s *state.State, n int) error {
	for at := 0; at < n; at += claimsAnEntry {
		for _, settle := range []bool{false, true} {
			c := state.Command{Claims: make([]state.Claim, claimsAnEntry)}
			for i := range c.Claims {
				c.Claims[i] = state.Claim{
					Key: fmt.Sprintf("order-%032d", at+i), BodyHash: 1, VM: "entry-001", Incarnation: 1, Token: 1, Settle: settle,
				}
				if settle {
					c.Claims[i].Outcome = make([]byte, outcomeBytes)
				}
			}
			if replies, ok := direct(s)(c).([]*pb.ClaimReply); !ok || len(replies) != claimsAnEntry {
				return &TrialError{Step: "claims"}
			}
		}
	}
	return nil
}
