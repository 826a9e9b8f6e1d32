package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simStep = 5 * time.Millisecond
	simTime = 40 * time.Second
	// simContact is the time after which a limit must be known to all gateways.
	simContact = 4 * time.Second
	// simWindow is that of the rule for targets: one and a half times the limit, and
	// simSlack requests.
	simWindow = 4 * time.Second
	simSlack  = 5
)

// simRun is a service of some targets that all have a limit, under some gateways.
type simRun struct {
	gateways, targets int
	limit             Limit
	// perSecond is the rate of requests.
	perSecond float64
	// burst multiplies it from 16 to 20 s, if not 0.
	burst float64
	// restartEvery is the time between two gateways that restart, 0 if none does, and
	// leaderLost means that the leader is lost at 24 s and has a successor 2 s later.
	restartEvery time.Duration
	leaderLost   bool
	// admits means that requests are admitted by Share.
	admits bool
	seed   uint64
}

var simStart = time.Unix(1_000_000, 0)

// simState is the state of a run.
type simState struct {
	simRun
	random   *rand.Rand
	now      time.Time
	hub      *Hub
	gateways []*Gateway
	later    map[time.Duration][]func()
	// sent holds the times of the requests at each target.
	sent [][]time.Duration
}

func (s *simState) at() time.Duration { return s.now.Sub(simStart) }

func (s *simState) after(d time.Duration, run func()) {
	at := (s.at() + max(d, simStep)).Truncate(simStep)
	s.later[at] = append(s.later[at], run)
}

func (s *simState) delay(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *simState) newGateway() *Gateway { return NewGateway(func() time.Time { return s.now }) }

// run returns the times of the requests at each target.
func (c simRun) run() [][]time.Duration {
	s := &simState{
		simRun: c, random: rand.New(rand.NewPCG(c.seed, 1)), now: simStart, hub: NewHub(),
		later: make(map[time.Duration][]func()), sent: make([][]time.Duration, c.targets),
	}
	for i := range c.gateways {
		s.gateways = append(s.gateways, s.newGateway())
		s.after(s.delay(0, 100*time.Millisecond), func() { s.report(i) })
	}
	s.after(0, s.tell)
	if c.restartEvery > 0 {
		s.after(c.restartEvery, func() { s.restart(0) })
	}
	if c.leaderLost {
		s.after(24*time.Second, func() { s.hub = nil })
		s.after(26*time.Second, func() { s.hub = NewHub() })
	}
	for ; s.at() < simTime; s.now = s.now.Add(simStep) {
		for _, f := range s.later[s.at()] {
			f()
		}
		delete(s.later, s.at())
		s.arrive()
	}
	return s.sent
}

func (s *simState) report(i int) {
	if report := s.gateways[i].Report(); report != nil {
		s.after(s.delay(50*time.Millisecond, 150*time.Millisecond), func() {
			if s.hub != nil {
				s.hub.Add(report, s.now)
			}
		})
	}
	s.after(100*time.Millisecond, func() { s.report(i) })
}

func (s *simState) tell() {
	var state []byte
	if s.hub != nil {
		state = s.hub.State(s.now)
	}
	for i := range s.gateways {
		s.after(s.delay(10*time.Millisecond, 60*time.Millisecond), func() { s.gateways[i].Apply(state) })
	}
	s.after(100*time.Millisecond, s.tell)
}

func (s *simState) restart(i int) {
	s.gateways[i] = s.newGateway()
	s.after(s.restartEvery, func() { s.restart((i + 1) % s.simRun.gateways) })
}

// arrive sends the requests of one step.
func (s *simState) arrive() {
	rate := s.perSecond
	if at := s.at(); s.burst > 0 && at >= 16*time.Second && at < 20*time.Second {
		rate *= s.burst
	}
	for p := rate * simStep.Seconds(); p > 0 && s.random.Float64() < p; p-- {
		// Some gateways get many more requests than others.
		i := int(float64(len(s.gateways)) * s.random.Float64() * s.random.Float64())
		s.request(s.gateways[i])
	}
}

// request sends a request from a gateway to a target that it may choose.
func (s *simState) request(g *Gateway) {
	keys := make([]Key, s.targets)
	for i := range keys {
		keys[i] = Key(i + 1)
	}
	g.Offer("s", s.now)
	offered, known := g.Offered("s", s.now)
	if s.admits && known && s.random.Float64() >= Share(slices.Repeat([]Limit{s.limit}, s.targets), offered) {
		return
	}
	first := s.random.IntN(s.targets)
	allowed := g.Draw("s", keys, s.admits, 1/float64(s.simRun.gateways), s.random.Float64(), s.now)
	for i := range allowed {
		chosen := (first + i) % s.targets
		if !allowed[chosen] {
			continue
		}
		g.Take(keys[chosen])
		s.sent[chosen] = append(s.sent[chosen], s.at())
		s.after(10*time.Millisecond, func() { g.Observe(keys[chosen], s.limit, true, s.now) })
		return
	}
}

// mostInWindow returns the most requests in a window that begins after simContact.
func mostInWindow(sent []time.Duration) int {
	most, from := 0, 0
	for i, at := range sent {
		for sent[from] < simContact || at-sent[from] >= simWindow {
			if from == i {
				break
			}
			from++
		}
		if sent[from] >= simContact {
			most = max(most, i-from+1)
		}
	}
	return most
}

// Targets must stay within their limits however small these are, also while gateways
// restart, requests come in a burst and the leader is lost; and get most of what they take
// while there are enough requests.
func TestTargetsStayWithinTheirLimits(t *testing.T) {
	for name, c := range map[string]simRun{
		"one a second, 100 gateways":           {gateways: 100, targets: 1, limit: 1, perSecond: 40},
		"one a second, gateways restart":       {gateways: 100, targets: 1, limit: 1, perSecond: 40, restartEvery: 500 * time.Millisecond},
		"two a second, leader lost":            {gateways: 100, targets: 3, limit: 2, perSecond: 60, leaderLost: true},
		"four a second, 12 targets, burst":     {gateways: 116, targets: 12, limit: 4, perSecond: 26, burst: 4},
		"36 a second, 8 gateways":              {gateways: 8, targets: 3, limit: 36, perSecond: 180, restartEvery: 2 * time.Second},
		"36 a second, burst and a lost leader": {gateways: 8, targets: 3, limit: 36, perSecond: 120, burst: 3, leaderLost: true},
		"30 a second, admitted, burst":         {gateways: 8, targets: 3, limit: 30, perSecond: 150, burst: 3, admits: true},
		"three a second, admitted, restarts":   {gateways: 100, targets: 3, limit: 3, perSecond: 30, burst: 3, restartEvery: 500 * time.Millisecond, admits: true},
		"two a second, admitted, leader lost":  {gateways: 100, targets: 2, limit: 2, perSecond: 20, leaderLost: true, admits: true},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			for seed := range uint64(simSeeds) {
				c.seed = seed
				for i, sent := range c.run() {
					total += len(sent)
					allowed := 1.5*float64(c.limit)*simWindow.Seconds() + simSlack
					if n := mostInWindow(sent); float64(n) > allowed {
						t.Errorf("seed %d: target %d got %d requests in %v, %.0f allowed", seed, i, n, simWindow, allowed)
					}
				}
			}
			most := min(c.perSecond, float64(c.targets)*float64(c.limit)) * simTime.Seconds() * simSeeds
			used := float64(total) / most
			t.Logf("%.2f of the requests that the targets take were sent", used)
			if used < simLeastUsed {
				t.Errorf("%.2f of the requests that the targets take were sent", used)
			}
		})
	}
}

const (
	// simSeeds is the number of seeds of each case.
	simSeeds = 4
	// simLeastUsed is the least part of what the targets take that must be used.
	simLeastUsed = 0.5
)
