package main

import (
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/topology"
)

// entryLog applies commands to a state and keeps the encoded entries.
type entryLog struct {
	state   *state.State
	entries [][]byte
	// bytes is the total size of the entries.
	bytes int
}

// propose applies c at the next index; it is a proposeFunc.
func (l *entryLog) propose(c state.Command) any {
	data := c.Encode(time.Now())
	l.entries = append(l.entries, data)
	l.bytes += len(data)
	return l.state.Apply(l.state.Index()+1, data)
}

// applyChanges makes n configuration changes at the projected number of
// routers: targets are taken out and brought back in turn, and each change is
// recorded as in force at all routers.
func (l *entryLog) applyChanges(n int) error {
	d := l.state.View().Topology.Deployment
	routers := (clusterShape{projectedNodes, threeReplicas}).routerNames()
	for i := range n {
		spec := api.IntentSpec{Kind: api.IntentTakeOut, Targets: []topology.TargetID{targetAt(d, i/2)}, Operator: "operator"}
		if i%2 == 1 {
			spec.Kind = api.IntentBringBack
		}
		id, err := submitAndConfirmID(l.propose, numbered("change", i), spec)
		if err != nil {
			return err
		}
		settleIntent(l.propose, id, routers)
	}
	return nil
}

// fitHistory measures how the log's entries, the snapshot and the time of a
// replay grow with the number of changes.
func fitHistory(out *measurements) error {
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
		if err := (clusterShape{projectedNodes, threeReplicas}).fill(l.propose); err != nil {
			return err
		}
		before := l.bytes
		if err := l.applyChanges(n); err != nil {
			return err
		}
		data, err := l.state.Snapshot()
		if err != nil {
			return err
		}
		ms, err := measureMin(func() (float64, error) { return l.replay(), nil })
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
	out.LogBytes, out.SnapshotBytes, out.ReplayTime = entries, snapshot, replay
	return nil
}

// replay applies all entries to an empty state and returns the duration in
// milliseconds.
func (l *entryLog) replay() float64 {
	s := state.New(state.DefaultLimits())
	start := time.Now()
	for i, data := range l.entries {
		s.Apply(uint64(i)+1, data)
	}
	return micros(time.Since(start)) / 1e3
}
