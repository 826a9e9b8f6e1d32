package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxChance is the chance at most of so many bad answers from a version as good as
	// the old one. Each decision makes several tests, up to ten times a second.
	maxChance = 1e-6
	// minBad is the smallest number of bad answers that makes a version bad, and
	// minSuspicious the one that makes it suspicious.
	minBad        = 5
	minSuspicious = 3
	// likelyBadChance is the chance below which a version is rolled back once it got nearly
	// as many requests as a bad one may.
	likelyBadChance = 1e-4
	// suspiciousChance is the chance below which no step is taken until more is known.
	suspiciousChance = 1e-3
	// minRatio and minExcess are by how much more often than the old versions a version
	// must answer badly: a factor, and a share of its answers in addition. Differences
	// below them come from unequal targets.
	minRatio  = 2.0
	minExcess = 0.03
	// baseRate is the share of bad answers that is expected of any version.
	baseRate = 0.005
	// minReference is the number of the old versions' answers in a window below which
	// all that are kept serve as the reference.
	minReference = 50
	// blendSlices is the number of slices before and after one whose old answers are its
	// reference.
	blendSlices = 2
)

// windows are the times before a decision that are judged: short ones find a version
// that turns bad, long ones find one that is bad rarely.
var windows = [...]time.Duration{2 * time.Second, 8 * time.Second, sliceCount * sliceTime}

// Verdict is the judgement of a version.
type Verdict struct {
	// Bad means that the new version answers worse than the old ones. The other fields
	// say where.
	Bad bool
	// Measure is "failed", "slow", "very slow" or "failed or slow".
	Measure string
	// Route is empty if all routes were judged together.
	Route  string
	Window time.Duration
	// Answers and BadAnswers are those of the new version without its worst target.
	Answers, BadAnswers int
	// Expected is the number of bad answers expected of the old versions, and Chance the
	// chance that a version like them gives as many as BadAnswers.
	Expected, Chance float64
}

// measures are the ways to count bad answers. Failures are rarer than slow answers, so
// that few of them say more.
var measures = [...]struct {
	name string
	bad  func(Counts) int
}{
	{"failed", func(c Counts) int { return c.Failed }},
	{"slow", func(c Counts) int { return c.Slow }},
	{"very slow", func(c Counts) int { return c.VerySlow }},
	{"failed or slow", func(c Counts) int { return c.Slow + c.Failed }},
}

// Suspicious reports whether the version may be bad, so that the next step should wait.
func (v *Verdict) Suspicious() bool { return v.Chance < suspiciousChance }

// LikelyBad reports whether the version is more likely bad than not.
func (v *Verdict) LikelyBad() bool { return v.Chance < likelyBadChance && v.BadAnswers >= minBad }

// Judge compares the answers of the new version with those of the old ones.
func Judge(e *Evidence, now time.Duration) Verdict {
	worst := Verdict{Chance: 1}
	newest := int(now / sliceTime)
	if all := e.Recent(now, (sliceCount-1)*sliceTime, true); all.Slow+all.Failed < minSuspicious {
		return worst
	}
	tallies := make([]*tally, 0, len(windows))
	t := newTally(e)
	for back := 0; back < sliceCount; back++ {
		t.addSlice(newest - back)
		if len(tallies) < len(windows)-1 && time.Duration(back)*sliceTime == windows[len(tallies)] {
			tallies = append(tallies, t.clone())
		}
	}
	for i, judged := range append(tallies, t) {
		for route := range judged.routes {
			reference := judged
			if judged.routes[route].sum[index(false)].Ended() < minReference {
				reference = t
			}
			for _, m := range measures {
				v := judged.compare(reference, route, m.bad)
				v.Measure, v.Route, v.Window = m.name, route, windows[i]
				if v.Chance < worst.Chance {
					worst = v
				}
			}
		}
	}
	worst.Bad = worst.Chance < maxChance && worst.BadAnswers >= minBad
	return worst
}

// tally holds the counts of some slices by route.
type tally struct {
	evidence *Evidence
	routes   map[string]*routeCounts
	// numbers are the slices with counts.
	numbers []int
}

func newTally(e *Evidence) *tally { return &tally{evidence: e, routes: make(map[string]*routeCounts)} }

// addSlice adds the slice of a number, if it is kept.
func (t *tally) addSlice(number int) {
	s := t.evidence.at(number)
	if s == nil {
		return
	}
	t.numbers = append(t.numbers, number)
	for name, r := range s.routes {
		sum := t.routes[name]
		if sum == nil {
			sum = newRouteCounts()
			t.routes[name] = sum
		}
		for version, targets := range r.targets {
			for target, c := range targets {
				sum.add(target, version, c)
			}
		}
	}
}

func (t *tally) clone() *tally {
	out := &tally{evidence: t.evidence, routes: make(map[string]*routeCounts, len(t.routes)), numbers: slices.Clone(t.numbers)}
	for name, r := range t.routes {
		out.routes[name] = &routeCounts{targets: [2]map[string]Counts{maps.Clone(r.targets[0]), maps.Clone(r.targets[1])}, sum: r.sum}
	}
	return out
}

// trimmed returns the answers and the bad ones of a version, without those of the target
// with the most bad ones: one bad machine doesn't make a bad version.
func (r *routeCounts) trimmed(isNew bool, bad func(Counts) int) (answers, badAnswers int) {
	worst, worstAnswers, active := 0, 0, 0
	for _, c := range r.targets[index(isNew)] {
		n, b := c.Ended(), bad(c)
		answers += n
		badAnswers += b
		if n > 0 {
			active++
		}
		if b > worst || b == worst && n > worstAnswers {
			worst, worstAnswers = b, n
		}
	}
	if active < 2 {
		return answers, badAnswers
	}
	return answers - worstAnswers, badAnswers - worst
}

// compare returns the chance of the new version's bad answers on a route if it were like
// the old versions in the reference.
func (t *tally) compare(reference *tally, route string, bad func(Counts) int) Verdict {
	n, b := t.routes[route].trimmed(true, bad)
	v := Verdict{Answers: n, BadAnswers: b, Chance: 1}
	if b < minSuspicious {
		return v
	}
	oldN, oldBad := reference.routes[route].trimmed(false, bad)
	usual := baseRate + (float64(oldBad)+0.5)/(float64(oldN)+1)
	v.Expected = max(float64(n)*usual, t.expectedBySlice(route, n, bad))
	if float64(b) < minRatio*v.Expected+minExcess*float64(n) {
		return v
	}
	v.Chance = poissonTail(b, v.Expected)
	return v
}

// expectedBySlice returns the bad answers expected of n requests that are spread over
// the slices like the new version's: when all targets have a bad time, the share of the
// new version may have been large just then.
func (t *tally) expectedBySlice(route string, n int, bad func(Counts) int) float64 {
	sum, weight := 0.0, 0
	for _, number := range t.numbers {
		k := t.evidence.sum(number, route, true).Ended()
		if k == 0 {
			continue
		}
		var old Counts
		for i := number - blendSlices; i <= number+blendSlices; i++ {
			old = old.Plus(t.evidence.sum(i, route, false))
		}
		weight += k
		sum += float64(k) * (float64(bad(old)) / float64(max(old.Ended(), 1)))
	}
	return sum / float64(max(weight, 1)) * float64(n)
}

// sum returns a version's counts on a route in the slice of a number.
func (e *Evidence) sum(number int, route string, isNew bool) Counts {
	s := e.at(number)
	if s == nil || s.routes[route] == nil {
		return Counts{}
	}
	return s.routes[route].sum[index(isNew)]
}

// poissonTail returns the chance of at least k events if mean are expected.
func poissonTail(k int, mean float64) float64 {
	if float64(k) < mean {
		return 1
	}
	lg, _ := math.Lgamma(float64(k) + 1)
	term := math.Exp(float64(k)*math.Log(mean) - mean - lg)
	sum := 0.0
	for i := k; term > sum*1e-9 && i < k+10_000; i++ {
		sum += term
		term *= mean / float64(i+1)
	}
	return min(sum, 1)
}
