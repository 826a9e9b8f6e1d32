package rpc

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestWriteToUnresponsivePeerTimesOut guards against a write that blocks forever
// because the peer never reads and the socket buffers are full.
func TestWriteToUnresponsivePeerTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	// The kernel accepts the connection, but nothing ever reads from it.
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	failed := make(chan error, 1)
	go func() {
		silent := &deadlineConn{Conn: c, timeout: 50 * time.Millisecond}
		for {
			if _, err := silent.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	}()
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %v, want a deadline error", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the write did not fail within 10 s")
	}
}
