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

const waitBound = 20 * time.Second

// journal is a state machine that keeps the commands in order, and each once:
// a caller that doesn't know the outcome proposes again.
type journal struct {
	mu    sync.Mutex
	lines []string
	// applied counts every command applied, repeated ones too.
	applied int
	// discard keeps nothing, for benchmarks.
	discard bool
}

func (j *journal) Apply(_ uint64, data []byte) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.applied++
	if !j.discard && !slices.Contains(j.lines, string(data)) {
		j.lines = append(j.lines, string(data))
	}
	return len(j.lines)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []byte
	for _, l := range j.lines {
		out = append(append(out, l...), '\n')
	}
	return out, nil
}

func (j *journal) Restore(_ uint64, data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = nil
	start := 0
	for i, b := range data {
		if b == '\n' {
			j.lines = append(j.lines, string(data[start:i]))
			start = i + 1
		}
	}
	return nil
}

// repeats returns how many commands were applied more than once.
func (j *journal) repeats() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.applied - len(j.lines)
}

func (j *journal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.lines)
}

// process is one member with its server, as a process would run it.
type process struct {
	*group.Group
	id      consensus.MemberID
	journal *journal
	stop    func()
	err     chan error
}

// cluster is a group on loopback.
type cluster struct {
	// sentAgain counts proposals sent again after an unknown outcome.
	sentAgain     atomic.Int64
	t             testing.TB
	members       []group.Member
	dirs          map[consensus.MemberID]string
	running       map[consensus.MemberID]*process
	listeners     map[consensus.MemberID]net.Listener
	snapshotEvery uint64
	cuts          *cuts
	discard       bool
	// alone is a member whose settings name only itself, none if 0.
	alone consensus.MemberID
	// named is how many members the first members' settings name, all if 0.
	named int
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, dirs: map[consensus.MemberID]string{}, running: map[consensus.MemberID]*process{}}
	c.cuts = newCuts()
	c.listeners = map[consensus.MemberID]net.Listener{}
	for i := range n {
		c.addMember(i + 1)
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) addMember(i int) group.Member {
	// Not 127.0.0.1, where outgoing connections could take the port of a
	// member that is stopped.
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
	j := &journal{discard: c.discard}
	members := c.members
	if c.named > 0 {
		members = members[:max(c.named, int(id))]
	}
	if id == c.alone {
		members = []group.Member{c.member(id)}
	}
	g, err := group.Open(group.Config{
		ID: id, GroupName: "test", Members: members, DataDir: c.dirs[id], Bootstrap: bootstrap,
		StateMachine: j, SnapshotEvery: c.snapshotEvery, TrailingEntries: c.snapshotEvery,
		Dial: c.dialer(id),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Group: g, id: id, journal: j, err: make(chan error, 1)}
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

// listener returns the member's first listener, or listens again.
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
	deadline := time.Now().Add(waitBound)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
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

// propose proposes at whoever leads until it is acknowledged.
func (c *cluster) propose(data string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
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
			c.sentAgain.Add(1)
		}
	}
	c.t.Fatal("not acknowledged in time")
}
