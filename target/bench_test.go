package target_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// cannedTarget starts a target that answers every search with the same bytes,
// apart from the attempt number, at minimal cost, so that the benchmark measures
// the client.
func cannedTarget(b *testing.B) *topology.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(c)
		}
	}()
	return asTarget(l.Addr())
}

func answerAll(c net.Conn) {
	defer func() { _ = c.Close() }()
	name := []byte(target.HeaderAttempt + ": ")
	in := make([]byte, 8<<10)
	for {
		n, err := c.Read(in)
		if err != nil {
			return
		}
		at := bytes.Index(in[:n], name) + len(name)
		end := at + bytes.IndexByte(in[at:n], '\r')
		out := append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\nPeridot-Shard: g/00\r\n"+
			"Peridot-Index-Version: 4\r\nPeridot-Process: 7\r\nPeridot-Versions: 4,3\r\nPeridot-Attempt: "), in[at:end]...)
		out = append(append(out, "\r\n\r\n"...), make([]byte, 100)...)
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func BenchmarkSearch(b *testing.B) {
	tgt := cannedTarget(b)
	c := target.NewClient(target.Options{MaxConnections: 100})
	defer c.Close()
	b.ReportAllocs()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for pb.Next() {
			if out := c.Search(ctx, search(tgt, time.Second)); out.Status != target.OK {
				b.Errorf("got %+v", out)
				return
			}
		}
	})
}

// BenchmarkTransport runs the same search over http.Transport, for comparison with
// BenchmarkSearch.
func BenchmarkTransport(b *testing.B) {
	tgt := cannedTarget(b)
	transport := &http.Transport{
		MaxConnsPerHost: 100, MaxIdleConnsPerHost: 100, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s := search(tgt, time.Second)
			ctx, cancel := context.WithDeadline(context.Background(), s.Deadline)
			url := "http://" + tgt.Addr.String() + target.PathSearch
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(s.Body))
			r.Header.Set(target.HeaderAttempt, "1")
			r.Header.Set(target.HeaderShard, string(tgt.Shard))
			r.Header.Set(target.HeaderIndexVersion, "4")
			r.Header.Set(target.HeaderBudget, "1000")
			r.Header.Set(target.HeaderRequestID, s.RequestID)
			resp, err := transport.RoundTrip(r)
			if err != nil {
				b.Error(err)
				cancel()
				return
			}
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			cancel()
		}
	})
}
