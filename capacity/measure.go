package capacity

import "math"

// measure is the way in which a target's observations are read: by its own figures
// or by its service times.
type measure struct {
	reason Reason
	// usual is the usual value, minWeight the weight that tells the speed, and
	// levelWeight and rise those of a load level.
	usual, minWeight, levelWeight, rise float64
}

// measureOf chooses the measure of a target. Its figures are used unless they
// contradict its service times; once they did, until they agree. Service times tell nothing before it is known what is
// usual.
func (h *history) measureOf(s sums, e *Estimator) measure {
	byTimes := measure{reason: ByTimes, usual: e.usualTime, minWeight: minTimes, levelWeight: levelTimes, rise: timeRise}
	if !e.comparable {
		byTimes.minWeight = math.Inf(1)
	}
	if h.estimate.Speed > 1 && e.comparable {
		byTimes.minWeight = minProbed
	}
	if s.figures < minFigures {
		return byTimes
	}
	times, figures := s.time/max(s.count, 1e-9)/e.usualTime, s.figure/s.figures/e.usualFigure
	ignored := h.estimate.Reason&FiguresIgnored != 0
	if s.count >= minComparable && e.comparable {
		tolerated := maxDisagreement
		if !ignored {
			tolerated += disagreementError / math.Sqrt(s.count)
		}
		ignored = math.Abs(math.Log(max(times, MinFigure)/max(figures, MinFigure))) > tolerated
	}
	if ignored {
		byTimes.reason |= FiguresIgnored
		return byTimes
	}
	return measure{reason: ByFigures, usual: e.usualFigure, minWeight: minFigures, levelWeight: levelFigures, rise: figureRise}
}

// weight returns the weight of the values in sums.
func (m *measure) weight(s sums) float64 {
	if m.reason&ByFigures != 0 {
		return s.figures
	}
	return s.count
}

// mean returns the mean relative to the usual value. The weight must not be 0.
func (m *measure) mean(s sums) float64 {
	if m.reason&ByFigures != 0 {
		return s.figure / s.figures / m.usual
	}
	return s.time / s.count / m.usual
}

// learn returns a target's speed and limit. The speed is that of the lowest load
// levels, so that a target isn't thought slow because it has much to do. The limit
// ends below the first level that is slower than the lower ones by m.rise. own is 1 if reported loads leave out the answered request. Levels
// that weren't observed lately count as usual, so a limit rises again once the load
// stays below it.
func (h *history) learn(m measure, weight float64, own int) (speed float64, limit int) {
	var base sums
	for level := range numLevels - 1 {
		s := h.levels[level].times(weight)
		load := lowestLoad(level, h.slots) + own
		if load > h.slots {
			break
		}
		if m.weight(base) < m.levelWeight {
			base = base.plus(s)
			continue
		}
		if m.weight(s) >= m.levelWeight && m.mean(s) > m.rise*m.mean(base) {
			return m.mean(base), max(load-1, 1)
		}
		if m.weight(s) > 0 && m.mean(s) <= m.rise*m.mean(base) {
			base = base.plus(s)
		}
	}
	return m.mean(base), 0
}
