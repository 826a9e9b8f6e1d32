package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/consensus/storage"
	"github.com/peridotmux/peridotmux/rpc"
)

const (
	// defaultMembers is the number of members in measurements that don't vary
	// it.
	defaultMembers = 3
	// groupIdleTime is the duration of the measurement of an idle group.
	groupIdleTime = time.Second
	// entryBytes is the size of a log entry that changes one target.
	entryBytes = 300
	// leaderTimeout is the time within which a group must elect a leader.
	leaderTimeout = 10 * time.Second
)

// NoLeaderError reports that a group didn't elect a leader within
// leaderTimeout.
type NoLeaderError struct{ Members int }

// Error states the number of members.
func (e *NoLeaderError) Error() string { return fmt.Sprintf("%d members elected no leader", e.Members) }

// noopStateMachine is a state machine without a state.
type noopStateMachine struct{}

// Apply ignores the entry.
func (noopStateMachine) Apply(uint64, []byte) any { return nil }

// Snapshot returns an empty state.
func (noopStateMachine) Snapshot() ([]byte, error) { return nil, nil }

// Restore ignores the snapshot.
func (noopStateMachine) Restore(uint64, []byte) error { return nil }

// localGroup is a control group whose members run in this process, with files
// and sockets of their own.
type localGroup struct {
	groups []*group.Group
	// bytes counts the traffic between the members, in both directions.
	bytes  *atomic.Int64
	folder string
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// newLocalGroup starts a group and waits for a leader. It returns a
// *NoLeaderError if none is elected in time.
func newLocalGroup(members int) (*localGroup, error) {
	g := &localGroup{bytes: new(atomic.Int64)}
	var err error
	if g.folder, err = os.MkdirTemp("", "capacity"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	if err := g.start(ctx, members); err != nil {
		g.close()
		return nil, err
	}
	if _, err := g.leader(); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// start starts the given number of members; they stop when ctx is cancelled.
func (g *localGroup) start(ctx context.Context, members int) error {
	listeners := make([]countingListener, members)
	list := make([]group.Member, members)
	for i := range list {
		l, err := listen()
		if err != nil {
			return err
		}
		l.bytes = g.bytes
		listeners[i] = l
		list[i] = group.Member{
			ID: consensus.MemberID(i + 1), Name: fmt.Sprintf("state-%d", i+1),
			RPC: netip.MustParseAddrPort(l.Addr().String()),
		}
	}
	for i, m := range list {
		dir := filepath.Join(g.folder, m.Name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		member, err := group.Open(group.Config{
			ID: m.ID, GroupName: "trial", Members: list, DataDir: dir, Bootstrap: true, StateMachine: noopStateMachine{},
		})
		if err != nil {
			return err
		}
		g.groups = append(g.groups, member)
		g.wg.Go(func() { _ = rpc.Serve(ctx, listeners[i], member.Register) })
		g.wg.Go(func() { _ = member.Run(ctx) })
	}
	return nil
}

// leader waits for a leader that can commit an entry, and returns it.
func (g *localGroup) leader() (*group.Group, error) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, m := range g.groups {
			if !m.Leadership().Leads {
				continue
			}
			if _, err := m.Propose(ctx, make([]byte, entryBytes)); err == nil {
				return m, nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, &NoLeaderError{Members: len(g.groups)}
}

// follower returns a member that isn't the leader, or the first one if there is
// none.
func (g *localGroup) follower() *group.Group {
	for _, m := range g.groups {
		if !m.Leadership().Leads {
			return m
		}
	}
	return g.groups[0]
}

// close stops the members and removes their files.
func (g *localGroup) close() {
	g.stop()
	g.wg.Wait()
	_ = os.RemoveAll(g.folder)
}

// fitIdleGroup measures the processor time and the traffic of a group without
// proposals.
func fitIdleGroup(out *measurements) error {
	processor := Slope{
		Key: "group-idle", Title: "Idle group: processor time a second, all members",
		XLabel: "members", YLabel: "milliseconds",
	}
	bytes := Slope{
		Key: "group-idle-bytes", Title: "Idle group: bytes a second between all members",
		XLabel: "members", YLabel: "bytes",
	}
	perSize := make(map[int]float64)
	sizes := []int{3, 5, 7}
	var err error
	processor, err = measureSizes(processor, sizes, func(n int) (float64, error) {
		g, err := newLocalGroup(n)
		if err != nil {
			return 0, err
		}
		defer g.close()
		start, before := processorTime(), g.bytes.Load()
		time.Sleep(groupIdleTime)
		perSize[n] = float64(g.bytes.Load()-before) / groupIdleTime.Seconds()
		return micros(processorTime()-start) / 1e3 / groupIdleTime.Seconds(), nil
	})
	if err != nil {
		return err
	}
	bytes, err = measureSizes(bytes, sizes, func(n int) (float64, error) { return perSize[n], nil })
	out.GroupIdle, out.GroupIdleBytes = processor, bytes
	return err
}

// fitConfirmations measures confirmations requested at a member that isn't the
// leader. They are sequential, so that no two share a round.
func fitConfirmations(out *measurements) error {
	processor := Slope{
		Key: "confirm-processor", Title: "Confirmations in a group of 3: processor time, all members",
		XLabel: "confirmations", YLabel: "milliseconds",
	}
	bytes := Slope{
		Key: "confirm-bytes", Title: "Confirmations in a group of 3: bytes between all members",
		XLabel: "confirmations", YLabel: "bytes",
	}
	sizes := []int{200, 400, 800}
	perSize := make(map[int]float64)
	var err error
	processor, err = measureSizes(processor, sizes, func(n int) (float64, error) {
		g, err := newLocalGroup(defaultMembers)
		if err != nil {
			return 0, err
		}
		defer g.close()
		member := g.follower()
		start, before := processorTime(), g.bytes.Load()
		for range n {
			if _, _, err := member.Confirm(context.Background()); err != nil {
				return 0, err
			}
		}
		perSize[n] = float64(g.bytes.Load() - before)
		return micros(processorTime()-start) / 1e3, nil
	})
	if err != nil {
		return err
	}
	bytes, err = measureSizes(bytes, sizes, func(n int) (float64, error) { return perSize[n], nil })
	out.ConfirmProcessor, out.ConfirmBytes = processor, bytes
	return err
}

// fitCommitTime measures the time until an entry is synced to disk, committed
// and applied, against the entry's size.
func fitCommitTime(out *measurements) error {
	s := Slope{
		Key: "propose-time", Title: "One entry committed in a group of 3, synced to disks",
		XLabel: "KiB", YLabel: "milliseconds",
	}
	const entries = 20
	var err error
	out.ProposeTime, err = measureSizes(s, []int{1, 64, 256, 1024}, func(n int) (float64, error) {
		g, err := newLocalGroup(defaultMembers)
		if err != nil {
			return 0, err
		}
		defer g.close()
		leader, err := g.leader()
		if err != nil {
			return 0, err
		}
		start := time.Now()
		for range entries {
			if _, err := leader.Propose(context.Background(), make([]byte, n*1024)); err != nil {
				return 0, err
			}
		}
		return micros(time.Since(start)) / 1e3 / entries, nil
	})
	return err
}

// fitLogFiles measures the size of a log's files and the time to read them
// again.
func fitLogFiles(out *measurements) error {
	size := Slope{
		Key: "disk-bytes", Title: "Files of a log with entries of 300 bytes", XLabel: "entries", YLabel: "KiB",
	}
	load := Slope{
		Key: "load-time", Title: "Reading a log's files again", XLabel: "entries", YLabel: "milliseconds",
	}
	sizes := []int{40_000, 80_000, 160_000}
	perSize := make(map[int]float64)
	var err error
	load, err = measureSizes(load, sizes, func(n int) (float64, error) {
		ms, kib, err := measureDisk(n)
		perSize[n] = kib
		return ms, err
	})
	if err != nil {
		return err
	}
	size, err = measureSizes(size, sizes, func(n int) (float64, error) { return perSize[n], nil })
	out.DiskBytes, out.LoadTime = size, load
	return err
}

// diskBatch is the number of entries that are synced at once.
const diskBatch = 1000

// measureDisk writes a log and returns the time to open it again in
// milliseconds and the size of its files in KiB.
func measureDisk(entries int) (ms, size float64, err error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := writeLog(dir, entries); err != nil {
		return 0, 0, err
	}
	start := time.Now()
	s, _, err := storage.Open(dir)
	if err != nil {
		return 0, 0, err
	}
	ms = micros(time.Since(start)) / 1e3
	size, err = folderKiB(dir)
	if err != nil {
		return 0, 0, err
	}
	return ms, size, s.Close()
}

// writeLog writes a log of the given number of entries, a multiple of
// diskBatch, to dir.
func writeLog(dir string, entries int) error {
	s, _, err := storage.Open(dir)
	if err != nil {
		return err
	}
	for at := 0; at < entries; at += diskBatch {
		batch := make([]consensus.Entry, diskBatch)
		for i := range batch {
			batch[i] = consensus.Entry{Index: uint64(at + i + 1), Term: 1, Data: make([]byte, entryBytes)}
		}
		if err := s.Save(consensus.HardState{Term: 1, Commit: uint64(at + diskBatch)}, batch); err != nil {
			_ = s.Close()
			return err
		}
	}
	return s.Close()
}

// folderKiB returns the total size of the files in dir, in KiB.
func folderKiB(dir string) (float64, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	sum := int64(0)
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			return 0, err
		}
		sum += info.Size()
	}
	return float64(sum) / 1024, nil
}
