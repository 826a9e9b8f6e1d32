package telemetry

import "runtime/debug"

// softLimitShare is the fraction of a process's memory above which the runtime
// collects garbage without waiting for the heap to double.
const softLimitShare = 0.6

// LimitMemory sets the runtime's soft memory limit well below mb, the memory in
// MiB that the process may use.
func LimitMemory(mb int) {
	debug.SetMemoryLimit(int64(softLimitShare * float64(mb) * (1 << 20)))
}
