package connpool

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// Bytes that the peer's host took must not count as unacknowledged although its process
// hasn't read them, and those that it has no room for must.
func TestUnacked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := New(netip.MustParseAddrPort(l.Addr().String()), Options{MaxConnections: 1, ConnectTimeout: time.Second, Dialer: &net.Dialer{}})
	c, err := p.Get(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Net.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); c.Unacked(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("received bytes aren't acknowledged")
		}
	}
	_ = c.Net.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Net.Write(make([]byte, 64<<20)); err == nil {
		t.Fatal("the peer took everything")
	}
	if !c.Unacked() {
		t.Error("bytes without room at the peer count as acknowledged")
	}
}
