package main

import (
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

// entryLog keeps the entries that a state was given.
type entryLog struct {
	state   *state.State
	entries [][]byte
	bytes   int
}

func (l *entryLog) propose(c state.Command) any {
	data := c.Encode(time.Now())
	l.entries = append(l.entries, data)
	l.bytes += len(data)
	return l.state.Apply(l.state.Index()+1, data)
}

// changes makes n configuration changes: targets go out and come back in turn,
// and each change is recorded as in force at all routers.
func (l *entryLog) changes(n int) error {
	d := l.state.View().Topology.Deployment
	routers := (shape{nodesAhead, threeReplicas}).routerNames()
	for i := range n {
		spec := api.IntentSpec{Kind: api.IntentTakeOut, Targets: []topology.TargetID{takeOut(d, i/2)}, Operator: "operator"}
		if i%2 == 1 {
			spec.Kind = api.IntentBringBack
		}
		id, err := intendID(l.propose, numbered("change", i), spec)
		if err != nil {
			return err
		}
		settleIntent(l.propose, id, routers)
	}
	return nil
}

// historySlopes measures how entries, snapshots and the time to apply all
// entries again grow with the number of changes.
func historySlopes(f *figures) error {
	entries := Slope{
		Key: "log-bytes", Title: "Log entries of changes of single targets", XLabel: "changes", YLabel: "KiB",
	}
	snapshot := Slope{
		Key: "snapshot-bytes", Title: "Snapshot of control's state at 810 routers", XLabel: "changes", YLabel: "KiB",
	}
	replay := Slope{
		Key: "replay-time", Title: "Applying all entries again at 810 routers", XLabel: "changes", YLabel: "milliseconds",
	}
	for _, n := range []int{100, 200, 400, 800} {
		l := &entryLog{state: state.New(state.DefaultLimits())}
		if err := (shape{nodesAhead, threeReplicas}).fill(l.propose); err != nil {
			return err
		}
		before := l.bytes
		if err := l.changes(n); err != nil {
			return err
		}
		data, err := l.state.Snapshot()
		if err != nil {
			return err
		}
		ms, err := least(func() (float64, error) { return l.replay(), nil })
		if err != nil {
			return err
		}
		x := float64(n)
		entries.Points = append(entries.Points, Point{x, float64(l.bytes-before) / 1024})
		snapshot.Points = append(snapshot.Points, Point{x, float64(len(data)) / 1024})
		replay.Points = append(replay.Points, Point{x, ms})
	}
	entries.fit()
	snapshot.fit()
	replay.fit()
	f.LogBytes, f.SnapshotBytes, f.ReplayTime = entries, snapshot, replay
	return nil
}

// replay applies all entries to an empty state and returns the milliseconds.
func (l *entryLog) replay() float64 {
	s := state.New(state.DefaultLimits())
	begun := time.Now()
	for i, data := range l.entries {
		s.Apply(uint64(i)+1, data)
	}
	return micros(time.Since(begun)) / 1e3
}
