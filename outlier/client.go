package outlier

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// minReportInterval is the time between two reports of a process if there are
	// few routers.
	minReportInterval = 100 * time.Millisecond
	// reportSpacing is the time between two reports arriving at control from all
	// routers: with many routers, each one reports less often.
	reportSpacing = time.Millisecond
	// redialDelay is the time between two attempts to connect to a peer.
	redialDelay = 200 * time.Millisecond
	// heartbeatInterval is the longest time between two updates that a hub sends.
	heartbeatInterval = time.Second
	// peerTimeout is how long what a peer sent is kept after its last message.
	peerTimeout = 3 * heartbeatInterval
	// silenceTimeout is how long a peer may send nothing before the next one is dialed.
	// What the silent one sent is kept meanwhile.
	silenceTimeout = heartbeatInterval + heartbeatInterval/2
)

// ReportInterval returns the time between two reports of one router, given the
// number of routers.
func ReportInterval(routers int) time.Duration {
	return max(minReportInterval, time.Duration(routers)*reportSpacing)
}

// Client reports the collected counts to another process and keeps a View of the
// outliers that it sends back.
type Client struct {
	Collector *Collector
	View      *View
	// Self names this process in the peer's logs.
	Self string
	// Peers returns the processes to report to, in order of preference. While it
	// returns none, the collected counts are dropped.
	Peers func() []netip.AddrPort
	// Interval returns the time between two reports.
	Interval func() time.Duration
	// Topics share the connection.
	Topics []Topic
	Log    *slog.Logger

	mu sync.Mutex
	// expiry clears what a peer that fell silent sent. It is nil if there is nothing to
	// clear.
	expiry *time.Timer
}

// Run reports until ctx ends. It reconnects to the next peer when a connection is
// lost.
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
			takeReports(c.Topics)
		}
		wait.For(ctx, redialDelay)
	}
}

// exchange connects to the first reachable peer and reports to it until the
// connection or ctx ends.
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

// send reports until ctx ends, the stream breaks or addr is no longer among the
// peers.
func (c *Client) send(ctx context.Context, stream pb.DRPCOutliers_ExchangeClient, addr netip.AddrPort) error {
	// The first message opens the stream.
	if err := stream.Send(&pb.OutlierReport{Reporter: c.Self}); err != nil {
		return &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	for {
		c.awaitReport(ctx)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if !contains(c.Peers(), addr) {
			return &PeerRemovedError{Addr: addr}
		}
		report := encodeReport(c.Self, c.Collector.take())
		report.Topics = takeReports(c.Topics)
		if len(report.GetCounts()) == 0 && len(report.GetTopics()) == 0 {
			continue
		}
		if err := stream.Send(report); err != nil {
			return &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
		}
	}
}

// awaitReport waits until the next report is due, or one is urgent.
func (c *Client) awaitReport(ctx context.Context) {
	timer := time.NewTimer(c.Interval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-urgent(c.Topics):
	case <-ctx.Done():
	}
}

// receive applies updates until the stream ends or is silent for silenceTimeout. It
// then clears the view and the topics' states, since no update would say that an
// outlier has recovered: at once if the stream ended, and peerTimeout after the last
// message if it was silent and no other peer has sent anything by then.
func (c *Client) receive(stream pb.DRPCOutliers_ExchangeClient) error {
	set := make(map[Incarnation]Outlier)
	heard, silent := false, atomic.Bool{}
	timer := time.AfterFunc(silenceTimeout, func() {
		silent.Store(true)
		_ = stream.Close()
	})
	defer timer.Stop()
	for {
		u, err := stream.Recv()
		if err != nil {
			switch {
			case !heard:
			case silent.Load():
				c.clearLater(peerTimeout - silenceTimeout)
			default:
				c.clear()
			}
			return err
		}
		timer.Reset(silenceTimeout)
		if !heard {
			c.keep()
		}
		if change := decodeUpdate(u); !heard || !change.empty() {
			set = change.apply(set)
			c.View.replace(set)
		}
		heard = true
		applyStates(c.Topics, u.GetTopics())
	}
}

// PeerRemovedError means that a process is no longer one to report to.
type PeerRemovedError struct{ Addr netip.AddrPort }

// Error describes the failure.
func (e *PeerRemovedError) Error() string {
	return e.Addr.String() + " is no longer a peer to report to"
}

func contains(addrs []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range addrs {
		if x == a {
			return true
		}
	}
	return false
}
