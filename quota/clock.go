package quota

import (
	"math"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the VM started, with the time during which it was
// suspended. If it can't be read, all credits count as expired.
func bootTime() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64
	}
	return Instant(t.Nano())
}
