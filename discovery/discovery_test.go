package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc"
)

func target(i int) Target {
	return Target{
		ID: TargetID(fmt.Sprint("t", i)), Service: "s", DataCentre: "dc", Slots: 2,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
	}
}

// listReader is a Reader that returns the list a test sets, or fails.
type listReader struct {
	calls atomic.Int64
	fail  atomic.Bool
	list  atomic.Pointer[[]Target]
}

// failedError is the error of a listReader that is set to fail.
type failedError struct{}

func (failedError) Error() string { return "failed" }

func (r *listReader) Read(context.Context) ([]Target, error) {
	r.calls.Add(1)
	if r.fail.Load() {
		return nil, failedError{}
	}
	return append([]Target(nil), *r.list.Load()...), nil
}

func (r *listReader) set(targets ...Target) { r.list.Store(&targets) }

// node is one process with an inventory, a source and a server.
type node struct {
	inventory *Inventory
	addr      netip.AddrPort
	stop      context.CancelFunc
}

func startNode(t *testing.T, name string, r Reader, reads bool, watched ...netip.AddrPort) *node {
	t.Helper()
	return startNodeWith(t, name, r, func() bool { return reads }, func() []netip.AddrPort { return watched })
}

// startNodeWith starts a node whose role and peers may change while it runs.
func startNodeWith(t *testing.T, name string, r Reader, reads func() bool, watched func() []netip.AddrPort) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := &node{inventory: NewInventory(), addr: netip.MustParseAddrPort(l.Addr().String()), stop: cancel}
	log := slog.New(slog.DiscardHandler)
	go func() {
		_ = rpc.Serve(ctx, l, func(m drpc.Mux) error { return NewServer(n.inventory, log).Register(m) })
	}()
	s := &Source{
		Inventory: n.inventory, Reader: r, Self: name, IsReader: reads, Peers: watched,
		ReadInterval: 50 * time.Millisecond, MaxListAge: 400 * time.Millisecond, StartupWait: 200 * time.Millisecond, Log: log,
	}
	go s.Run(ctx)
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for", what)
		}
	}
}

func (n *node) has(targets ...Target) bool {
	got := n.inventory.List().Targets
	if len(got) != len(targets) {
		return false
	}
	for i := range targets {
		if x := got[targets[i].ID]; x == nil || !x.equivalent(&targets[i]) {
			return false
		}
	}
	return true
}

// TestSingleReaderServesAllWatchers guards against calls to the platform that grow
// with the number of processes. Only the leader may read; changes and removals
// must reach a router that watches a member that watches the leader.
func TestSingleReaderServesAllWatchers(t *testing.T) {
	r, unused := &listReader{}, &listReader{}
	a, b := target(1), target(2)
	r.set(a, b)
	unused.set()
	leader := startNode(t, "leader", r, true)
	member := startNode(t, "member", unused, false, leader.addr)
	router := startNode(t, "router", unused, false, member.addr)
	eventually(t, "the first list", func() bool { return router.has(a, b) })
	b.Draining = true
	r.set(b)
	eventually(t, "the change and the removal", func() bool { return router.has(b) })
	before := unused.calls.Load()
	time.Sleep(300 * time.Millisecond)
	if n := unused.calls.Load(); n != before {
		t.Fatalf("%d reads besides the leader's", n-before)
	}
}

// TestProcessReadsListWhenLeaderStops guards against a router that is left with an
// outdated list when the leader stops: it must read the list itself.
func TestProcessReadsListWhenLeaderStops(t *testing.T) {
	r, own := &listReader{}, &listReader{}
	r.set(target(1))
	own.set(target(2))
	leader := startNode(t, "leader", r, true)
	router := startNode(t, "router", own, false, leader.addr)
	eventually(t, "the leader's list", func() bool { return router.has(target(1)) })
	leader.stop()
	eventually(t, "the router's own read", func() bool { return router.has(target(2)) })
}

// TestFailedReadKeepsList guards against a failed read that drops the
// current list.
func TestFailedReadKeepsList(t *testing.T) {
	r := &listReader{}
	r.set(target(1))
	n := startNode(t, "leader", r, true)
	eventually(t, "the list", func() bool { return n.has(target(1)) })
	r.fail.Store(true)
	before := r.calls.Load()
	eventually(t, "a failed read", func() bool { return r.calls.Load() > before })
	if !n.has(target(1)) {
		t.Fatal("a failed read dropped the list")
	}
}

// TestOlderListIsDropped guards against a delayed list that replaces a newer one.
func TestOlderListIsDropped(t *testing.T) {
	v := NewInventory()
	now := time.Now()
	if !v.Replace([]Target{target(1)}, now) || v.Replace([]Target{target(2)}, now.Add(-time.Second)) {
		t.Fatal("an older list was stored")
	}
}

// TestUpdateTransformsAnyListIntoAnyOther guards against updates that miss an
// added, changed, removed or restarted target, over all pairs of several lists.
func TestUpdateTransformsAnyListIntoAnyOther(t *testing.T) {
	now := time.Now()
	lists := [][]Target{{}, {target(1)}, {target(1), target(2)}, {target(2), target(3)}}
	cold := target(1)
	cold.ColdUntil = now.Add(2 * time.Second)
	again := target(2)
	again.BornUnixMS = 99
	lists = append(lists, []Target{cold, again})
	for i, from := range lists {
		for j, to := range lists {
			source, watcher := NewInventory(), NewInventory()
			source.Replace(from, now)
			first := source.List()
			watched, err := applyUpdate(&List{}, newUpdate(&List{}, first, now), now)
			if err != nil {
				t.Fatal(err)
			}
			watcher.Store(watched)
			// The watcher's own read must not become the base of the next update.
			watcher.Replace([]Target{target(9)}, now)
			source.Replace(to, now)
			watched, err = applyUpdate(watched, newUpdate(first, source.List(), now), now.Add(time.Millisecond))
			if err != nil {
				t.Fatal(err)
			}
			watcher.Store(watched)
			n := &node{inventory: watcher}
			if !n.has(to...) {
				t.Errorf("from list %d to %d: %v targets", i, j, reflect.ValueOf(watcher.List().Targets).Len())
			}
		}
	}
}

// TestListIsReadOnlyOnceNeeded guards against needless calls to the platform from
// routers that have no routes yet, and against a list that is not read once it is
// needed.
func TestListIsReadOnlyOnceNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &listReader{}
		r.set(target(1))
		var useful atomic.Bool
		s := &Source{
			Inventory: NewInventory(), Reader: r, IsReader: func() bool { return false }, Needed: useful.Load,
			Peers: func() []netip.AddrPort { return nil }, ReadInterval: 50 * time.Millisecond,
			MaxListAge: 400 * time.Millisecond, StartupWait: 200 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			s.Run(ctx)
			close(done)
		}()
		time.Sleep(10 * time.Second)
		if n := r.calls.Load(); n != 0 {
			t.Errorf("%d reads before the list was needed", n)
		}
		useful.Store(true)
		time.Sleep(s.StartupWait + 3*pollInterval)
		if r.calls.Load() == 0 {
			t.Error("no read once the list was needed")
		}
		cancel()
		<-done
	})
}

// TestLeadershipChangeLeavesNoWatchCycle guards against a watch cycle after a
// leadership change. The new leader must end its watch of the former leader, which
// now watches the new one; otherwise each takes the other's old list for newer
// than its own and both forward it endlessly.
func TestLeadershipChangeLeavesNoWatchCycle(t *testing.T) {
	list := &listReader{}
	list.set(target(1), target(2))
	var secondLeads atomic.Bool
	var first, second atomic.Pointer[node]
	other := func(n *atomic.Pointer[node], leads bool) []netip.AddrPort {
		if at := n.Load(); at != nil && !leads {
			return []netip.AddrPort{at.addr}
		}
		return nil
	}
	a := startNodeWith(t, "a", list, func() bool { return !secondLeads.Load() }, func() []netip.AddrPort { return other(&second, !secondLeads.Load()) })
	first.Store(a)
	b := startNodeWith(t, "b", list, secondLeads.Load, func() []netip.AddrPort { return other(&first, secondLeads.Load()) })
	second.Store(b)
	unused := &listReader{}
	unused.set()
	router := startNode(t, "router", unused, false, b.addr)
	eventually(t, "the first leader's list", func() bool { return router.has(target(1), target(2)) })
	secondLeads.Store(true)
	eventually(t, "a watch of the new leader", func() bool { return a.inventory.List().Age(time.Now()) < 200*time.Millisecond })
	list.set(target(2))
	eventually(t, "the new leader's list", func() bool { return router.has(target(2)) && a.has(target(2)) && b.has(target(2)) })
	updates := 0
	for end := time.After(500 * time.Millisecond); ; updates++ {
		select {
		case <-router.inventory.Changed():
			continue
		case <-end:
		}
		break
	}
	if updates > 20 {
		t.Errorf("%d updates in 0.5 s of a list that is read every 50 ms, want at most 20", updates)
	}
}
