package discovery

import "time"

// The list of targets is read this often, and by whoever has heard nothing for
// so long, as parts of the time within which a draining target must get no new
// work.
const (
	intervalShare = 0.33
	patienceShare = 0.7
)

// Interval returns the time between two readings of the list of targets.
func Interval(drain time.Duration) time.Duration {
	return time.Duration(intervalShare * float64(drain))
}

// Patience returns the age of the list at which a process reads it itself.
func Patience(drain time.Duration) time.Duration {
	return time.Duration(patienceShare * float64(drain))
}
