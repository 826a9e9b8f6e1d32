package quota

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

// lender asks control's members for the credits that they keep as standbys. It is safe
// for concurrent use.
type lender struct {
	members func() []netip.AddrPort
	// first is the index of the member that is asked first.
	first int

	mu    sync.Mutex
	conns map[netip.AddrPort]*lenderConn
}

func newLender(members func() []netip.AddrPort, first int) *lender {
	return &lender{members: members, first: first, conns: make(map[netip.AddrPort]*lenderConn)}
}

// all returns the connections to all members, in the order in which they are asked. The holder
// is the last one: it has what it kept before its term at most.
func (l *lender) all(holder netip.AddrPort) []*lenderConn {
	members := rpc.Rotated(l.members(), l.first)
	if i := slices.Index(members, holder); i >= 0 {
		members = append(slices.Delete(members, i, i+1), holder)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*lenderConn
	for _, addr := range members {
		if l.conns[addr] == nil {
			l.conns[addr] = &lenderConn{addr: addr}
		}
		out = append(out, l.conns[addr])
	}
	return out
}

// close closes the connections.
func (l *lender) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.conns {
		x.mu.Lock()
		x.close()
		x.mu.Unlock()
	}
}

// borrow asks the members for a credit, and returns until when it may be spent, 0 if none
// lent one. All reports whether all were asked.
func (l *lender) borrow(ctx context.Context, name workspace.Name, holder netip.AddrPort, clock func() Instant) (until Instant, all bool) {
	for _, x := range l.all(holder) {
		if ctx.Err() != nil {
			return 0, false
		}
		sent := clock()
		reply, err := x.ask(&pb.QuotaReport{Uses: []*pb.QuotaUse{{Workspace: string(name), Waiting: 1}}}, clock)
		if err == nil && len(reply.GetGrants()) == 1 && reply.GetGrants()[0].GetCredits() == 1 {
			return sent + lendLife, false
		}
	}
	return 0, true
}

// deposit gives credits to the first member that answers. Surplus returns them and when
// they expire.
func (l *lender) deposit(holder netip.AddrPort, clock func() Instant, surplus func(now Instant) ([]*pb.QuotaUse, Instant)) {
	for _, x := range l.all(holder) {
		if x.deposit(clock, surplus) == nil {
			return
		}
	}
}

// lenderConn is a connection to one member.
type lenderConn struct {
	addr netip.AddrPort

	// mu is held during a question and its answer.
	mu     sync.Mutex
	conn   drpc.Conn
	stream pb.DRPCQuotas_ExchangeClient
	cancel context.CancelFunc
	// skipUntil is until when the member is not asked, since it did not answer.
	skipUntil Instant
}

// ask sends a report with number 0 and returns the answer. It connects if there is no
// connection, also if the member closed the last one.
func (x *lenderConn) ask(q *pb.QuotaReport, clock func() Instant) (*pb.QuotaReply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.exchange(q, clock)
}

func (x *lenderConn) exchange(q *pb.QuotaReport, clock func() Instant) (*pb.QuotaReply, error) {
	began := clock()
	if began < x.skipUntil {
		return nil, &SilentHolderError{After: lendTimeout}
	}
	old := x.stream != nil
	reply, err := x.try(q)
	if err != nil && old && clock() < began+lendTimeout {
		reply, err = x.try(q)
	}
	if err != nil {
		x.skipUntil = clock() + silentTime
	}
	return reply, err
}

// try sends a report and receives the answer. After a failure there is no connection.
func (x *lenderConn) try(q *pb.QuotaReport) (*pb.QuotaReply, error) {
	if err := x.open(); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(lendTimeout, x.cancel)
	defer timer.Stop()
	err := x.stream.Send(q)
	if err == nil {
		var reply *pb.QuotaReply
		if reply, err = x.stream.Recv(); err == nil {
			return reply, nil
		}
	}
	x.close()
	return nil, &rpc.ConnectionLostError{Addr: x.addr.String(), Cause: err}
}

func (x *lenderConn) open() error {
	if x.stream != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	dialCtx, dialed := context.WithTimeout(ctx, lendTimeout)
	defer dialed()
	conn, _, err := rpc.DialFirst(dialCtx, []netip.AddrPort{x.addr})
	if err != nil {
		cancel()
		return err
	}
	stream, err := pb.NewDRPCQuotasClient(conn).Exchange(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return &rpc.ConnectionLostError{Addr: x.addr.String(), Cause: err}
	}
	x.conn, x.stream, x.cancel = conn, stream, cancel
	return nil
}

func (x *lenderConn) close() {
	if x.stream == nil {
		return
	}
	x.cancel()
	_ = x.conn.Close()
	x.conn, x.stream, x.cancel = nil, nil, nil
}

// deposit gives credits to the member. Their life counts from the member's answer to an
// empty report, which is earlier than the time at which it arrives here. Nothing else may
// be asked on the stream in between.
func (x *lenderConn) deposit(clock func() Instant, surplus func(now Instant) ([]*pb.QuotaUse, Instant)) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, err := x.exchange(&pb.QuotaReport{}, clock); err != nil {
		return err
	}
	now := clock()
	uses, until := surplus(now)
	if len(uses) == 0 {
		return nil
	}
	// The credits are lost if this fails: the member may have them.
	_, _ = x.try(&pb.QuotaReport{Uses: uses, ValidMs: uint32((until - now).Milliseconds())}) //nolint:gosec // At most CreditLife.
	return nil
}
