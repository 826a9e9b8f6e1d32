package discovery

import "time"

// The list of targets is read this often, and by whoever has heard nothing for
// so long, as parts of the time within which a draining target must get no new
// work.
const (
	intervalShare = 0.42
	patienceShare = 0.75
	// memberPatienceShare is less than patienceShare, so that one member of control
	// reads before all routers do.
	memberPatienceShare = 0.55
)

// StartupWait is how long a router that has just started waits for the list of
// others before it reads for itself.
const StartupWait = 400 * time.Millisecond

// ReadInterval returns the time between two readings of the list of targets.
func ReadInterval(drain time.Duration) time.Duration {
	return time.Duration(intervalShare * float64(drain))
}

// MaxListAge returns the age of the list at which a process reads it itself.
func MaxListAge(drain time.Duration) time.Duration {
	return time.Duration(patienceShare * float64(drain))
}

// MemberMaxListAge returns the age of the list at which a member of control reads
// it although another one leads.
func MemberMaxListAge(drain time.Duration) time.Duration {
	return time.Duration(memberPatienceShare * float64(drain))
}
