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
	return l.state.Apply(uint64(len(l.entries)), data)
}

// changes makes n configuration changes: targets go out and come back in turn.
func (l *entryLog) changes(n int) error {
	d := l.state.View().Topology.Deployment
	for i := range n {
		spec := api.IntentSpec{Kind: api.IntentTakeOut, Targets: []topology.TargetID{takeOut(d, i/2)}, Operator: "operator"}
		if i%2 == 1 {
			spec.Kind = api.IntentBringBack
		}
		if err := intend(l.propose, numbered("change", i), spec); err != nil {
			return err
		}
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
	for _, n := range []int{250, 500, 1000, 2000} {
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
