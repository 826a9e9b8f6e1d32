package soak

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
)

// memorySampling is the time between two looks at the memory of all processes.
const memorySampling = 500 * time.Millisecond

// watchMemory checks until ctx ends that no process uses more memory than its settings
// allow. Each process is reported once.
func (r *runner) watchMemory(ctx context.Context) {
	reported := map[string]bool{}
	for ctx.Err() == nil {
		for _, p := range r.cluster.processes() {
			limit := memberMemoryMB
			if strings.HasPrefix(p.name, "gateway") {
				limit = gatewayMemoryMB
			}
			used := p.memoryMB()
			r.mostMemoryMB = max(r.mostMemoryMB, used)
			if used > limit && !reported[p.name] {
				reported[p.name] = true
				r.cluster.ledger.addViolation("%s uses %d MiB of memory, %d allowed", p.name, used, limit)
			}
		}
		wait.For(ctx, memorySampling)
	}
}

// memoryMB returns the physical memory of the running process in MiB, 0 if it has ended.
func (p *process) memoryMB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kib := 0
	_, _ = fmt.Sscan(rest, &kib) // No number leaves 0.
	return kib >> 10
}
