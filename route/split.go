package route

import "math"

// goldenFraction is the fractional part of the golden ratio. The fractional parts
// of its multiples are spread evenly over 0 to 1.
var goldenFraction = math.Phi - 1

// Pick returns the service for a request of a route's split, given the request's
// sequence number. Consecutive numbers follow the weights closely, even over few
// requests. At least one weight must be above 0.
func Pick(split []WeightedService, sequence uint64) ServiceName {
	if len(split) == 1 {
		return split[0].Service
	}
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	_, at := math.Modf(float64(sequence) * goldenFraction)
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
