package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// forgetTime is the time in which the weight of observations decays to 1/e.
	forgetTime = 4 * time.Second
	// recentTime is the same for the figures that detect sudden slowness.
	recentTime = 400 * time.Millisecond
	// targetTTL is how long a target without reports is kept.
	targetTTL = 30 * time.Second
	// maxTargets bounds the targets that are tracked, at about 700 bytes each.
	maxTargets = 16 << 10
	// calibrateInterval is the time between two computations of what is usual.
	calibrateInterval = time.Second
	// minIdleShare is the share of responses with a load of 0 below which the reported
	// loads count the answered request.
	minIdleShare = 0.002
	// slowMargin is the speed from which a target counts as slow, and recoveredMargin
	// the one below which it no longer does.
	slowMargin, recoveredMargin = 1.25, 1.15
	// suddenMargin is the mean of the recent figures from which a target counts as
	// slow before the older observations are forgotten.
	suddenMargin = 1.5
	// lowLoadDivisor is the part of the slots up to which a load counts as low: one in
	// lowLoadDivisor.
	lowLoadDivisor = 2
	// minRecent is the weight that recent figures need for that.
	minRecent = 3
	// maxDisagreement is the natural logarithm of the ratio between service times and
	// figures, both relative to the usual, from which a target's figures are ignored.
	// disagreementError, divided by the square root of the weight, is three standard
	// errors of the mean service time, which are added.
	maxDisagreement, disagreementError = 0.3, 1.8
	// minComparable is the weight that the comparison needs.
	minComparable = 2
	// minCalibrating is the number of targets that tell the usual service time.
	minCalibrating = 3
	// minTotal is the number of responses that tell how targets count their load.
	minTotal = 20
	// minFigures and minTimes are the weights that figures and service times need to
	// tell a target's speed. Service times vary more between requests.
	minFigures, minTimes = 1.5, 12
	// minProbed is the weight of service times that keeps a target slow: about that of
	// the probes.
	minProbed = 1.5
	// recoveryFigures and recoveryTimes are the numbers of consecutive usual responses
	// after which the observations of a slow target are dropped.
	recoveryFigures, recoveryTimes = 4, 8
	// levelFigures and levelTimes are the weights that a load level needs to count for
	// the limit, and figureRise and timeRise the rise over lower levels that ends it.
	levelFigures, levelTimes = 5, 30
	figureRise, timeRise     = 1.35, 1.6
)

// Reason says what an estimate rests on.
type Reason uint8

// The reasons may be combined.
const (
	// ByFigures and ByTimes say whether the target's own figures or its service times
	// were used.
	ByFigures Reason = 1 << iota
	ByTimes
	// FiguresIgnored means that the figures contradict the service times.
	FiguresIgnored
	// Sudden means that the latest figures are much worse than those before.
	Sudden
)

// String returns the reason as shown to operators.
func (r Reason) String() string {
	text := "response times"
	if r&ByFigures != 0 {
		text = "own figures"
	}
	if r&FiguresIgnored != 0 {
		text += ", own figures contradict them"
	}
	if r&Sudden != 0 {
		text += ", sudden"
	}
	return text
}

// Estimate is what a target is thought to handle.
type Estimate struct {
	// Speed is the service time without load relative to the usual one: 1 is usual, 2
	// takes twice as long.
	Speed float64
	// Limit is the number of concurrent requests from which the target slows down, 0
	// if only its slots limit it.
	Limit int
	// Share is the share of its requests that the target should keep so that it stays
	// at its limit, from 0 to 1.
	Share  float64
	Reason Reason
}

// Usual is the estimate of a target about which nothing unusual is known.
var Usual = Estimate{Speed: 1, Share: 1}

// history holds the observations of one target.
type history struct {
	slots  int
	levels [numLevels]sums
	// recent holds the latest figures at low load, since at high load they also rise
	// where only the limit is low.
	recent sums
	at     time.Time
	// usualFigures and usualTimes count consecutive responses that were no slower than
	// usual.
	usualFigures, usualTimes float64
	estimate                 Estimate
	share                    shareControl
}

// Estimator turns the sums of all gateways into estimates. It is not safe for
// concurrent use.
type Estimator struct {
	targets map[Key]*history
	// usualTime and usualFigure are the medians over targets, as of calibratedAt.
	usualTime, usualFigure float64
	calibratedAt           time.Time
	// comparable means that enough targets told what is usual. Service times and figures
	// aren't compared before.
	comparable bool
	// own is 1 if the load that targets report leaves out the request that they answer,
	// and 0 if it counts it.
	own int
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{targets: make(map[Key]*history), usualTime: 1, usualFigure: 1, own: 1}
}

// add applies the sums of one load level of a target.
func (e *Estimator) add(p place, s sums, now time.Time) {
	h := e.targets[p.key]
	if h == nil {
		if len(e.targets) >= maxTargets {
			return
		}
		h = &history{at: now, estimate: Usual, share: newShareControl(now)}
		e.targets[p.key] = h
	}
	h.forget(now)
	h.slots = p.slots
	h.levels[p.level] = h.levels[p.level].plus(s)
	if lowestLoad(p.level, p.slots)+e.own <= max(p.slots/lowLoadDivisor, 1) {
		h.recent = h.recent.plus(s)
	}
	h.share.count(lowestLoad(p.level, p.slots)+e.own, h.estimate.Limit, s.count)
	h.countUsual(s, e)
	if h.estimate.Speed >= slowMargin && h.recovered() {
		h.levels, h.recent = [numLevels]sums{}, sums{}
		h.levels[p.level], h.recent = s, s
	}
}

// forget lowers the weights of the observations to now.
func (h *history) forget(now time.Time) {
	age := max(now.Sub(h.at), 0)
	if age == 0 {
		return
	}
	weight := math.Exp(-float64(age) / float64(forgetTime))
	for i := range h.levels {
		h.levels[i] = h.levels[i].times(weight)
	}
	h.recent = h.recent.times(math.Exp(-float64(age) / float64(recentTime)))
	h.at = now
}

// countUsual counts consecutive responses that were no slower than usual.
func (h *history) countUsual(s sums, e *Estimator) {
	if s.time > s.count*recoveredMargin*e.usualTime {
		h.usualTimes = 0
	} else {
		h.usualTimes += s.count
	}
	if s.figure > s.figures*recoveredMargin*e.usualFigure {
		h.usualFigures = 0
	} else {
		h.usualFigures += s.figures
	}
}

// recovered reports whether the target has answered as usual for long enough.
func (h *history) recovered() bool {
	if h.estimate.Reason&ByFigures != 0 {
		return h.usualFigures >= recoveryFigures && h.usualTimes > 0
	}
	return h.usualTimes >= recoveryTimes
}

// unloaded returns the sums of the levels at which no request waits.
func (h *history) unloaded(e *Estimator) sums {
	var out sums
	for level := range numLevels - 1 {
		if lowestLoad(level, h.slots)+e.own <= h.slots {
			out = out.plus(h.levels[level])
		}
	}
	return out
}

// Estimates returns the targets whose capacity differs from the usual by a margin,
// and forgets targets without reports.
func (e *Estimator) Estimates(now time.Time) map[Key]Estimate {
	e.calibrate(now)
	out := make(map[Key]Estimate)
	for key, h := range e.targets {
		if now.Sub(h.at) > targetTTL {
			delete(e.targets, key)
			continue
		}
		h.update(e, now)
		if h.estimate.Speed != 1 || h.estimate.Limit > 0 || h.estimate.Reason&FiguresIgnored != 0 {
			out[key] = h.estimate
		}
	}
	return out
}

// calibrate determines the usual service time and figure.
func (e *Estimator) calibrate(now time.Time) {
	if now.Sub(e.calibratedAt) < calibrateInterval {
		return
	}
	e.calibratedAt = now
	var times, figures []float64
	var idle, total float64
	for _, h := range e.targets {
		for level := range numLevels {
			total += h.levels[level].count
		}
		idle += h.levels[0].count
		s := h.unloaded(e)
		if s.count >= minTimes {
			times = append(times, s.time/s.count)
		}
		if s.figures >= minTimes {
			figures = append(figures, s.figure/s.figures)
		}
	}
	e.own = 1
	if total >= minTotal && idle < minIdleShare*total {
		e.own = 0
	}
	e.comparable = len(times) >= minCalibrating
	e.usualTime, e.usualFigure = medianOr(times, e.usualTime), medianOr(figures, e.usualFigure)
}

// medianOr returns the median, or a default if there are no values.
func medianOr(values []float64, otherwise float64) float64 {
	if len(values) == 0 {
		return otherwise
	}
	slices.Sort(values)
	return max(values[len(values)/2], MinFigure)
}

// update computes the estimate from the observations as of now.
func (h *history) update(e *Estimator, now time.Time) {
	weight := math.Exp(-float64(max(now.Sub(h.at), 0)) / float64(forgetTime))
	base := h.unloaded(e).times(weight)
	before := h.estimate
	next := Usual
	m := h.measureOf(base, e)
	next.Reason = m.reason
	if m.weight(base) >= m.minWeight {
		speed, limit := h.learn(m, weight, e.own)
		next.Limit = limit
		margin := slowMargin
		if before.Speed > 1 {
			margin = recoveredMargin
		}
		if speed >= margin {
			next.Speed = step(speed, before.Speed)
		}
	}
	recent := h.recent.times(math.Exp(-float64(max(now.Sub(h.at), 0)) / float64(recentTime)))
	if m.reason&ByFigures != 0 && recent.figures >= minRecent {
		if s := recent.figure / recent.figures / e.usualFigure; s >= suddenMargin && s > next.Speed {
			next.Speed = step(s, before.Speed)
			next.Reason |= Sudden
		}
	}
	h.estimate = next
	h.estimate.Share = h.share.update(next.Limit, now)
}

// step returns a speed rounded to a power of slowMargin, or the one before if the
// speed is within one step of it, so that small changes aren't sent.
func step(speed, before float64) float64 {
	if before >= recoveredMargin && speed < before*slowMargin && speed > before/slowMargin {
		return before
	}
	power := math.Round(math.Log(speed) / math.Log(slowMargin))
	return min(max(math.Pow(slowMargin, max(power, 1)), MinFigure), MaxFigure)
}
