package forward

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
)

func mustAddr(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

// startShards starts two targets for each of n shards. Each answers with the two
// records of partBody.
func startShards(t *testing.T, n int) (names []route.ServiceName, targets []*fakeTarget, entries []discovery.Target) {
	for i := range n {
		name := route.ServiceName(fmt.Sprint("s", i))
		names = append(names, name)
		for j := range 2 {
			s := newFakeTarget(t, fmt.Sprintf("t%d-%d", i, j), name)
			s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) { s.ok(c, r, partBody(i)) }
			targets = append(targets, s)
			entries = append(entries, s.entry())
		}
	}
	return names, targets, entries
}

func partBody(shard int) string {
	return fmt.Sprintf("%016d%016d-rest", shard*10+1, shard*10)
}

// A gathered response must hold the greatest records of all shards' parts.
func TestGatherMergesTopRecords(t *testing.T) {
	names, _, entries := startShards(t, 5)
	f := newTestServer(t, testTable(names...), entries...)
	got := f.get("/all/x")
	want := fmt.Sprintf("%016d%016d%016d", 41, 40, 31)
	parts := strings.Split(got.header.Get("Parts"), ", ")
	if got.status != http.StatusOK || got.body != want || got.header.Get("Missing") != "0" || len(parts) != 5 {
		t.Fatalf("status %d, body %q, missing %q, parts %v", got.status, got.body, got.header.Get("Missing"), parts)
	}
}

// A shard that stalls for 1 s is omitted at the objective of 300 ms, and the
// response says so. The 600 ms bound leaves room for a busy machine.
func TestGatherOmitsStalledShard(t *testing.T) {
	names, targets, entries := startShards(t, 5)
	for _, s := range targets[:2] {
		s.answer = func(net.Conn, *http.Request, []byte, int) { time.Sleep(time.Second) }
	}
	f := newTestServer(t, testTable(names...), entries...)
	start := time.Now()
	got := f.get("/all/x")
	if after := time.Since(start); got.status != http.StatusOK || got.header.Get("Missing") != "1" || after > 600*time.Millisecond {
		t.Fatalf("status %d, missing %q after %v", got.status, got.header.Get("Missing"), after)
	}
	if strings.Contains(got.header.Get("Parts"), "t0-") {
		t.Fatalf("parts %q include the missing shard", got.header.Get("Parts"))
	}
}

// Too few parts for the minimum coverage must not be a success. If too few shards
// have a usable target, the request is refused immediately without reaching any.
func TestGatherBelowMinimumCoverage(t *testing.T) {
	names, targets, entries := startShards(t, 5)
	f := newTestServer(t, testTable(names...), entries...)
	for _, s := range targets[:6] {
		s.answer = func(c net.Conn, _ *http.Request, _ []byte, _ int) { _ = c.Close() }
	}
	start := time.Now()
	if got := f.get("/all/x"); got.status != http.StatusBadGateway || time.Since(start) > 250*time.Millisecond {
		t.Fatalf("status %d after %v with three shards lost", got.status, time.Since(start))
	}
	f.setTargets(entries[6:]...)
	got := f.send(http.MethodGet, "/all/x", "", "id-2", 2000)
	time.Sleep(20 * time.Millisecond)
	sent := 0
	for _, s := range targets {
		for _, q := range s.requests() {
			if q.header.Get("Req-Id") == "id-2" {
				sent++
			}
		}
	}
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || sent != 0 {
		t.Fatalf("status %d, Retry-After %q, %d requests sent", got.status, got.header.Get("Retry-After"), sent)
	}
}

// A shard whose targets' connections are all in use must wait for one that becomes
// free, instead of being left out at once. The load is several gathers at the same
// time whose shard has slow targets with two connections each.
func TestGatherWaitsForConnection(t *testing.T) {
	names, targets, entries := startShards(t, 3)
	for _, s := range targets[:2] {
		s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) {
			time.Sleep(40 * time.Millisecond)
			s.ok(c, r, partBody(0))
		}
	}
	table := testTable(names...)
	table.Services["s0"] = route.Service{Name: "s0", HealthPath: "/health", MaxConnections: 2}
	table.Routes[2].Attempts = 1
	f := newTestServer(t, table, entries...)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			got := f.send(http.MethodGet, "/all/x", "", fmt.Sprint("wait-", i), 2000)
			if got.status != http.StatusOK || got.header.Get("Missing") != "0" {
				t.Errorf("status %d, missing %q", got.status, got.header.Get("Missing"))
			}
		})
	}
	wg.Wait()
}

// If a target refuses its part, the shard's other target is used within the same
// request.
func TestGatherRetriesRefusedPart(t *testing.T) {
	names, targets, entries := startShards(t, 5)
	for i, s := range targets {
		if i%2 == 0 {
			s.answer = func(c net.Conn, r *http.Request, _ []byte, _ int) { s.refuse(c, r) }
		}
	}
	f := newTestServer(t, testTable(names...), entries...)
	for i := range 5 {
		if got := f.send(http.MethodGet, "/all/x", "", fmt.Sprint(i), 1000); got.status != http.StatusOK || got.header.Get("Missing") != "0" {
			t.Fatalf("status %d, missing %q", got.status, got.header.Get("Missing"))
		}
	}
}

// topRecords must give the same records as repeatedly taking the greatest one left.
func TestTopRecordsAgainstSelection(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the greatest records of all parts, with duplicates", prop.ForAll(
		func(parts []string, top int) bool {
			bodies := make([][]byte, len(parts))
			var all []string
			for i, p := range parts {
				p = strings.Repeat(p, 9)
				bodies[i] = []byte(p)
				for ; len(p) >= recordBytes; p = p[recordBytes:] {
					all = append(all, p[:recordBytes])
				}
			}
			want := ""
			for range min(top, len(all)) {
				best := 0
				for i := range all {
					if all[i] > all[best] {
						best = i
					}
				}
				want += all[best]
				all = append(all[:best], all[best+1:]...)
			}
			return string(topRecords(bodies, top)) == want
		}, gen.SliceOf(gen.AlphaString()), gen.IntRange(1, 20)))
	properties.TestingRun(t)
}
