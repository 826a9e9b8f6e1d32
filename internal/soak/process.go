package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

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
}

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
	go func() {
		_ = cmd.Wait() // The log shows why it exited.
		_ = out.Close()
		p.mu.Lock()
		if p.cmd == cmd && !p.exitExpected {
			p.unexpected++
		}
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
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
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
