package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// harmEffect is how long a harm may still delay a process after its end.
const harmEffect = 2 * time.Second

// process is a program that the soak starts and restarts. Its methods may be
// called concurrently.
type process struct {
	name, programPath, settingsPath, logPath string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current cmd has exited.
	exited  chan struct{}
	stopped bool
	// unexpected counts exits that the soak did not cause.
	unexpected int
	// exitExpected is set when the soak sends a signal that ends the process.
	exitExpected bool
	// stop is the last planned stop, and harmedAt when the process was last killed,
	// frozen or continued.
	stop     plannedStop
	harmedAt time.Time
	// startedAt is when the process was last started.
	startedAt time.Time
}

// plannedStop is the time from SIGTERM until the process had exited, zero if it hasn't.
type plannedStop struct{ began, ended time.Time }

// start starts the program. Its output is appended to the log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.programPath, "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopped, p.exitExpected = cmd, exited, false, false
	p.startedAt = time.Now()
	go func() {
		_ = cmd.Wait() // The log shows why it exited.
		_ = out.Close()
		p.mu.Lock()
		if p.cmd == cmd && !p.exitExpected {
			p.unexpected++
		}
		p.stop.ended = time.Now()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends s to the process, if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGTERM {
		p.stop = plannedStop{began: time.Now()}
	} else if s != syscall.SIGHUP {
		p.harmedAt = time.Now()
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.exitExpected = true
	}
	_ = p.cmd.Process.Signal(s) // Fails only if it has already exited.
}

// wait waits until the process has exited, and kills it after d.
func (p *process) wait(d time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(d):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// kill kills the process, also one that is stopped by SIGSTOP, and waits for its
// exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(time.Second)
}

// cutsByStop reports whether a request that was sent at a time and is cut now can only be
// cut by a planned stop: one was in progress meanwhile, and no harm since before.
func (p *process) cutsByStop(sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop.began.IsZero() || p.harmedAt.After(sent.Add(-harmEffect)) {
		return false
	}
	return p.stop.ended.IsZero() || p.stop.ended.After(sent)
}

// disturbedSince reports whether the soak has disturbed or stopped the process since a
// time.
func (p *process) disturbedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harmedAt.After(at) || p.stop.began.After(at)
}

func (p *process) unexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected
}

// wipeFolder removes everything in a control member's data folder, to simulate the
// loss of its disk.
func wipeFolder(dir string) error {
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		return err
	}
	for _, n := range names {
		if err := os.RemoveAll(n); err != nil {
			return err
		}
	}
	return nil
}
