package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one of the project's programs.
type process struct {
	name, program, settings, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program with the command of the deploy file, but for the path of the
// settings.
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
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that was started last.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// ports are the ports that all VMs use.
type ports struct{ http, rpc, readiness, pages, list, target int }

// network hands out loopback addresses.
type network struct {
	second, third int
	ports         ports
}

// newNetwork chooses addresses and ports that are free.
func newNetwork() (*network, error) {
	n := &network{second: 64 + os.Getpid()%128, third: os.Getpid() / 128 % 250}
	for _, port := range []*int{&n.ports.http, &n.ports.rpc, &n.ports.readiness, &n.ports.pages, &n.ports.list, &n.ports.target} {
		p, err := n.freePort()
		if err != nil {
			return nil, err
		}
		*port = p
	}
	return n, nil
}

// freePort returns a port that is free on all addresses that may be used.
func (n *network) freePort() (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", n.ip(1)+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if n.isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// isFree reports whether a port is free on all addresses.
func (n *network) isFree(port int) bool {
	for i := firstMember; i < lastPlace; i++ {
		l, err := net.Listen("tcp", n.addr(i, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (n *network) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, i) }

func (n *network) addr(i, port int) string { return fmt.Sprintf("%s:%d", n.ip(i), port) }

// The places of addresses.
const (
	firstMember  = 11
	firstGateway = 31
	listPlace    = 51
	firstTarget  = 61
	lastPlace    = 100
)

// zones are the data centres of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// maxListLag is how far the list may lag behind, by the settings.
const (
	maxListLag = 800 * time.Millisecond
	drainTime  = 3 * time.Second
)

// cluster is the system with its stand-ins.
type cluster struct {
	net      *network
	dir, bin string
	members  []*process
	gateways []*process
	platform *platform
}

// settings are the parts of a settings file that follow from the templates of the deploy
// file and the bounds of a small deployment.
func (c *cluster) seeds() string {
	out := ""
	for i := range 3 {
		if i > 0 {
			out += ","
		}
		out += c.net.addr(firstMember+i, c.net.ports.http)
	}
	return out
}

func (c *cluster) listSection() string {
	return fmt.Sprintf("\n[target list]\naddress = %s\nlag = %dms\ndrain_time = %dms\n\n[log]\nformat = json\nlevel = info\n",
		c.net.addr(listPlace, c.net.ports.list), maxListLag.Milliseconds(), drainTime.Milliseconds())
}

func (c *cluster) addMember(i int) error {
	folder := filepath.Join(c.dir, fmt.Sprint("member-", i))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	at := firstMember + i
	text := fmt.Sprintf("[control]\nvm = core-%d\ndata_centre = %s\nregion = here\nhttp = %s\nrpc = %s\ncontrol = %s\ncontrol_rpc_port = %d\nfirst_start = true\ndata_folder = %s\nmemory_mb = 280\nmax_fds = 4096\ntolerated_losses = 1\n",
		i, zones[i%len(zones)], c.net.addr(at, c.net.ports.http), c.net.addr(at, c.net.ports.rpc), c.seeds(), c.net.ports.rpc, folder) + c.listSection()
	p, err := c.newProcess("peridotmux-gateway-control", fmt.Sprint("core-", i), text)
	if err == nil {
		c.members = append(c.members, p)
	}
	return err
}

func (c *cluster) addGateway(i int) error {
	at := firstGateway + i
	text := fmt.Sprintf("[gateway]\nvm = frontend-%d\ndata_centre = %s\nhttp = %s\nrpc = %s\nreadiness = %s\npages = %s\ncontrol = %s\ncontrol_rpc_port = %d\ngrace = 6s\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000\n\n[extra arrivals]\nratio = 0.2\nslack = 52\nwindow = 10s\n",
		i, zones[i%len(zones)], c.net.addr(at, c.net.ports.http), c.net.addr(at, c.net.ports.rpc), c.net.addr(at, c.net.ports.readiness),
		c.net.addr(at, c.net.ports.pages), c.seeds(), c.net.ports.rpc) + c.listSection()
	p, err := c.newProcess("peridotmux-gateway", fmt.Sprint("frontend-", i), text)
	if err == nil {
		c.gateways = append(c.gateways, p)
	}
	return err
}

func (c *cluster) newProcess(program, name, settings string) (*process, error) {
	path := filepath.Join(c.dir, name+".ini")
	p := &process{name: name, program: filepath.Join(c.bin, program), settings: path, log: filepath.Join(c.dir, name+".log")}
	return p, os.WriteFile(path, []byte(settings), 0o600)
}

// start starts all processes of a new deployment.
func (c *cluster) start(gateways int) error {
	for i := range 3 {
		if err := c.addMember(i); err != nil {
			return err
		}
	}
	for i := range gateways {
		if err := c.addGateway(i); err != nil {
			return err
		}
	}
	for _, p := range c.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) all() []*process {
	return append(append([]*process(nil), c.members...), c.gateways...)
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, p := range c.all() {
		p.kill()
	}
}
