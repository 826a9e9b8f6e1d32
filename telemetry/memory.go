package telemetry

import "runtime/debug"

// memoryShare is the part of a process's memory above which the runtime collects
// garbage without waiting for the heap to double.
const memoryShare = 0.6

// LimitMemory keeps the process well below the memory that it may use, in MiB.
func LimitMemory(mb int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
}
