package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one program that the soak started and starts again.
type process struct {
	name, program, settings, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// ends counts ends that the soak didn't ask for.
	ends   int
	wanted bool
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopped, p.wanted = cmd, exited, false, false
	go func() {
		_ = cmd.Wait() // How it ended shows in its log.
		_ = out.Close()
		p.mu.Lock()
		if p.cmd == cmd && !p.wanted {
			p.ends++
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = true
	}
	_ = p.cmd.Process.Signal(s) // One that has ended needs none.
}

// wait waits for the end of the process, and kills it after a while.
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

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(time.Second)
}

func (p *process) unwantedEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// wipe removes a control member's data, as a lost disk does.
func wipe(dir string) error {
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
