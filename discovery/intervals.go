package discovery

import "time"

// Intervals as fractions of the drain time, within which a draining target must
// stop receiving new work.
const (
	// readIntervalShare determines the time between two reads of the list.
	readIntervalShare = 0.42
	// maxListAgeShare determines the age of the list at which a process that receives
	// no updates reads the list itself.
	maxListAgeShare = 0.75
	// memberMaxListAgeShare is less than maxListAgeShare, so that one control member
	// reads the list before all routers do.
	memberMaxListAgeShare = 0.55
	// minDrainTime is the drain time that the intervals assume at least, so that a
	// short one doesn't cause a call to the platform at each poll.
	minDrainTime = time.Second
)

// StartupWait is how long a router that has just started waits for an update from
// another process before it reads the list itself.
const StartupWait = 400 * time.Millisecond

// ReadInterval returns the time between two reads of the list of targets, given
// the time within which a draining target must stop receiving new work.
func ReadInterval(drain time.Duration) time.Duration { return fractionOf(drain, readIntervalShare) }

// MaxListAge returns the age of the list at which a process reads it itself, given
// the drain time as in ReadInterval.
func MaxListAge(drain time.Duration) time.Duration { return fractionOf(drain, maxListAgeShare) }

// MemberMaxListAge returns the age of the list at which a control member reads it
// although another member is the leader, given the drain time as in ReadInterval.
func MemberMaxListAge(drain time.Duration) time.Duration {
	return fractionOf(drain, memberMaxListAgeShare)
}

// fractionOf returns a share of the drain time, or of minDrainTime if that is longer.
func fractionOf(drain time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(max(drain, minDrainTime)))
}
