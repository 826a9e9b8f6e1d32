package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// brokenOffShare is the share of a faulty replica's answers that it breaks off.
	// Besides, a second copy of its answers to rejected health checks comes late. The
	// record says what share of the answers both are together.
	brokenOffShare = 0.015
	// spellTime is the length of one spell of spoiled answers and calmTime the time
	// between two.
	spellTime = 5 * time.Second
	calmTime  = 2 * time.Second
	spells    = 8
)

// playLateCopy lets one of two replicas spoil some answers while many users come at
// once, so that replicas are full and reject requests. Requests aren't idempotent.
func playLateCopy(l *lab) ([]string, error) {
	ran, list := &runs{}, &platform{}
	var spoiling atomic.Bool
	var answered, spoiled atomic.Int64
	for i := range 2 {
		faulty := i == 0
		r := &replica{
			id: fmt.Sprintf("i-orders-%d", i+1), service: "orders", zone: zoneName(i), slots: 6, queue: 24, runs: ran,
			work: func() time.Duration { return time.Duration(4+rand.IntN(8)) * time.Millisecond },
			body: func(stamp string) []byte { return []byte("answer of orders " + stamp) },
			faultOf: func(health bool, status int) fault {
				if !faulty || !spoiling.Load() {
					return faultNone
				}
				answered.Add(1)
				switch {
				case health && status == http.StatusServiceUnavailable:
					spoiled.Add(1)
					return faultLateCopy
				case !health && rand.Float64() < brokenOffShare:
					spoiled.Add(1)
					return faultBreakOff
				default:
					return faultNone
				}
			},
		}
		e, err := r.serve(l)
		if err != nil {
			return nil, err
		}
		list.add(e)
	}
	routes := []route{{
		Name: "orders", Host: "shop.example", PathPrefix: "/orders/", RouteKind: "non_idempotent",
		TimeoutMS: 4000, TargetLatencyMS: 250, Priority: 1, Service: "orders", Attempts: 2,
	}}
	if err := l.startAll(6, newConfig(routes, "orders"), list); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers := make(map[string]answer)
	var clients sync.WaitGroup
	var end atomic.Bool
	for i := range 90 {
		clients.Go(func() {
			c := newClient()
			for !end.Load() {
				id := newID()
				a := l.sendBody(c, l.gateways[i%len(l.gateways)], http.MethodPost, "shop.example", "/orders/1", id, 4*time.Second, strings.NewReader("order "+id))
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				if a.status != http.StatusOK {
					l.note("request %s is answered %d by %s", id, a.status, a.gateway)
					time.Sleep(30 * time.Millisecond)
				}
			}
		})
	}
	for range spells {
		time.Sleep(calmTime)
		spoiling.Store(l.trouble)
		time.Sleep(spellTime)
		spoiling.Store(false)
	}
	end.Store(true)
	clients.Wait()
	time.Sleep(time.Second)
	l.note("the faulty replica spoiled %d of %d answers while it was faulty", spoiled.Load(), answered.Load())
	return checkOnce(l, ran.list(), answers), nil
}

// checkOnce returns the requests that ran more than once, and those that were answered
// with a promise that they didn't run.
func checkOnce(l *lab, ran []run, answers map[string]answer) []string {
	byID := make(map[string][]run)
	for _, x := range ran {
		byID[x.id] = append(byID[x.id], x)
	}
	l.note("%d requests were sent, %d ran", len(answers), len(byID))
	var breaks []string
	for id, xs := range byID {
		if len(xs) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s ran at %s and %s", id, xs[0].replica, xs[1].replica))
		}
		a := answers[id]
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			breaks = append(breaks, fmt.Sprintf("REFUSED: request %s ran at %s and was answered %d by %s", id, xs[0].replica, a.status, a.gateway))
		}
	}
	return breaks
}
