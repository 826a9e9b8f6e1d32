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

// fakeGroup is a group that applies every change immediately and records it.
type fakeGroup struct {
	mu      sync.Mutex
	status  group.Status
	changes []string
	// disk is the disk ID reported by the process at a new member's address.
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
	g.changes = append(g.changes, what)
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

// newFakeGroup returns a group led by member 1, with one voter for each element
// of active.
func newFakeGroup(active ...bool) *fakeGroup {
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

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// A member must become a voter by repeated join requests: an existing voter
// without any change, a new member as a learner first, and a member with a new
// disk only after its old entry is removed.
func TestJoin(t *testing.T) {
	for _, c := range []struct {
		name    string
		g       *fakeGroup
		id      uint64
		disk    string
		changes []string
	}{
		{"a voter", newFakeGroup(true, true, true), 2, "old", nil},
		{"a new member", newFakeGroup(true, true, true), 4, "new", []string{"add", "promote"}},
		{"a lost disk", newFakeGroup(true, true, true), 3, "new", []string{"remove", "add", "promote"}},
	} {
		f := New(c.g, 1, discardLogger())
		var last *pb.JoinResponse
		for range 3 {
			last = f.Join(context.Background(), &pb.JoinRequest{Member: c.id, Disk: c.disk, RpcAddr: "127.0.0.1:9"})
		}
		if !last.GetLeads() || !last.GetVoter() || !slices.Equal(c.g.changes, c.changes) {
			t.Errorf("%s: %v, changes %v, want %v", c.name, last, c.g.changes, c.changes)
		}
	}
}

// A new voter must replace a silent one, also one whose silence began too late to be
// noticed before the promotion. Otherwise the number of voters grows with each
// replacement and the group tolerates fewer losses.
func TestNewMemberReplacesSilentVoter(t *testing.T) {
	for _, silent := range []time.Duration{0, 2 * removeAfter} {
		g := newFakeGroup(true, true, false)
		g.status.Members[2].Silent = silent
		f := New(g, 1, discardLogger())
		q := &pb.JoinRequest{Member: 4, Disk: "new", RpcAddr: "127.0.0.1:9"}
		for range 3 {
			f.Join(context.Background(), q)
		}
		g.status.Members[2].Silent = removeAfter
		f.removeSilent(context.Background(), g.status)
		if got := g.ids(); !slices.Equal(got, []consensus.MemberID{1, 2, 4}) {
			t.Errorf("silent for %v at first: members %v", silent, got)
		}
	}
}

// A follower must return the leader's address and change nothing.
func TestJoinAtFollowerReturnsLeaderAddr(t *testing.T) {
	g := newFakeGroup(true, true, true)
	g.status.Leads, g.status.Self = false, 2
	r := New(g, 1, discardLogger()).Join(context.Background(), &pb.JoinRequest{Member: 9, RpcAddr: "127.0.0.1:9"})
	if r.GetLeads() || r.GetLeaderAddr() != "127.0.0.1:1" || len(g.changes) != 0 {
		t.Fatalf("%v, changes %v", r, g.changes)
	}
}

// A voter that is silent for long must be removed, but only if enough voters are
// active. Otherwise the tolerated losses of disks could take a majority of those left,
// while the removed voter holds the same entries and is only cut off.
func TestSilentVoterIsRemoved(t *testing.T) {
	for _, c := range []struct {
		name   string
		active []bool
		silent time.Duration
		losses int
		want   bool
	}{
		{"four of five active", []bool{true, true, true, true, false}, 2 * removeAfter, 1, true},
		{"three of four active", []bool{true, true, true, false}, 2 * removeAfter, 1, true},
		{"not long enough", []bool{true, true, true, false}, removeAfter / 2, 1, false},
		{"only two left", []bool{true, true, false}, 2 * removeAfter, 1, false},
		{"two of four", []bool{true, true, false, false}, 2 * removeAfter, 1, false},
		{"no losses stated", []bool{true, true, false}, 2 * removeAfter, 0, false},
		{"two losses, five of six active", []bool{true, true, true, true, true, false}, 2 * removeAfter, 2, true},
		{"two losses, four of six active", []bool{true, true, true, true, false, false}, 2 * removeAfter, 2, false},
		{"two losses, four of five active", []bool{true, true, true, true, false}, 2 * removeAfter, 2, false},
	} {
		g := newFakeGroup(c.active...)
		for i := range g.status.Members {
			if !g.status.Members[i].Active {
				g.status.Members[i].Silent = c.silent
			}
		}
		New(g, c.losses, discardLogger()).removeSilent(context.Background(), g.status)
		if got := len(g.changes) == 1; got != c.want {
			t.Errorf("%s: changes %v", c.name, g.changes)
		}
	}
}

// memberServer serves Join calls.
type memberServer struct {
	pb.DRPCMemberUnimplementedServer
	f *Formation
}

func (s *memberServer) Join(ctx context.Context, q *pb.JoinRequest) (*pb.JoinResponse, error) {
	return s.f.Join(ctx, q), nil
}

// A member without a log must find the leader through any member that it can
// reach.
func TestJoinerFindsLeaderThroughAnyMember(t *testing.T) {
	serve := func(g *fakeGroup) netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			_ = rpc.Serve(ctx, l, func(m drpc.Mux) error {
				return pb.DRPCRegisterMember(m, &memberServer{f: New(g, 1, discardLogger())})
			})
		}()
		return netip.MustParseAddrPort(l.Addr().String())
	}
	leads := newFakeGroup(true, true, true)
	leader := serve(leads)
	follows := newFakeGroup(true, true, true)
	follows.status.Leads, follows.status.Self = false, 2
	follows.status.Members[0].Addr = leader.String()
	follower := serve(follows)
	own := &fakeGroup{}
	j := &Joiner{
		Self: Self{ID: 7, Disk: "new", RPC: netip.MustParseAddrPort("127.0.0.1:9")}, Group: own, Log: discardLogger(),
		Seeds: func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), follower} },
	}
	if !j.shouldJoin(own.status, time.Now()) {
		t.Fatal("a member without a log sends no join request")
	}
	for range 2 {
		j.requestJoin(context.Background(), own.status)
	}
	if !slices.Equal(leads.changes, []string{"add", "promote"}) {
		t.Fatalf("changes at the leader: %v", leads.changes)
	}
}

// A voter without a leader may have been removed. It must send a join request
// after leaderTimeout, and not before.
func TestVoterWithoutLeaderRequestsJoin(t *testing.T) {
	g := newFakeGroup(true, true, true)
	j := &Joiner{Self: Self{ID: 1, Disk: "old"}, Log: discardLogger()}
	now := time.Now()
	if j.shouldJoin(g.status, now) {
		t.Fatal("sends a join request although it has a leader")
	}
	g.status.Leader = consensus.None
	if j.shouldJoin(g.status, now.Add(leaderTimeout/2)) || !j.shouldJoin(g.status, now.Add(leaderTimeout)) {
		t.Fatal("sends a join request too early or not at all")
	}
}
