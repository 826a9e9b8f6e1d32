package group_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/rpc"
)

const waitTimeout = 20 * time.Second

// recordingMachine is a state machine that records the commands in order. It
// drops duplicates, since a caller proposes a command again if its outcome is
// unknown.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
	// applied counts the applied commands including duplicates.
	applied int
	// discard disables recording, for benchmarks.
	discard bool
	// applyTime is how long Apply takes.
	applyTime time.Duration
}

func (m *recordingMachine) Apply(_ uint64, data []byte) any {
	time.Sleep(m.applyTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied++
	if !m.discard && !slices.Contains(m.commands, string(data)) {
		m.commands = append(m.commands, string(data))
	}
	return len(m.commands)
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []byte
	for _, l := range m.commands {
		out = append(append(out, l...), '\n')
	}
	return out, nil
}

func (m *recordingMachine) Restore(_ uint64, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	start := 0
	for i, b := range data {
		if b == '\n' {
			m.commands = append(m.commands, string(data[start:i]))
			start = i + 1
		}
	}
	return nil
}

// repeats returns the number of duplicate commands that were applied.
func (m *recordingMachine) repeats() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied - len(m.commands)
}

// appliedCount returns the number of commands applied since the start, including
// duplicates.
func (m *recordingMachine) appliedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

func (m *recordingMachine) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.commands)
}

// process is a running member with its RPC server.
type process struct {
	*group.Group
	id      consensus.MemberID
	machine *recordingMachine
	stop    func()
	err     chan error
}

// cluster is a group of members on loopback.
type cluster struct {
	// resent counts the proposals repeated after an unknown outcome.
	resent        atomic.Int64
	t             testing.TB
	members       []group.Member
	dirs          map[consensus.MemberID]string
	running       map[consensus.MemberID]*process
	listeners     map[consensus.MemberID]net.Listener
	snapshotEvery uint64
	partitions    *partitions
	discard       bool
	// journal selects the journal engine.
	journal bool
	// snapshotBytes is Config.SnapshotBytes.
	snapshotBytes uint64
	// applyTime is how long members take to apply a command.
	applyTime time.Duration
	// selfOnly is the member that is configured with itself only, none if 0.
	selfOnly consensus.MemberID
	// configured is the number of members in the configuration of the first
	// members, all if 0.
	configured int
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, dirs: map[consensus.MemberID]string{}, running: map[consensus.MemberID]*process{}}
	c.partitions = newPartitions()
	c.listeners = map[consensus.MemberID]net.Listener{}
	for i := range n {
		c.addMember(i + 1)
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) addMember(i int) group.Member {
	// Not 127.0.0.1, where an outgoing connection could be assigned the port of
	// a stopped member.
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", i))
	if err != nil {
		c.t.Fatal(err)
	}
	c.listeners[consensus.MemberID(i)] = l
	m := group.Member{
		ID: consensus.MemberID(i), Name: fmt.Sprintf("vm%d", i), RPC: netip.MustParseAddrPort(l.Addr().String()),
	}
	c.members = append(c.members, m)
	c.dirs[m.ID] = c.t.TempDir()
	return m
}

func (c *cluster) start(id consensus.MemberID, bootstrap bool) *process {
	c.t.Helper()
	j := &recordingMachine{discard: c.discard, applyTime: c.applyTime}
	members := c.members
	if c.configured > 0 {
		members = members[:max(c.configured, int(id))]
	}
	if id == c.selfOnly {
		members = []group.Member{c.member(id)}
	}
	g, err := group.Open(group.Config{
		ID: id, GroupName: "test", Members: members, DataDir: c.dirs[id], Bootstrap: bootstrap,
		StateMachine: j, UseJournal: c.journal, SnapshotBytes: c.snapshotBytes, SnapshotEvery: c.snapshotEvery, TrailingEntries: c.snapshotEvery,
		Dial: c.dialer(id),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Group: g, id: id, machine: j, err: make(chan error, 1)}
	var wg sync.WaitGroup
	l := c.listener(id)
	wg.Go(func() { _ = rpc.Serve(ctx, l, g.Register) })
	wg.Go(func() { p.err <- g.Run(ctx) })
	p.stop = func() {
		cancel()
		wg.Wait()
		delete(c.running, id)
	}
	c.running[id] = p
	return p
}

// listener returns the member's listener of its first start, or a new one on the
// same address.
func (c *cluster) listener(id consensus.MemberID) net.Listener {
	if l := c.listeners[id]; l != nil {
		c.listeners[id] = nil
		return l
	}
	l, err := net.Listen("tcp", c.member(id).RPC.String())
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

func (c *cluster) member(id consensus.MemberID) group.Member {
	i := slices.IndexFunc(c.members, func(m group.Member) bool { return m.ID == id })
	return c.members[i]
}

func (c *cluster) startAll() {
	c.t.Helper()
	for _, m := range c.members {
		c.start(m.ID, true)
	}
}

func (c *cluster) stopAll() {
	for _, p := range c.running {
		p.stop()
	}
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) leader() *process {
	c.t.Helper()
	var found *process
	eventually(c.t, "a leader", func() bool {
		for _, p := range c.running {
			if p.Leadership().Leads {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// propose proposes a command at the current leader until it is acknowledged.
func (c *cluster) propose(data string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := c.leader().Propose(ctx, []byte(data))
		var other *control.NotLeaderError
		var unknown *control.UnknownOutcomeError
		if err == nil {
			return
		}
		if !errors.As(err, &other) && !errors.As(err, &unknown) {
			c.t.Fatal(err)
		}
		if errors.As(err, &unknown) {
			c.resent.Add(1)
		}
	}
	c.t.Fatal("command was not acknowledged in time")
}
