package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns the total time that the VM was suspended since it started, 0
// if the system doesn't tell.
func suspendedTime() time.Duration {
	var steady, sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil {
		return 0
	}
	return time.Duration(sinceBoot.Nano() - steady.Nano())
}
