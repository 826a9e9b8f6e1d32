package route

import "math"

// goldenFraction spreads successive turns evenly over a split.
var goldenFraction = math.Phi - 1

// Pick returns the service of the turn-th request of a split. Successive turns
// keep to the weights closely, also over few requests.
func Pick(split []WeightedService, turn uint64) ServiceName {
	if len(split) == 1 {
		return split[0].Service
	}
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	_, at := math.Modf(float64(turn) * goldenFraction)
	at *= sum
	last := split[0].Service
	for _, s := range split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if at < s.Weight {
			return last
		}
		at -= s.Weight
	}
	return last
}
