package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// fitStreamMemory measures the memory of idle streams between routers, both
// ends included.
func fitStreamMemory(out *measurements) error {
	s := Slope{
		Key: "stream-memory", Title: "Memory of idle streams between routers, both ends",
		XLabel: "streams", YLabel: "KiB",
	}
	var err error
	out.StreamMemory, err = measureSizes(s, []int{50, 200, 400, 800}, func(n int) (float64, error) {
		before := liveMemory()
		streams, err := newOwnerStreams(n)
		if err != nil {
			return 0, err
		}
		defer streams.close()
		if err := streams.query(n); err != nil {
			return 0, err
		}
		return kib(liveMemory(), before), nil
	})
	return err
}

// kib returns the difference of two sizes in bytes, in KiB.
func kib(after, before uint64) float64 { return (float64(after) - float64(before)) / 1024 }

// stubTarget is a target that answers each search at once, at minimal cost.
type stubTarget struct {
	listener countingListener
	// gate, unless nil, holds back each response until a value is received from
	// it.
	gate chan struct{}
}

// newStubTarget starts a target on a free loopback port.
func newStubTarget(gate chan struct{}) (*stubTarget, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	t := &stubTarget{listener: l, gate: gate}
	go t.accept()
	return t, nil
}

// accept serves connections until the listener is closed.
func (t *stubTarget) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// serve answers the requests of one connection until it is closed or fails.
func (t *stubTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if t.gate != nil {
			<-t.gate
		}
		if _, err := c.Write(stubResponse(req)); err != nil {
			return
		}
	}
}

// stubResponse returns a response that echoes the request's attempt, shard and
// index version.
func stubResponse(req *http.Request) []byte {
	b := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	for _, name := range []string{target.HeaderAttempt, target.HeaderShard, target.HeaderIndexVersion} {
		b = append(b, name+": "+req.Header.Get(name)+"\r\n"...)
	}
	b = append(b, target.HeaderProcess+": 1\r\n"+target.HeaderVersions+": 1\r\n"...)
	b = append(b, "Content-Length: "+strconv.Itoa(answerBytes)+"\r\n\r\n"...)
	return append(b, stubBody(req)...)
}

// stubBody returns answerBytes bytes: a health report for the health path, a
// JSON string for any other.
func stubBody(req *http.Request) string {
	report := `{"process":1,"versions":[1]}`
	if req.URL.Path == target.PathHealth {
		return report + strings.Repeat(" ", answerBytes-len(report))
	}
	return `"` + strings.Repeat("a", answerBytes-2) + `"`
}

func (t *stubTarget) close() { _ = t.listener.Close() }

// asTarget returns the target as a deployment describes it.
func (t *stubTarget) asTarget() *topology.Target {
	return &topology.Target{
		ID: "agent-desk/00@plain", Shard: "agent-desk/00", Group: "agent-desk", DataCentre: "bern-a",
		Addr: netip.MustParseAddrPort(t.listener.Addr().String()),
	}
}

// search sends one search to t. It returns a *SearchError if the search fails.
func search(c *target.Client, t *topology.Target) error {
	out := c.Search(context.Background(), target.Search{
		Target: t, RequestID: "0123456789abcdef", IndexVersion: 1,
		Deadline: time.Now().Add(10 * time.Second), Body: make([]byte, bodyBytes),
	})
	if out.Status != target.OK {
		return &SearchError{Reason: out.Reason}
	}
	return nil
}

// SearchError reports that a search at a stub target failed.
type SearchError struct{ Reason target.Reason }

// Error returns the reason as a number.
func (e *SearchError) Error() string { return "search failed, reason " + strconv.Itoa(int(e.Reason)) }

// fitSearch measures the processor time of searches at a target, both ends
// included.
func fitSearch(out *measurements) error {
	s := Slope{
		Key: "search-processor", Title: "Search at a target: processor time, the target's side included",
		XLabel: "searches", YLabel: "milliseconds",
	}
	var err error
	out.SearchProcessor, err = measureSizes(s, []int{5_000, 10_000, 20_000}, func(n int) (float64, error) {
		t, err := newStubTarget(nil)
		if err != nil {
			return 0, err
		}
		defer t.close()
		c := target.NewClient(target.Options{})
		defer c.Close()
		to := t.asTarget()
		if err := inParallel(concurrency, 100, func() error { return search(c, to) }); err != nil {
			return 0, err
		}
		start := processorTime()
		err = inParallel(concurrency, n, func() error { return search(c, to) })
		return micros(processorTime()-start) / 1e3, err
	})
	return err
}

// fitConnectionMemory measures the memory of idle connections to targets, both
// ends included.
func fitConnectionMemory(out *measurements) error {
	s := Slope{
		Key: "target-memory", Title: "Memory of idle connections to targets, both ends",
		XLabel: "connections", YLabel: "KiB",
	}
	var err error
	out.TargetMemory, err = measureSizes(s, []int{50, 200, 400, 800}, func(n int) (float64, error) {
		before := liveMemory()
		gate := make(chan struct{}, n)
		t, err := newStubTarget(gate)
		if err != nil {
			return 0, err
		}
		defer t.close()
		c := target.NewClient(target.Options{MaxConnections: n})
		defer c.Close()
		if err := openAll(c, t, gate, n); err != nil {
			return 0, err
		}
		return kib(liveMemory(), before), nil
	})
	return err
}

// openAll opens n connections: it sends n concurrent searches, whose responses
// the gate holds back for 500 ms.
func openAll(c *target.Client, t *stubTarget, gate chan struct{}, n int) error {
	to := t.asTarget()
	time.AfterFunc(500*time.Millisecond, func() {
		for range n {
			gate <- struct{}{}
		}
	})
	return inParallel(n, n, func() error { return search(c, to) })
}
