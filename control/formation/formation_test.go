package formation

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// fakeGroup is a group that does what it is told at once.
type fakeGroup struct {
	mu     sync.Mutex
	status group.Status
	done   []string
	// disk is what the process at a new member's address says it has.
	disk consensus.DiskID
}

func (g *fakeGroup) Status(context.Context) (group.Status, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.status
	s.Members = slices.Clone(s.Members)
	return s, nil
}

func (g *fakeGroup) change(what string, edit func()) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = append(g.done, what)
	edit()
	return nil
}

func (g *fakeGroup) AddLearner(_ context.Context, m group.Member) error {
	return g.change("add", func() {
		added := consensus.Member{ID: m.ID, Disk: g.disk, Addr: m.RPC.String(), Learner: true}
		g.status.Members = append(g.status.Members, group.MemberStatus{Member: added, Active: true})
	})
}

func (g *fakeGroup) Promote(_ context.Context, id consensus.MemberID) error {
	return g.change("promote", func() {
		for i := range g.status.Members {
			if g.status.Members[i].ID == id {
				g.status.Members[i].Learner = false
			}
		}
	})
}

func (g *fakeGroup) Remove(_ context.Context, id consensus.MemberID) error {
	return g.change("remove", func() {
		g.status.Members = slices.DeleteFunc(g.status.Members, func(m group.MemberStatus) bool { return m.ID == id })
	})
}

// groupOf returns a group that member 1 leads, with the given members active.
func groupOf(active ...bool) *fakeGroup {
	g := &fakeGroup{disk: "new", status: group.Status{Self: 1, Leader: 1, Leads: true, Term: 2}}
	for i, a := range active {
		m := consensus.Member{ID: consensus.MemberID(i + 1), Disk: "old", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)).String()}
		g.status.Members = append(g.status.Members, group.MemberStatus{Member: m, Active: a})
	}
	return g
}

func (g *fakeGroup) ids() []consensus.MemberID {
	var out []consensus.MemberID
	for _, m := range g.status.Members {
		out = append(out, m.ID)
	}
	return out
}

func quietLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func TestJoin(t *testing.T) {
	for _, c := range []struct {
		name string
		g    *fakeGroup
		id   uint64
		disk string
		done []string
	}{
		{"a voter", groupOf(true, true, true), 2, "old", nil},
		{"a new member", groupOf(true, true, true), 4, "new", []string{"add", "promote"}},
		{"a lost disk", groupOf(true, true, true), 3, "new", []string{"remove", "add", "promote"}},
	} {
		f := New(c.g, quietLog())
		var last *pb.JoinResponse
		for range 3 {
			last = f.Join(context.Background(), &pb.JoinRequest{Member: c.id, Disk: c.disk, RpcAddr: "127.0.0.1:9"})
		}
		if !last.GetLeads() || !last.GetVoter() || !slices.Equal(c.g.done, c.done) {
			t.Errorf("%s: %v, did %v, want %v", c.name, last, c.g.done, c.done)
		}
	}
}

// A new member takes the place of one that is gone, so that the number of voters,
// and with it the losses that the group bears, stays as it was.
func TestNewMemberReplacesASilentOne(t *testing.T) {
	g := groupOf(true, true, false)
	f := New(g, quietLog())
	f.note(g.status, time.Now().Add(-2*replaceAfter))
	q := &pb.JoinRequest{Member: 4, Disk: "new", RpcAddr: "127.0.0.1:9"}
	for range 3 {
		f.Join(context.Background(), q)
	}
	if got := g.ids(); !slices.Equal(got, []consensus.MemberID{1, 2, 4}) {
		t.Fatalf("members %v", got)
	}
}

func TestJoinAtAFollowerNamesTheLeader(t *testing.T) {
	g := groupOf(true, true, true)
	g.status.Leads, g.status.Self = false, 2
	r := New(g, quietLog()).Join(context.Background(), &pb.JoinRequest{Member: 9, RpcAddr: "127.0.0.1:9"})
	if r.GetLeads() || r.GetLeaderAddr() != "127.0.0.1:1" || len(g.done) != 0 {
		t.Fatalf("%v, did %v", r, g.done)
	}
}

// A voter that is silent for long is taken out, if three others are active.
func TestSilentVoterIsTakenOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		active []bool
		silent time.Duration
		want   bool
	}{
		{"four of five active", []bool{true, true, true, true, false}, 2 * goneAfter, true},
		{"three of four active", []bool{true, true, true, false}, 2 * goneAfter, true},
		{"not long enough", []bool{true, true, true, false}, goneAfter / 2, false},
		{"only two left", []bool{true, true, false}, 2 * goneAfter, false},
		{"two of four", []bool{true, true, false, false}, 2 * goneAfter, false},
	} {
		g := groupOf(c.active...)
		f := New(g, quietLog())
		f.note(g.status, time.Now().Add(-c.silent))
		f.note(g.status, time.Now())
		f.removeSilent(context.Background(), g.status, goneAfter)
		if got := len(g.done) == 1; got != c.want {
			t.Errorf("%s: did %v", c.name, g.done)
		}
	}
}

// A new leader doesn't know who was silent before its term.
func TestNewTermGivesEveryoneTime(t *testing.T) {
	g := groupOf(true, true, true, false)
	f := New(g, quietLog())
	f.note(g.status, time.Now().Add(-2*goneAfter))
	g.status.Term++
	f.note(g.status, time.Now())
	if _, ok := f.silent(g.status, time.Now(), goneAfter); ok {
		t.Fatal("taken out at the start of a term")
	}
}

// memberServer answers Join calls.
type memberServer struct {
	pb.DRPCMemberUnimplementedServer
	f *Formation
}

func (s *memberServer) Join(ctx context.Context, q *pb.JoinRequest) (*pb.JoinResponse, error) {
	return s.f.Join(ctx, q), nil
}

// A member without a log finds the leader over any member that it can reach.
func TestJoinerFindsTheLeader(t *testing.T) {
	serve := func(g *fakeGroup) netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			_ = rpc.Serve(ctx, l, func(m drpc.Mux) error {
				return pb.DRPCRegisterMember(m, &memberServer{f: New(g, quietLog())})
			})
		}()
		return netip.MustParseAddrPort(l.Addr().String())
	}
	leads := groupOf(true, true, true)
	leader := serve(leads)
	follows := groupOf(true, true, true)
	follows.status.Leads, follows.status.Self = false, 2
	follows.status.Members[0].Addr = leader.String()
	follower := serve(follows)
	own := &fakeGroup{}
	j := &Joiner{
		Self: Self{ID: 7, Disk: "new", RPC: netip.MustParseAddrPort("127.0.0.1:9")}, Group: own, Log: quietLog(),
		Seeds: func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), follower} },
	}
	if !j.needed(own.status, time.Now()) {
		t.Fatal("a member without a log doesn't ask")
	}
	for range 2 {
		j.ask(context.Background(), own.status)
	}
	if !slices.Equal(leads.done, []string{"add", "promote"}) {
		t.Fatalf("the leader did %v", leads.done)
	}
}

// A voter that hears no leader for long asks whether it was taken out.
func TestVoterWithoutALeaderAsks(t *testing.T) {
	g := groupOf(true, true, true)
	j := &Joiner{Self: Self{ID: 1, Disk: "old"}, Log: quietLog()}
	now := time.Now()
	if j.needed(g.status, now) {
		t.Fatal("asks though it hears a leader")
	}
	g.status.Leader = consensus.None
	if j.needed(g.status, now.Add(leaderless/2)) || !j.needed(g.status, now.Add(leaderless)) {
		t.Fatal("asks too early or not at all")
	}
}
