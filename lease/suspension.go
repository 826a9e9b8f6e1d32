package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadGap is how far two readings of the steady clock around one of the other
	// clock may lie apart. A process that is delayed in between would take the delay
	// for a suspension.
	maxReadGap = time.Millisecond
	// readAttempts is the number of attempts to read the clocks close enough together.
	readAttempts = 5
)

// suspendedTime returns the total time that the VM was suspended since it started. It
// returns false if the clocks couldn't be read close enough together.
func suspendedTime() (time.Duration, bool) { return suspendedBy(readClock) }

// suspendedBy is suspendedTime with the given function to read a clock.
func suspendedBy(read func(clock int32) (time.Duration, bool)) (time.Duration, bool) {
	for range readAttempts {
		before, ok1 := read(unix.CLOCK_MONOTONIC)
		sinceBoot, ok2 := read(unix.CLOCK_BOOTTIME)
		after, ok3 := read(unix.CLOCK_MONOTONIC)
		if !ok1 || !ok2 || !ok3 {
			return 0, false
		}
		if after-before <= maxReadGap {
			return sinceBoot - after, true
		}
	}
	return 0, false
}

func readClock(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
