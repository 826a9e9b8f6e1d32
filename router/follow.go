package router

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// memberSilence is how long a member may leave a renewal unanswered, or
	// unconfirmed, before the router turns to another member.
	memberSilence = 1200 * time.Millisecond
	// redialPause is the time between two members that can't be reached.
	redialPause = 100 * time.Millisecond
)

// SilentMemberError says that a control member gave no lease for too long.
type SilentMemberError struct {
	Addr  string
	After time.Duration
}

// Error describes the failure.
func (e *SilentMemberError) Error() string {
	return "control member " + e.Addr + " gave no lease for " + e.After.String()
}

// follower keeps the board's replicated records and the lease current. It
// follows one member of control at a time.
type follower struct {
	vm          topology.VM
	incarnation uint64
	members     []netip.AddrPort
	// known returns the members known by now; members if nil.
	known   func() []netip.AddrPort
	board   *board.Board
	lease   *lease.Lease
	log     *slog.Logger
	leaving func() bool
	// load returns the load of the owned targets; nil tells none.
	load  func() telemetry.OwnerLoad
	meter loadMeter
	// renewNow asks for a renewal before the interval is over.
	renewNow chan struct{}
	// traffic records the bytes of messages to and from control.
	traffic telemetry.Lease
	// onLeader is told the leader's address as the member knows it.
	onLeader func(addr string)
	// onMembers is told the members' addresses as a member knows them; may be nil.
	onMembers func(addrs []string)
}

// renew asks for a renewal at once.
func (f *follower) renew() {
	select {
	case f.renewNow <- struct{}{}:
	default:
	}
}

// run follows the members in turn until ctx ends. Routers begin with different
// members, so that each member serves its share; while one can't be reached the
// next one is dialed beside it.
func (f *follower) run(ctx context.Context) {
	for i := rpc.InitialPeerIndex(string(f.vm.Name)); ctx.Err() == nil; i++ {
		members := f.members
		if f.known != nil {
			members = f.known()
		}
		member, err := f.followFirst(ctx, rpc.Rotated(members, i))
		if ctx.Err() != nil {
			return
		}
		f.log.Warn("control member lost", "member", member, "error", err)
		select {
		case <-time.After(redialPause):
		case <-ctx.Done():
		}
	}
}

// followFirst renews the lease at the first member that can be reached until
// that fails. It returns the member.
func (f *follower) followFirst(ctx context.Context, members []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, member, err := rpc.DialFirst(ctx, members)
	if err != nil {
		return member, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCControlClient(conn).Follow(ctx)
	if err != nil {
		return member, &rpc.ConnectionLostError{Addr: member.String(), Cause: err}
	}
	s := &session{f: f, member: member, stream: stream, sent: make(map[uint64]time.Time)}
	return member, s.run(ctx)
}

// session is the time that one stream to one member lasts.
type session struct {
	f      *follower
	member netip.AddrPort
	stream pb.DRPCControl_FollowClient
	seq    uint64
	// sent holds the time just before each unanswered renewal was sent.
	sent map[uint64]time.Time
}

type received struct {
	response *pb.FollowResponse
	err      error
}

func (s *session) run(ctx context.Context) error {
	responses := make(chan received)
	go s.receive(ctx, responses)
	tick := time.NewTicker(lease.RenewInterval)
	defer tick.Stop()
	silence := time.NewTimer(memberSilence)
	defer silence.Stop()
	if err := s.renew(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-silence.C:
			return &SilentMemberError{Addr: s.member.String(), After: memberSilence}
		case <-tick.C:
			if err := s.renew(); err != nil {
				return err
			}
		case <-s.f.renewNow:
			if err := s.renew(); err != nil {
				return err
			}
		case r := <-responses:
			if r.err != nil {
				return &rpc.ConnectionLostError{Addr: s.member.String(), Cause: r.err}
			}
			leased, err := s.take(r.response)
			if err != nil {
				return err
			}
			if leased {
				silence.Reset(memberSilence)
			}
		}
	}
}

func (s *session) receive(ctx context.Context, out chan<- received) {
	for {
		r, err := s.stream.Recv()
		select {
		case out <- received{r, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *session) renew() error {
	s.seq++
	s.sent[s.seq] = time.Now()
	f := s.f
	request := &pb.FollowRequest{
		Vm:          string(f.vm.Name),
		Incarnation: f.incarnation,
		Seq:         s.seq,
		Applied:     f.board.View().Index,
		DataCentre:  string(f.vm.DataCentre),
		RpcAddr:     f.vm.RPC.String(),
		HttpAddr:    f.vm.HTTP.String(),
		Leaving:     f.leaving(),
	}
	if f.load != nil {
		request.Loads, request.Cold = f.meter.report(f.load(), f.board.View().Topology)
	}
	f.traffic.AddBytes(telemetry.Sent, proto.Size(request))
	if err := s.stream.Send(request); err != nil {
		return &rpc.ConnectionLostError{Addr: s.member.String(), Cause: err}
	}
	return nil
}

// take applies a response's records, then extends the lease if the response
// confirms what is applied. It reports whether that gave a lease of use.
func (s *session) take(r *pb.FollowResponse) (bool, error) {
	s.f.traffic.AddBytes(telemetry.Received, proto.Size(r))
	if err := s.apply(r); err != nil {
		return false, err
	}
	s.f.onLeader(r.GetLeaderAddr())
	if s.f.onMembers != nil && len(r.GetMembers()) > 0 {
		s.f.onMembers(r.GetMembers())
	}
	if r.GetSeq() == 0 {
		return false, nil
	}
	sent, known := s.sent[r.GetSeq()]
	delete(s.sent, r.GetSeq())
	if !known || !r.GetConfirmed() || s.f.board.View().Index < r.GetIndex() {
		return false, nil
	}
	age := time.Duration(r.GetConfirmAgeUs()) * time.Microsecond
	longer := s.f.lease.Extend(sent, age)
	return longer && s.f.lease.Valid(time.Now()), nil
}

func (s *session) apply(r *pb.FollowResponse) error {
	before := s.f.board.View()
	if r.GetIndex() == before.Index && len(r.GetRecords()) == 0 && !r.GetSnapshot() {
		return nil
	}
	var err error
	s.f.board.Update(func(v *board.View) { err = applyResponse(v, r) })
	if err != nil {
		return err
	}
	after := s.f.board.View()
	s.f.log.Info("records applied", "member", s.member, "from", before.Index, "to", after.Index,
		"records", len(r.GetRecords()), "snapshot", r.GetSnapshot(), "config", after.ConfigVersion)
	return nil
}
