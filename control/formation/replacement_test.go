package formation_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control/formation"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// catchUpTime is the time after its start from which a replacement counts as a
	// full member: the group must tolerate the next loss then.
	catchUpTime = 4 * time.Second
	// recoveryTime bounds the time until the group works again after a loss.
	recoveryTime = 12 * time.Second
)

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) any     { return nil }
func (emptyMachine) Snapshot() ([]byte, error)    { return []byte{}, nil }
func (emptyMachine) Restore(uint64, []byte) error { return nil }

// joinServer serves Join calls.
type joinServer struct {
	pb.DRPCMemberUnimplementedServer
	f *formation.Formation
}

func (s *joinServer) Join(ctx context.Context, q *pb.JoinRequest) (*pb.JoinResponse, error) {
	return s.f.Join(ctx, q), nil
}

// vm is one VM of a self-forming group.
type vm struct {
	group.Member
	dir string

	group *group.Group
	stop  func()
}

// cell is a self-forming group on loopback.
type cell struct {
	t     *testing.T
	seeds []*vm
}

func newVM(t *testing.T, i int) *vm {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.2.%d:0", i))
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return &vm{Member: group.Member{ID: consensus.MemberID(i), Name: fmt.Sprintf("vm%d", i), RPC: addr}, dir: t.TempDir()}
}

// start runs a member on a VM. firstStart is whether the seeds form the group.
func (c *cell) start(v *vm, firstStart bool) {
	c.t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	members := []group.Member{v.Member}
	for _, s := range c.seeds {
		if firstStart && s != v {
			members = append(members, s.Member)
		}
	}
	g, err := group.Open(group.Config{
		ID: v.ID, GroupName: "test", Members: members, DataDir: v.dir, UseJournal: true,
		Bootstrap: firstStart, StateMachine: emptyMachine{}, Logger: log,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	l, err := net.Listen("tcp", v.RPC.String())
	if err != nil {
		c.t.Fatal(err)
	}
	f := formation.New(g, 1, log)
	joiner := &formation.Joiner{
		Self:  formation.Self{ID: v.ID, Name: v.Name, Disk: g.Disk(), RPC: v.RPC},
		Group: g, Log: log, Seeds: c.seedAddrs,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Run(ctx) })
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() { joiner.Run(ctx) })
	wg.Go(func() {
		_ = rpc.Serve(ctx, l, func(m drpc.Mux) error {
			if err := g.Register(m); err != nil {
				return err
			}
			return pb.DRPCRegisterMember(m, &joinServer{f: f})
		})
	})
	v.group = g
	v.stop = func() {
		cancel()
		wg.Wait()
	}
}

func (c *cell) seedAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range c.seeds {
		out = append(out, v.RPC)
	}
	return out
}

// waitCommit waits until one of the VMs commits an entry, and returns it.
func (c *cell) waitCommit(d time.Duration, vms ...*vm) *vm {
	c.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, v := range vms {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := v.group.Propose(ctx, []byte("x"))
			cancel()
			if err == nil {
				return v
			}
		}
	}
	c.t.Fatalf("no member committed an entry within %v", d)
	return nil
}

// Guards against a replaced member that stays a voter beside its successor: the group
// then had four voters, three of them live, and lost its majority for good with the
// next disk, although the successor had had its time to catch up.
func TestGroupSurvivesLostDiskAfterReplacement(t *testing.T) {
	c := &cell{t: t}
	for i := range 3 {
		c.seeds = append(c.seeds, newVM(t, i+1))
	}
	for _, v := range c.seeds {
		c.start(v, true)
	}
	replaced := c.waitCommit(recoveryTime, c.seeds...)
	replaced.stop()
	var left []*vm
	for _, v := range c.seeds {
		if v != replaced {
			left = append(left, v)
		}
	}
	successor := newVM(t, 4)
	c.start(successor, false)
	time.Sleep(catchUpTime)

	lost := left[0]
	lost.stop()
	for _, name := range []string{"consensus.journal", "lock"} {
		if err := os.Remove(filepath.Join(lost.dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	c.start(lost, false)
	running := []*vm{left[0], left[1], successor}
	c.waitCommit(recoveryTime, running...)
	for _, v := range running {
		v.stop()
	}
}
