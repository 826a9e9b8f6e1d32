package outlier

import (
	"testing"
	"time"
)

// step is one report about a target, some time after the first.
type step struct {
	at   time.Duration
	seen Counts
}

func slow(n int) Counts { return Counts{Slow: n, SlownessSum: 8 * float64(n)} }

func TestDetector(t *testing.T) {
	const ms = time.Millisecond
	good := Counts{Good: 1}
	failed := Counts{Failed: 1}
	cases := map[string]struct {
		steps        []step
		slow, failed bool
	}{
		"nothing but good":         {steps: []step{{0, good}, {100 * ms, good}, {300 * ms, good}}},
		"slow for long":            {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}}, slow: true},
		"slow once":                {steps: []step{{0, slow(1)}}},
		"a pause":                  {steps: []step{{0, slow(2)}, {100 * ms, slow(3)}, {250 * ms, slow(1)}}},
		"slow, but mostly good":    {steps: []step{{0, slow(1)}, {150 * ms, Counts{Good: 5}}, {200 * ms, slow(1)}, {300 * ms, slow(1)}}},
		"slow long ago":            {steps: []step{{0, slow(1)}, {500 * ms, slow(1)}, {1000 * ms, slow(1)}}},
		"well again":               {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {2000 * ms, good}, {2500 * ms, good}}},
		"one good answer":          {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {2000 * ms, good}}, slow: true},
		"still slow when tried":    {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {2000 * ms, good}, {2500 * ms, slow(1)}, {3000 * ms, good}}, slow: true},
		"fails for long":           {steps: []step{{0, failed}, {150 * ms, failed}, {300 * ms, failed}}, failed: true},
		"fails a tenth":            {steps: []step{{0, Counts{Good: 9, Failed: 1}}, {time.Second, Counts{Good: 9, Failed: 1}}, {2 * time.Second, Counts{Good: 9, Failed: 1}}}, failed: true},
		"fails one in a hundred":   {steps: []step{{0, Counts{Good: 99, Failed: 1}}, {time.Second, Counts{Good: 99, Failed: 1}}, {2 * time.Second, Counts{Good: 99, Failed: 1}}}},
		"failed, well again":       {steps: []step{{0, failed}, {150 * ms, failed}, {300 * ms, failed}, {3500 * ms, good}}},
		"one of the two at a time": {steps: []step{{0, slow(1)}, {150 * ms, slow(1)}, {300 * ms, slow(1)}, {400 * ms, failed}, {700 * ms, failed}, {800 * ms, failed}}, slow: true, failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, target, begun := NewDetector(), Incarnation{ID: "t"}, time.Now()
			now := begun
			for _, s := range c.steps {
				now = begun.Add(s.at)
				d.Add(target, s.seen, now)
			}
			got := d.Outliers(now)[target]
			if (got.Slowness > 0) != c.slow || (got.FailureRate > 0) != c.failed {
				t.Fatalf("%+v, want slow %v, failing %v", got, c.slow, c.failed)
			}
		})
	}
}

// An outlier of which nothing is heard any more is forgotten, and one that starts
// again is another target.
func TestOutlierIsForgotten(t *testing.T) {
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
		t.Error("a target that started again is an outlier")
	}
	if n := len(d.Outliers(now.Add(forgetTime + time.Second))); n != 0 {
		t.Errorf("%d outliers long after", n)
	}
	if len(d.targets) != 0 {
		t.Error("the detector keeps forgotten targets")
	}
}

func TestCollectorIsBounded(t *testing.T) {
	c := NewCollector()
	id := func(i int) Incarnation { return Incarnation{ID: "t", BornUnixMS: int64(i)} }
	for i := range 3 * mostCollected {
		c.Add(id(i), Counts{Good: 1})
	}
	for i := range 3 * mostCollected {
		c.Add(id(i), slow(1))
	}
	got := c.take()
	if len(got) != mostCollected {
		t.Errorf("%d targets, want %d", len(got), mostCollected)
	}
	if got[id(1)] != (Counts{Good: 1, Slow: 1, SlownessSum: 8}) {
		t.Errorf("counts %+v", got[id(1)])
	}
	if c.take() != nil {
		t.Error("the collector wasn't emptied")
	}
}

// What is compared, packed and applied leads from any set to any other.
func TestChangeLeadsFromOneSetToAnother(t *testing.T) {
	a, b := Incarnation{ID: "a"}, Incarnation{ID: "b", BornUnixMS: 7}
	sets := []map[Incarnation]Outlier{
		{}, {a: {Slowness: 3}}, {a: {Slowness: 9}}, {a: {FailureRate: .5}}, {b: {Slowness: 2}}, {a: {Slowness: 3}, b: {Slowness: 4, FailureRate: .25}},
	}
	for i, from := range sets {
		for j, to := range sets {
			c := compare(from, to)
			sent := unpackUpdate(packUpdate(&c))
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
