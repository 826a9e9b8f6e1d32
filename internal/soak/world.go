// Package soak runs the real programs as processes on loopback, harms them and
// what is between them by a seed, and checks what callers, targets and operators
// were promised while it does.
package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// The sizes and bounds of a soak's world.
const (
	controls = 3
	gateways = 3
	shards   = 4
	replicas = 3
	// rpcPort is where members are reached, over a proxy; they listen one above.
	rpcPort      = 17740
	controlPort  = 18224
	frontPort    = 18226
	readyPort    = 18227
	pagesPort    = 18228
	graceTime    = 6 * time.Second
	drainTime    = 3 * time.Second
	quietTime    = 5 * time.Second
	applyTime    = 3 * time.Second
	recoveryTime = 12 * time.Second
)

// Config says how to soak.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// BinDir holds the built programs, WorkDir all that they write.
	BinDir, WorkDir string
	Out             io.Writer
	// Plant lets the stand-ins break a promise on purpose: "twice" runs a request
	// again, "late" lets a target count work after it was taken out, "lost" lets
	// the operator expect a change that was never sent.
	Plant string
}

// world is all that runs.
type world struct {
	cfg     Config
	ledger  *ledger
	list    *list
	targets []*standTarget
	control []*process
	fronts  []*process
	links   []*proxy
	listAt  *http.Server
}

// net is the second byte of the world's addresses, so that soaks beside each
// other don't meet.
func (c *Config) net() int { return 1 + int(c.Seed%200) } //nolint:gosec // Below 200.

func (c *Config) controlIP(i int) string { return fmt.Sprintf("127.%d.1.%d", c.net(), i+1) }
func (c *Config) frontIP(i int) string   { return fmt.Sprintf("127.%d.2.%d", c.net(), i+1) }
func (c *Config) listIP() string         { return fmt.Sprintf("127.%d.4.1", c.net()) }

// dcOf deals VMs and targets to three data centres.
func dcOf(i int) string { return [...]string{"dc-a", "dc-b", "dc-c"}[i%3] }

func newWorld(c Config) (*world, error) {
	w := &world{cfg: c, ledger: newLedger(), list: &list{}}
	for _, build := range []func() error{w.startTargets, w.startList, w.startControl, w.startFronts} {
		if err := build(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func serviceName(i int) string {
	if i == shards {
		return "single"
	}
	return fmt.Sprintf("shard%d", i)
}

func (w *world) startTargets() error {
	for i := range shards + 1 {
		for j := range replicas {
			addr := fmt.Sprintf("127.%d.3.%d:8080", w.cfg.net(), i*replicas+j+1)
			t, err := startTarget(w.ledger, fmt.Sprintf("t%d-%d", i, j), serviceName(i), dcOf(j), addr)
			if err != nil {
				return err
			}
			w.targets = append(w.targets, t)
		}
	}
	w.list.targets = w.targets
	return nil
}

func (w *world) startList() error {
	l, err := net.Listen("tcp", w.cfg.listIP()+":8229")
	if err != nil {
		return err
	}
	w.listAt = &http.Server{Handler: w.list, ReadHeaderTimeout: time.Second}
	go func() { _ = w.listAt.Serve(l) }() // It ends with the world.
	return nil
}

func (w *world) seeds() string {
	out := ""
	for i := range controls {
		if i > 0 {
			out += ","
		}
		out += fmt.Sprintf("%s:%d", w.cfg.controlIP(i), controlPort)
	}
	return out
}

const controlFile = `[control]
vm = control-%d
data_centre = %s
region = soak
http = %s:%d
rpc = %s:%d
rpc_listen = %s:%d
control = %s
control_rpc_port = %d
first_start = %v
data_folder = %s
memory_mb = 280
`

const frontFile = `[gateway]
vm = gateway-%d
data_centre = %s
http = %s:%d
rpc = %s:%d
readiness = %s:%d
pages = %s:%d
control = %s
control_rpc_port = %d
grace = %s
memory_mb = 284
link_mbps = 1000

[extra arrivals]
ratio = 0.2
slack = 56
window = 10s
`

func (w *world) listSection() string {
	return fmt.Sprintf("\n[target list]\naddress = %s:8229\nlag = %s\ndrain_time = %s\n", w.cfg.listIP(), lagTime, drainTime)
}

// controlSettings writes a member's settings.
func (w *world) controlSettings(i int, first bool) error {
	ip := w.cfg.controlIP(i)
	text := fmt.Sprintf(controlFile, i, dcOf(i), ip, controlPort, ip, rpcPort, ip, rpcPort+1,
		w.seeds(), rpcPort, first, w.dataDir(i)) + w.listSection()
	return os.WriteFile(w.path("control", i, ".ini"), []byte(text), 0o600)
}

func (w *world) path(kind string, i int, suffix string) string {
	return filepath.Join(w.cfg.WorkDir, fmt.Sprint(kind, "-", i, suffix))
}

func (w *world) dataDir(i int) string { return w.path("data", i, "") }

func (w *world) startControl() error {
	for i := range controls {
		ip := w.cfg.controlIP(i)
		p, err := newProxy(fmt.Sprintf("%s:%d", ip, rpcPort), fmt.Sprintf("%s:%d", ip, rpcPort+1))
		if err != nil {
			return err
		}
		w.links = append(w.links, p)
		if err := os.MkdirAll(w.dataDir(i), 0o700); err != nil {
			return err
		}
		if err := w.controlSettings(i, true); err != nil {
			return err
		}
		w.control = append(w.control, w.program("peridotmux-gateway-control", "control", i))
	}
	return startAll(w.control)
}

func (w *world) startFronts() error {
	for i := range gateways {
		ip := w.cfg.frontIP(i)
		text := fmt.Sprintf(frontFile, i, dcOf(i), ip, frontPort, ip, rpcPort, ip, readyPort, ip, pagesPort,
			w.seeds(), rpcPort, graceTime) + w.listSection()
		if err := os.WriteFile(w.path("gateway", i, ".ini"), []byte(text), 0o600); err != nil {
			return err
		}
		w.fronts = append(w.fronts, w.program("peridotmux-gateway", "gateway", i))
	}
	return startAll(w.fronts)
}

func (w *world) program(name, kind string, i int) *process {
	return &process{
		name: fmt.Sprint(kind, "-", i), program: filepath.Join(w.cfg.BinDir, name),
		settings: w.path(kind, i, ".ini"), log: w.path(kind, i, ".log"),
	}
}

func startAll(ps []*process) error {
	for _, p := range ps {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the soak started, by their ids.
func (w *world) close() {
	for _, p := range append(w.control, w.fronts...) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, p := range w.links {
		p.close()
	}
	for _, t := range w.targets {
		t.close()
	}
	if w.listAt != nil {
		_ = w.listAt.Close()
	}
}
