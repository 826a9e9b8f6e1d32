package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	pagesPort    = 9464
)

// lab holds the processes and stand-ins of one case.
type lab struct {
	repository string
	dir        string
	trouble    bool
	start      time.Time
	platform   *platform
	gateways   []*process
	control    []*process

	controlPort, rpcPort, frontPort, readyPort int

	mu     sync.Mutex
	record *os.File
	onEnd  []func()
}

// process is one of the project's programs. It has a loopback address of its own.
type process struct {
	name, ip, zone string
	command        []string
	log            string
	cmd            *exec.Cmd
	done           chan struct{}
}

func newLab(repository, record string, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{repository: repository, dir: dir, trouble: trouble, start: time.Now(), record: f}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	l.controlPort, l.rpcPort, l.frontPort, l.readyPort = ports[0], ports[1], ports[2], ports[3]
	l.note("trouble: %v", trouble)
	return l, nil
}

// closeOnSignal ends everything that was started if this process is told to stop.
func (l *lab) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.note("stopped by a signal")
		l.close()
		os.Exit(exitFailed)
	}()
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.4f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// freePorts returns ports that are free on loopback.
func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (l *lab) close() {
	for _, p := range append(l.gateways, l.control...) {
		p.kill()
	}
	for _, f := range l.onEnd {
		f()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
}

// run starts the process.
func (p *process) run() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func controlIP(i int) string { return fmt.Sprintf("127.77.1.%d", i+1) }

func gatewayIP(i int) string { return fmt.Sprintf("127.77.2.%d", i+1) }

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// seeds returns the addresses of three control members.
func (l *lab) seeds() string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("%s:%d", controlIP(i), l.controlPort))
	}
	return strings.Join(out, ",")
}

// startAll starts the platform, three control members and some gateways, sends the
// first configuration and waits until all gateways are ready.
func (l *lab) startAll(gateways int, config *config, list *platform) error {
	l.platform = list
	if err := list.serve(l); err != nil {
		return err
	}
	for i := range 3 {
		if err := l.startControl(i); err != nil {
			return err
		}
	}
	for i := range gateways {
		if err := l.startGateway(i); err != nil {
			return err
		}
	}
	if err := l.putConfig(config); err != nil {
		return err
	}
	return l.waitReady()
}

func (l *lab) startControl(i int) error {
	ip := controlIP(i)
	data := filepath.Join(l.dir, "data-"+ip)
	if err := os.Mkdir(data, 0o700); err != nil {
		return err
	}
	p := &process{name: "core-" + fmt.Sprint(i+1), ip: ip, zone: zoneName(i)}
	text := fmt.Sprintf(`[control]
vm = %s
data_centre = %s
region = region-1
http = %s:%d
rpc = %s:%d
control = %s
control_rpc_port = %d
first_start = true
data_folder = %s
memory_mb = 280

[target list]
address = %s
lag = 800ms
drain_time = 3000ms

[log]
format = json
level = info
`, p.name, p.zone, ip, l.controlPort, ip, l.rpcPort, l.seeds(), l.rpcPort, data, l.platform.addr)
	l.control = append(l.control, p)
	return l.launch(p, "peridotmux-gateway-control", text)
}

func (l *lab) startGateway(i int) error {
	ip := gatewayIP(i)
	p := &process{name: "frontend-" + fmt.Sprint(i+1), ip: ip, zone: zoneName(i)}
	text := fmt.Sprintf(`[gateway]
vm = %s
data_centre = %s
http = %s:%d
rpc = %s:%d
readiness = %s:%d
pages = %s:%d
control = %s
control_rpc_port = %d
grace = 6s
memory_mb = 284
link_mbps = 1000

[extra arrivals]
ratio = 0.2
slack = 56
window = 10s

[target list]
address = %s
lag = 800ms
drain_time = 3000ms

[log]
format = json
level = info
`, p.name, p.zone, ip, l.frontPort, ip, l.rpcPort, ip, l.readyPort, ip, pagesPort, l.seeds(), l.rpcPort, l.platform.addr)
	l.gateways = append(l.gateways, p)
	return l.launch(p, "peridotmux-gateway", text)
}

// launch writes the settings and starts a program as the deploy file does.
func (l *lab) launch(p *process, program, settings string) error {
	path := filepath.Join(l.dir, p.name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p.command = []string{filepath.Join(l.repository, "target/bin", program), "--settings", path}
	p.log = filepath.Join(l.dir, p.name+".log")
	l.note("starts %s at %s", p.name, p.ip)
	return p.run()
}

// putConfig sends a configuration until a member acknowledges it.
func (l *lab) putConfig(c *config) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, p := range l.control {
			req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/peridotmux/config", p.ip, l.controlPort), bytes.NewReader(body))
			if err != nil {
				return err
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				l.note("configuration %d acknowledged by %s", c.Version, p.name)
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

// waitReady waits until every gateway is ready.
func (l *lab) waitReady() error {
	for _, p := range l.gateways {
		if !l.becomesReady(p) {
			return errors.New(p.name + " is not ready")
		}
	}
	l.note("all gateways are ready")
	return nil
}

func (l *lab) becomesReady(p *process) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/peridotmux/ready", p.ip, l.readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
