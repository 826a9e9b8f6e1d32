package outlier

import (
	"testing"
	"time"
)

// step is one report about a target, at a time after the first one.
type step struct {
	at     time.Duration
	counts Counts
}

func slow(n int) Counts { return Counts{Slow: n, SlownessSum: 8 * float64(n)} }

// Only targets that were slow or failed requests repeatedly over some time become
// outliers, and good requests end that.
func TestDetector(t *testing.T) {
	const ms = time.Millisecond
	good := Counts{Good: 1}
	failed := Counts{Failed: 1}
	cases := map[string]struct {
		steps        []step
		slow, failed bool
	}{
		"only good":              {steps: []step{{0, good}, {100 * ms, good}, {300 * ms, good}}},
		"slow for long":          {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}}, slow: true},
		"slow once":              {steps: []step{{0, slow(1)}}},
		"short pause":            {steps: []step{{0, slow(2)}, {100 * ms, slow(3)}, {250 * ms, slow(1)}}},
		"slow, but mostly good":  {steps: []step{{0, slow(1)}, {150 * ms, Counts{Good: 5}}, {200 * ms, slow(1)}, {300 * ms, slow(1)}}},
		"slow long ago":          {steps: []step{{0, slow(1)}, {500 * ms, slow(1)}, {1000 * ms, slow(1)}}},
		"recovered":              {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {2000 * ms, good}, {2500 * ms, good}}},
		"one good request":       {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {2000 * ms, good}}, slow: true},
		"still slow when probed": {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {2000 * ms, good}, {2500 * ms, slow(1)}, {3000 * ms, good}}, slow: true},
		"fails for long":         {steps: []step{{0, failed}, {150 * ms, failed}, {300 * ms, failed}}, failed: true},
		"fails a tenth":          {steps: []step{{0, Counts{Good: 9, Failed: 1}}, {time.Second, Counts{Good: 9, Failed: 1}}, {2 * time.Second, Counts{Good: 9, Failed: 1}}}, failed: true},
		"fails one in a hundred": {steps: []step{{0, Counts{Good: 99, Failed: 1}}, {time.Second, Counts{Good: 99, Failed: 1}}, {2 * time.Second, Counts{Good: 99, Failed: 1}}}},
		"failed, recovered":      {steps: []step{{0, failed}, {150 * ms, failed}, {300 * ms, failed}, {3500 * ms, good}}},
		"slow, then failing":     {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {400 * ms, failed}, {700 * ms, failed}, {800 * ms, failed}}, slow: true, failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, target, start := NewDetector(), Incarnation{ID: "t"}, time.Now()
			now := start
			for _, s := range c.steps {
				now = start.Add(s.at)
				d.Add(target, s.counts, now)
			}
			got := d.Outliers(now)[target]
			if (got.Slowness > 0) != c.slow || (got.FailureRate > 0) != c.failed {
				t.Fatalf("%+v, want slow %v, failing %v", got, c.slow, c.failed)
			}
		})
	}
}

// An outlier without further reports is removed, and a restarted target is not the
// same outlier.
func TestOutlierExpires(t *testing.T) {
	d, now := NewDetector(), time.Now()
	first, again := Incarnation{ID: "t", BornUnixMS: 1}, Incarnation{ID: "t", BornUnixMS: 2}
	for i := range 4 {
		d.Add(first, slow(1), now.Add(time.Duration(i)*100*time.Millisecond))
	}
	now = now.Add(400 * time.Millisecond)
	got := d.Outliers(now)
	if got[first].Slowness != 8 {
		t.Errorf("slowness %v, want 8", got[first].Slowness)
	}
	if _, ok := got[again]; ok {
		t.Error("a restarted target is an outlier")
	}
	if n := len(d.Outliers(now.Add(expiry + time.Second))); n != 0 {
		t.Errorf("%d outliers after their expiry", n)
	}
	if len(d.targets) != 0 {
		t.Error("the detector keeps expired targets")
	}
}

// A report must not grow with the number of targets, but prefers targets with slow
// or failed requests.
func TestCollectorIsBounded(t *testing.T) {
	c := NewCollector()
	id := func(i int) Incarnation { return Incarnation{ID: "t", BornUnixMS: int64(i)} }
	for i := range 3 * maxCollectedWithErrors {
		c.Add(id(i), Counts{Good: 1})
	}
	for i := range 3 * maxCollectedWithErrors {
		c.Add(id(i), slow(1))
	}
	got := c.take()
	if len(got) != maxCollectedWithErrors {
		t.Errorf("%d targets, want %d", len(got), maxCollectedWithErrors)
	}
	if got[id(1)] != (Counts{Good: 1, Slow: 1, SlownessSum: 8}) {
		t.Errorf("counts %+v", got[id(1)])
	}
	if c.take() != nil {
		t.Error("the collector was not reset by take")
	}
}

// The difference between two sets of outliers, encoded and applied to the first,
// must give the second.
func TestChangeAppliesToAnySet(t *testing.T) {
	a, b := Incarnation{ID: "a"}, Incarnation{ID: "b", BornUnixMS: 7}
	sets := []map[Incarnation]Outlier{
		{}, {a: {Slowness: 3}}, {a: {Slowness: 9}}, {a: {FailureRate: .5}}, {b: {Slowness: 2}}, {a: {Slowness: 3}, b: {Slowness: 4, FailureRate: .25}},
	}
	for i, from := range sets {
		for j, to := range sets {
			c := compare(from, to)
			sent := decodeUpdate(encodeUpdate(&c))
			got := sent.apply(from)
			if again := compare(got, to); !again.empty() {
				t.Errorf("from %d to %d: %v, want %v", i, j, got, to)
			}
			if c.empty() != (i == j) {
				t.Errorf("from %d to %d: empty %v", i, j, c.empty())
			}
		}
	}
}
