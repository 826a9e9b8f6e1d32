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

// streamMemory measures the memory of idle streams, both ends of each.
func streamMemory(f *figures) error {
	s := Slope{
		Key: "stream-memory", Title: "Memory of idle streams between routers, both ends",
		XLabel: "streams", YLabel: "KiB",
	}
	var err error
	f.StreamMemory, err = measureSizes(s, []int{50, 200, 400, 800}, func(n int) (float64, error) {
		before := heldMemory()
		m, err := newMesh(n)
		if err != nil {
			return 0, err
		}
		defer m.close()
		if err := m.query(n); err != nil {
			return 0, err
		}
		return kib(heldMemory(), before), nil
	})
	return err
}

func kib(after, before uint64) float64 { return (float64(after) - float64(before)) / 1024 }

// plainTarget answers searches at once and costs as little as it can.
type plainTarget struct {
	listener countingListener
	gate     chan struct{}
}

func newPlainTarget(gate chan struct{}) (*plainTarget, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	t := &plainTarget{listener: l, gate: gate}
	go t.accept()
	return t, nil
}

func (t *plainTarget) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// serve answers each request of a connection, waiting for the gate if there is
// one.
func (t *plainTarget) serve(c net.Conn) {
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
		if _, err := c.Write(plainAnswer(req)); err != nil {
			return
		}
	}
}

func plainAnswer(req *http.Request) []byte {
	b := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	for _, name := range []string{target.HeaderAttempt, target.HeaderShard, target.HeaderIndexVersion} {
		b = append(b, name+": "+req.Header.Get(name)+"\r\n"...)
	}
	b = append(b, target.HeaderProcess+": 1\r\n"+target.HeaderVersions+": 1\r\n"...)
	b = append(b, "Content-Length: "+strconv.Itoa(answerBytes)+"\r\n\r\n"...)
	return append(b, plainBody(req)...)
}

// plainBody is a report on the health page and a JSON string elsewhere.
func plainBody(req *http.Request) string {
	report := `{"process":1,"versions":[1]}`
	if req.URL.Path == target.PathHealth {
		return report + strings.Repeat(" ", answerBytes-len(report))
	}
	return `"` + strings.Repeat("a", answerBytes-2) + `"`
}

func (t *plainTarget) close() { _ = t.listener.Close() }

func (t *plainTarget) asTarget() *topology.Target {
	return &topology.Target{
		ID: "agent-desk/00@plain", Shard: "agent-desk/00", Group: "agent-desk", DataCentre: "bern-a",
		Addr: netip.MustParseAddrPort(t.listener.Addr().String()),
	}
}

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

// SearchError says that a search at a plain target failed.
type SearchError struct{ Reason target.Reason }

// Error describes the failure.
func (e *SearchError) Error() string { return "search failed, reason " + strconv.Itoa(int(e.Reason)) }

// searchProcessor measures the processor time of searches at a target, the
// target's side included.
func searchProcessor(f *figures) error {
	s := Slope{
		Key: "search-processor", Title: "Search at a target: processor time, the target's side included",
		XLabel: "searches", YLabel: "milliseconds",
	}
	var err error
	f.SearchProcessor, err = measureSizes(s, []int{5_000, 10_000, 20_000}, func(n int) (float64, error) {
		t, err := newPlainTarget(nil)
		if err != nil {
			return 0, err
		}
		defer t.close()
		c := target.NewClient(target.Options{})
		defer c.Close()
		to := t.asTarget()
		if err := inParallel(exchangeWorkers, 100, func() error { return search(c, to) }); err != nil {
			return 0, err
		}
		begun := processorTime()
		err = inParallel(exchangeWorkers, n, func() error { return search(c, to) })
		return micros(processorTime()-begun) / 1e3, err
	})
	return err
}

// targetMemory measures the memory of idle connections to targets, both ends.
func targetMemory(f *figures) error {
	s := Slope{
		Key: "target-memory", Title: "Memory of idle connections to targets, both ends",
		XLabel: "connections", YLabel: "KiB",
	}
	var err error
	f.TargetMemory, err = measureSizes(s, []int{50, 200, 400, 800}, func(n int) (float64, error) {
		before := heldMemory()
		gate := make(chan struct{}, n)
		t, err := newPlainTarget(gate)
		if err != nil {
			return 0, err
		}
		defer t.close()
		c := target.NewClient(target.Options{MaxConnections: n})
		defer c.Close()
		if err := openAll(c, t, gate, n); err != nil {
			return 0, err
		}
		return kib(heldMemory(), before), nil
	})
	return err
}

// openAll keeps n searches at the target at once, so that n connections open.
func openAll(c *target.Client, t *plainTarget, gate chan struct{}, n int) error {
	to := t.asTarget()
	time.AfterFunc(500*time.Millisecond, func() {
		for range n {
			gate <- struct{}{}
		}
	})
	return inParallel(n, n, func() error { return search(c, to) })
}
