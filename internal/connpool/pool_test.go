package connpool

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// An idle connection on which the target sends unsolicited bytes, or which it closed,
// must be closed by the next check, and a healthy one must stay.
func TestTrimClosesDeadIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := New(netip.MustParseAddrPort(l.Addr().String()), Options{MaxConnections: 3, ConnectTimeout: time.Second, Dialer: &net.Dialer{}})
	var ours []*Conn
	var theirs []net.Conn
	for range 3 {
		c, err := p.Get(context.Background(), nil)
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		ours, theirs = append(ours, c), append(theirs, peer)
	}
	for _, c := range ours {
		c.SetAnswered()
		c.Put()
	}
	if _, err := theirs[0].Write([]byte("unsolicited")); err != nil {
		t.Fatal(err)
	}
	_ = theirs[1].Close()
	p.checkedAt = time.Time{}
	for deadline := time.Now().Add(5 * time.Second); p.NumOpen() > 1; p.checkedAt = (time.Time{}) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections left, want 1", p.NumOpen())
		}
		p.Trim(time.Time{}, time.Time{})
	}
	c, err := p.Get(context.Background(), nil)
	if err != nil || !c.Reused || c != ours[2] {
		t.Fatalf("the healthy connection isn't reused: %v", err)
	}
	if !p.RestartSuspected() {
		t.Error("a connection that the target closed doesn't make a restart suspected")
	}
}

// A connection that the target closed before it carried a response, or after the idle
// time that the target announced, must not make a restart suspected.
func TestIdleClosingWithoutSuspicion(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := New(netip.MustParseAddrPort(l.Addr().String()), Options{MaxConnections: 3, ConnectTimeout: time.Second, Dialer: &net.Dialer{}})
	if err := p.Open(context.Background()); err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	time.Sleep(20 * time.Millisecond)
	c, err := p.Get(context.Background(), nil)
	if err != nil || c.Reused || p.RestartSuspected() {
		t.Fatalf("%v, suspected %v", err, p.RestartSuspected())
	}
	c.SetAnswered()
	c.SetIdleTimeout(10 * time.Millisecond)
	c.Put()
	time.Sleep(20 * time.Millisecond)
	p.Trim(time.Time{}, time.Time{})
	if p.NumOpen() != 0 || p.RestartSuspected() {
		t.Errorf("%d connections past their idle time, suspected %v", p.NumOpen(), p.RestartSuspected())
	}
	if err := p.Open(context.Background()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	p.Trim(time.Time{}, time.Time{})
	if p.NumOpen() != 0 {
		t.Error("an opened connection outlives the idle time that the target announced")
	}
}
