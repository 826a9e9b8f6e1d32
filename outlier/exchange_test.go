package outlier

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/rpc"
)

// member is a hub that listens.
type member struct {
	*Hub
	addr  netip.AddrPort
	leads atomic.Bool
	stop  context.CancelFunc
}

func startMember(t *testing.T, leader func() []netip.AddrPort) *member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	m := &member{addr: netip.MustParseAddrPort(l.Addr().String()), stop: cancel}
	m.Hub = NewHub(HubConfig{Self: "m", IsLeader: m.leads.Load, LeaderAddr: leader, Log: slog.New(slog.DiscardHandler)})
	go func() { _ = rpc.Serve(ctx, l, m.Register) }()
	go m.Run(ctx)
	return m
}

func startClient(t *testing.T, addr netip.AddrPort) *Client {
	t.Helper()
	c := &Client{
		Collector: NewCollector(), View: NewView(), Self: "r", Peers: func() []netip.AddrPort { return []netip.AddrPort{addr} },
		Interval: func() time.Duration { return 20 * time.Millisecond }, Log: slog.New(slog.DiscardHandler),
	}
	go c.Run(t.Context())
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time: ", what)
		}
	}
}

// What one router sees reaches another one over two members and their leader, and
// is taken back when the target is well or the member is gone.
func TestRoutersShareWhatTheySee(t *testing.T) {
	leader := startMember(t, func() []netip.AddrPort { return nil })
	leader.leads.Store(true)
	follow := func() []netip.AddrPort { return []netip.AddrPort{leader.addr} }
	a, b := startMember(t, follow), startMember(t, follow)
	seer, other := startClient(t, a.addr), startClient(t, b.addr)
	target := Incarnation{ID: "t"}
	knows := func() bool { return other.View.Outliers()[target].Slowness > 2 }
	eventually(t, "an outlier seen by another router", func() bool {
		seer.Collector.Add(target, slow(1))
		return knows()
	})
	eventually(t, "its end", func() bool {
		seer.Collector.Add(target, Counts{Good: 1})
		return !knows()
	})
	eventually(t, "another outlier", func() bool {
		seer.Collector.Add(target, slow(1))
		return knows()
	})
	b.stop()
	eventually(t, "its end without a member", func() bool { return !knows() })
}
