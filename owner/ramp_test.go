package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var limits = Limits{Slots: 3, ColdLimit: 1, WarmAfter: 5 * time.Second}

// randomEvents returns a sequence of events of a target that occasionally
// restarts, sheds and loses connections.
func randomEvents(seed uint64) []RampEvent {
	rng := rand.New(rand.NewPCG(seed, 1))
	events := make([]RampEvent, 0, 600)
	process := uint64(1)
	for range 600 {
		switch p := rng.Float64(); {
		case p < 0.005:
			process++
		case p < 0.01:
			events = append(events, Shed{Process: process})
		case p < 0.015:
			events = append(events, ConnectionLost{})
		case p < 0.02:
			events = append(events, ProcessSeen{Process: process})
		default:
			service := time.Duration(rng.Float64()*60) * time.Millisecond
			events = append(events, Served{Process: process, Service: service})
		}
	}
	return events
}

// naiveLimit computes the highest limit that a sequence of events allows: it
// searches backwards for the last sign of a cold start and adds up the work
// since then.
func naiveLimit(events []RampEvent) int {
	var work time.Duration
	last := uint64(0)
	for i := len(events) - 1; i >= 0; i-- {
		served, ok := events[i].(Served)
		if !ok {
			if _, shed := events[i].(Shed); shed {
				break
			}
			continue
		}
		if last != 0 && served.Process != last {
			break
		}
		last = served.Process
		work += served.Service
	}
	share := min(1, float64(work)/float64(limits.WarmAfter))
	return limits.ColdLimit + int(share*float64(limits.Slots-limits.ColdLimit))
}

// After any sequence of events, the limit must not exceed what the observed
// work allows, or a cold target is overloaded. After a lost connection it must
// be the cold limit.
func TestRampNeverExceedsNaiveLimit(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("limit", prop.ForAll(func(seed uint64) bool {
		r := NewRamp(limits)
		events := randomEvents(seed)
		for i, e := range events {
			r = r.Step(e)
			if r.Limit() < limits.ColdLimit || r.Limit() > naiveLimit(events[:i+1]) {
				return false
			}
			if _, lost := e.(ConnectionLost); lost && r.Limit() != limits.ColdLimit {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// serveFor returns the ramp after n answered searches.
func serveFor(r Ramp, process uint64, service time.Duration, n int) Ramp {
	for range n {
		r = r.Step(Served{Process: process, Service: service})
	}
	return r
}

func TestRampSteps(t *testing.T) {
	const service = 20 * time.Millisecond
	warm := serveFor(NewRamp(limits), 1, service, 400)
	cases := []struct {
		name string
		ramp Ramp
		want int
	}{
		{"unknown", NewRamp(limits), 1},
		{"half the work", serveFor(NewRamp(limits), 1, service, 200), 2},
		{"warm", warm, 3},
		{"a new process", warm.Step(Served{Process: 2, Service: service}), 1},
		{"a health page names a new process", warm.Step(ProcessSeen{Process: 2}), 1},
		{"shed", warm.Step(Shed{Process: 1}), 1},
		{"connection lost", warm.Step(ConnectionLost{}), 1},
		{"connection lost, same process", warm.Step(ConnectionLost{}).Step(Served{Process: 1, Service: service}), 3},
		{"connection lost, new process", warm.Step(ConnectionLost{}).Step(Served{Process: 2, Service: service}), 1},
		{"latency above its band", serveFor(warm, 1, 10*service, 3), 1},
		{"one slow answer", serveFor(warm, 1, 4*service, 1), 3},
		{"handed over", NewRamp(limits).Step(HandedOver{Process: 1, Work: 8 * time.Second}), 1},
		{
			"handed over and seen",
			NewRamp(limits).Step(HandedOver{Process: 1, Work: 8 * time.Second}).Step(Served{Process: 1, Service: service}), 3,
		},
		{
			"handed over but restarted",
			NewRamp(limits).Step(HandedOver{Process: 1, Work: 8 * time.Second}).Step(Served{Process: 2, Service: service}), 1,
		},
	}
	for _, c := range cases {
		if got := c.ramp.Limit(); got != c.want {
			t.Errorf("%s: limit %d, want %d", c.name, got, c.want)
		}
	}
}

// A busy owner sees service times far above the target's own. A cold target that says
// how long it worked must not get more than it can carry because of that.
func TestRampCountsTheTargetsOwnWork(t *testing.T) {
	const own = 20 * time.Millisecond
	r := NewRamp(limits).Step(Served{Process: 1, Service: own, Work: own})
	for done := own; done < limits.WarmAfter; done += own {
		r = r.Step(Served{Process: 1, Service: 3 * own, Work: own})
		carried := limits.ColdLimit + int(float64(done)/float64(limits.WarmAfter)*float64(limits.Slots-limits.ColdLimit))
		if r.Limit() > carried {
			t.Fatalf("limit %d after %v of work, the target carries %d", r.Limit(), done, carried)
		}
	}
	if without := NewRamp(limits).Step(Served{Process: 1, Service: 3 * own}); without.Work != 3*own {
		t.Fatalf("work %v without the target's word, want the time seen", without.Work)
	}
}
