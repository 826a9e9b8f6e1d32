package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recordBytes = 16
	partRecords = 12
	topK        = 10
	minCoverage = 0.89
	shardCount  = 24
	// One of the gateways is killed at each turn. It is down for downTime.
	killPause = 1600 * time.Millisecond
	downTime  = 500 * time.Millisecond
	kills     = 36
	gateways  = 9
	// objectiveMS is the route's targetLatencyMs.
	objectiveMS = 120
	// bodyPause is the time between the two pieces of a query's body.
	bodyPause = 150 * time.Millisecond
	// failurePause is how long a client waits after a query that failed.
	failurePause = 100 * time.Millisecond
)

// parts holds the bodies of all parts by their stamps.
type parts struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func (p *parts) keep(stamp string, body []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodies[stamp] = body
	return body
}

func (p *parts) get(stamp string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.bodies[stamp]
	return body, ok
}

// shardRecords returns the records that every replica of a shard has.
func shardRecords(shard string) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(shard))
	r := rand.New(rand.NewPCG(h.Sum64(), 0))
	out := make([]byte, 0, partRecords*recordBytes)
	for len(out) < partRecords*recordBytes {
		out = append(out, byte(r.UintN(256)))
	}
	return out
}

// playLostHelper kills gateways one after the other while clients query all shards, and
// checks that each answer has just the greatest records of the parts that it names.
func playLostHelper(l *lab) ([]string, error) {
	ran, list, known := &runs{}, &platform{}, &parts{bodies: make(map[string][]byte)}
	var shards []string
	for i := range shardCount {
		shard := fmt.Sprintf("index-%02d", i+1)
		shards = append(shards, shard)
		records := shardRecords(shard)
		for k := range 2 {
			r := &replica{
				id: fmt.Sprintf("i-%s-%d", shard, k+1), service: shard, zone: zoneName(i + k), slots: 12, queue: 24, runs: ran,
				work:    func() time.Duration { return time.Duration(1+rand.IntN(25)) * time.Millisecond },
				body:    func(stamp string) []byte { return known.keep(stamp, records) },
				faultOf: func(bool, int) fault { return faultNone },
			}
			e, err := r.serve(l)
			if err != nil {
				return nil, err
			}
			list.add(e)
		}
	}
	routes := []route{{
		Name: "search", Host: "search.example", PathPrefix: "/all/", RouteKind: "idempotent",
		TimeoutMS: 2000, TargetLatencyMS: objectiveMS, Priority: 1, Gather: shards, Attempts: 2, TopK: topK, MinCoverage: minCoverage,
	}}
	if err := l.startAll(gateways, newConfig(routes, shards...), list); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	q := &queries{l: l, known: known}
	var end atomic.Bool
	var clients sync.WaitGroup
	for i := range 90 {
		clients.Go(func() {
			c := newClient()
			for !end.Load() {
				if !q.ask(c, l.gateways[i%len(l.gateways)]) {
					time.Sleep(failurePause)
				}
			}
		})
	}
	for i := range kills {
		time.Sleep(killPause)
		if !l.trouble {
			continue
		}
		if err := l.restart(l.gateways[i%gateways]); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	end.Store(true)
	clients.Wait()
	l.note("answers: %d successes, %d others", q.successes, q.others)
	return q.breaks, nil
}

// restart kills a gateway and starts it again after downTime.
func (l *lab) restart(p *process) error {
	l.note("%s is killed", p.name)
	p.kill()
	time.Sleep(downTime)
	l.note("%s is started again", p.name)
	return p.run()
}

// queries sends queries and checks their answers.
type queries struct {
	l     *lab
	known *parts

	mu                sync.Mutex
	breaks            []string
	successes, others int
}

// ask sends a query, checks its answer and reports whether it was a success.
func (q *queries) ask(c *http.Client, p *process) bool {
	id := newID()
	body := &slowBody{pieces: []string{"terms of ", "the query"}, pause: bodyPause}
	a := q.l.sendBody(c, p, http.MethodPost, "search.example", "/all/1", id, 2*time.Second, body)
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.err != nil || a.status != http.StatusOK {
		q.others++
		q.l.note("query %s at %s is answered %d, error %v", id, p.name, a.status, a.err)
		return false
	}
	q.successes++
	if fault := q.check(&a); fault != "" {
		q.breaks = append(q.breaks, fmt.Sprintf("MIXED: query %s at %s: %s", id, p.name, fault))
		q.l.note("query %s at %s: stamps %q, missing %q, body %x", id, p.name, a.header.Get("X-Part-Stamps"), a.header.Get("X-Missing-Parts"), a.body)
	}
	return true
}

// check returns what is wrong with a success, "" if nothing is.
func (q *queries) check(a *answer) string {
	var records [][]byte
	stamps := strings.Split(a.header.Get("X-Part-Stamps"), ", ")
	for _, stamp := range stamps {
		body, ok := q.known.get(stamp)
		if !ok {
			return "the stamp " + stamp + " is unknown"
		}
		for part := range slices.Chunk(body, recordBytes) {
			records = append(records, part)
		}
	}
	missing, _ := strconv.Atoi(a.header.Get("X-Missing-Parts"))
	if len(stamps)+missing != shardCount {
		return fmt.Sprintf("%d parts and %d missing ones", len(stamps), missing)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:topK], nil); !bytes.Equal(a.body, want) {
		return fmt.Sprintf("the body isn't the greatest %d records of its %d parts: got %x, want %x", topK, len(stamps), a.body, want)
	}
	return ""
}
