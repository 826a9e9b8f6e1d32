package outlier

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// leastReportInterval is the time between two reports of a process where
	// routers are few.
	leastReportInterval = 100 * time.Millisecond
	// reportSpacing is the time between two reports at control: many routers report
	// less often each.
	reportSpacing = time.Millisecond
	// redialPause is the time between two processes that can't be reached.
	redialPause = 200 * time.Millisecond
	// heartbeat is the longest time between two updates that a process sends.
	heartbeat = time.Second
	// silence is how long a process may send nothing before it counts as lost.
	silence = 3 * heartbeat
)

// ReportInterval returns the time between two reports of one of several routers.
func ReportInterval(routers int) time.Duration {
	return max(leastReportInterval, time.Duration(routers)*reportSpacing)
}

// Client reports to another process what was collected and takes its outliers.
type Client struct {
	Collector *Collector
	View      *View
	// Self names this process in the other's logs.
	Self string
	// Peers returns the processes to report to, the best first; none for now if empty.
	Peers func() []netip.AddrPort
	// Interval returns the time between two reports.
	Interval func() time.Duration
	Log      *slog.Logger
}

// Run reports until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for i := rpc.InitialPeerIndex(c.Self); ctx.Err() == nil; i++ {
		if peers := c.Peers(); len(peers) > 0 {
			addr, err := c.exchange(ctx, rpc.Rotated(peers, i))
			if ctx.Err() != nil {
				return
			}
			c.Log.Warn("outlier source lost", "addr", addr.String(), "error", err)
		} else {
			c.Collector.take()
		}
		wait.For(ctx, redialPause)
	}
}

func (c *Client) exchange(ctx context.Context, peers []netip.AddrPort) (netip.AddrPort, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, addr, err := rpc.DialFirst(ctx, peers)
	if err != nil {
		return addr, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCOutliersClient(conn).Exchange(ctx)
	if err != nil {
		return addr, &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	go func() { cancel(c.receive(stream)) }()
	return addr, c.send(ctx, stream, addr)
}

// send reports until ctx ends or the peer no longer serves as one.
func (c *Client) send(ctx context.Context, stream pb.DRPCOutliers_ExchangeClient, addr netip.AddrPort) error {
	// The first message opens the stream.
	if err := stream.Send(&pb.OutlierReport{Reporter: c.Self}); err != nil {
		return &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	for {
		wait.For(ctx, c.Interval())
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if !contains(c.Peers(), addr) {
			return &PeerRemovedError{Addr: addr}
		}
		counts := c.Collector.take()
		if len(counts) == 0 {
			continue
		}
		if err := stream.Send(packReport(c.Self, counts)); err != nil {
			return &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
		}
	}
}

// receive takes updates until the stream ends or is silent for too long. What was
// known then ends too: nobody would say any more that a target is well again.
func (c *Client) receive(stream pb.DRPCOutliers_ExchangeClient) error {
	set := make(map[Incarnation]Outlier)
	c.View.replace(set)
	defer c.View.replace(nil)
	quiet := time.AfterFunc(silence, func() { _ = stream.Close() })
	defer quiet.Stop()
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		quiet.Reset(silence)
		if change := unpackUpdate(u); !change.empty() {
			set = change.apply(set)
			c.View.replace(set)
		}
	}
}

// PeerRemovedError says that a process is no longer one to report to.
type PeerRemovedError struct{ Addr netip.AddrPort }

// Error describes the failure.
func (e *PeerRemovedError) Error() string { return e.Addr.String() + " no longer takes reports" }

func contains(addrs []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range addrs {
		if x == a {
			return true
		}
	}
	return false
}
