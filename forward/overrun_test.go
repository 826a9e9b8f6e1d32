package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// busyTarget answers like a target with two slots that reports its load.
type busyTarget struct {
	target  *fakeTarget
	slots   chan struct{}
	waiting atomic.Int64
	most    atomic.Int64
}

const busySlots = 2

// serve makes a request wait for a slot and takes workTime for it.
func (b *busyTarget) serve(c net.Conn, r *http.Request, workTime time.Duration, body string) {
	n := b.waiting.Add(1)
	for old := b.most.Load(); n > old && !b.most.CompareAndSwap(old, n); old = b.most.Load() {
	}
	b.slots <- struct{}{}
	b.waiting.Add(-1)
	time.Sleep(workTime)
	running := len(b.slots)
	<-b.slots
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nSig: sig-%s-%s\r\nLoad: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Req-Id"), b.target.id, r.Header.Get("Req-Id"), running-1, b.waiting.Load(), busySlots, len(body), body)
}

// The last target of a shard that gets three times what it carries must answer as much
// as it carries within the objective, instead of everything late: gathers that find
// its queue too long do without the shard. The load is 200 gathers a second for two
// seconds on 66 a second.
func TestQueueOfLastTargetStaysShort(t *testing.T) {
	const workTime, interval, gathers = 30 * time.Millisecond, 5 * time.Millisecond, 400
	names, targets, entries := startShards(t, 3)
	b := &busyTarget{target: targets[0], slots: make(chan struct{}, busySlots)}
	targets[0].answer = func(c net.Conn, r *http.Request, _ []byte, _ int) { b.serve(c, r, workTime, partBody(0)) }
	for i, s := range targets[2:] {
		s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			time.Sleep(workTime)
			s.ok(c, r, partBody(1+i/2))
		}
	}
	table := testTable(names...)
	for name, s := range table.Services {
		s.MaxConnections = 2000
		table.Services[name] = s
	}
	last := entries[0]
	last.Slots = busySlots
	f := newTestServer(t, table, append(entries[2:], last)...)
	objective := table.Routes[2].Objective
	transport := &http.Transport{MaxIdleConnsPerHost: gathers}
	defer transport.CloseIdleConnections()
	var wg sync.WaitGroup
	var whole, answered atomic.Int64
	for i := range gathers {
		time.Sleep(interval)
		wg.Go(func() {
			start := time.Now()
			r, err := http.NewRequest(http.MethodGet, f.url+"/all/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			r.Host = "h"
			r.Header.Set("Req-Id", fmt.Sprint("busy-", i))
			r.Header.Set("Left-Ms", "2000")
			resp, err := transport.RoundTrip(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK || time.Since(start) > objective {
				return
			}
			answered.Add(1)
			if resp.Header.Get("Missing") == "0" {
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	carried := float64(gathers) * float64(interval) / float64(workTime) * busySlots
	t.Logf("%d of %d answered in time, %d whole; the target carries %.0f; at most %d waited there", answered.Load(), gathers, whole.Load(), carried, b.most.Load())
	if float64(whole.Load()) < carried/2 {
		t.Errorf("%d whole answers in time, the target carries %.0f", whole.Load(), carried)
	}
	if n := b.most.Load(); float64(n) > float64(busySlots)*float64(objective)/float64(workTime) {
		t.Errorf("%d requests waited at the target", n)
	}
}
