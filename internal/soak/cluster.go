// Package soak runs the real programs as processes on loopback under load,
// disrupts the processes, their links and the targets in an order drawn from a
// seed, and checks the guarantees to callers, targets and operators meanwhile.
package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/internal/loopback"
)

// The size, ports and time bounds of a soak's cluster.
const (
	// controls is the number of control members, and replicas that of the targets of
	// each service.
	controls = 3
	replicas = 3
	// defaultGateways and defaultShards are the size unless Config says otherwise.
	defaultGateways = 3
	defaultShards   = 4
	// rpcPort is the port of a member's proxy. The member listens on rpcPort+1.
	rpcPort       = 17740
	controlPort   = 18224
	gatewayPort   = 18226
	readinessPort = 18227
	pagesPort     = 18228
	drainTime     = 3 * time.Second
	// gracePeriod is short, so that requests that take long are still running at its
	// end.
	gracePeriod = 3 * time.Second
	// quietBound is the time after a data centre is taken out from which its
	// targets must get no new work.
	quietBound = 5 * time.Second
	// applyBound is the time after an acknowledgement from which every member must
	// return the acknowledged version or a newer one.
	applyBound = 3 * time.Second
	// recoveryTimeout bounds the time until the cluster works again after a
	// disruption.
	recoveryTimeout = 12 * time.Second
	// memberMemoryMB and gatewayMemoryMB are the memory that processes may use, in MiB:
	// that of the smallest VMs to serve (docs/design/shared-limits.md).
	memberMemoryMB  = 280
	gatewayMemoryMB = 136
)

// Config configures a soak.
type Config struct {
	// Seed determines the disruptions and the requests.
	Seed uint64
	// Duration is how long disruptions are started.
	Duration time.Duration
	// Gateways is the number of gateways and Shards that of the services on the
	// fan-out route, 0 for a small cluster. With 8 and 26, gateways divide the requests
	// on that route among them.
	Gateways, Shards int
	// BinDir holds the built programs. Settings, data and logs go to WorkDir.
	BinDir, WorkDir string
	// Out receives a line for each disruption and violation.
	Out io.Writer
	// Plant makes the soak violate a guarantee on purpose, to test the checks:
	// "twice" records a request as run twice, "late" records a request at a target
	// after it was taken out, and "lost" makes the operator expect a version that
	// was never sent. Empty plants nothing.
	Plant string
}

// cluster is everything that a soak runs: control members, gateways, the proxies
// between them, stand-in targets and the target list.
type cluster struct {
	cfg        Config
	network    *loopback.Network
	ledger     *ledger
	list       *targetList
	gateways   []*process
	listServer *http.Server

	mu sync.Mutex
	// members are the control members by place, and replaced those whose place another
	// one has taken.
	members  []member
	replaced []*process
	// started are all targets that were ever started, inUse those in use by service, and
	// candidates those of a new version beside them.
	started, inUse, candidates []*standinTarget
}

func (c *cluster) memberIP(i int) string   { return c.ipOfMember(c.member(i).number) }
func (c *cluster) ipOfMember(n int) string { return c.network.IP(1, n+1) }
func (c *cluster) gatewayIP(i int) string  { return c.network.IP(2, i+1) }
func (c *cluster) targetIP(i int) string   { return c.network.IP(3+2*(i/250), 1+i%250) }
func (c *cluster) listIP() string          { return c.network.IP(4, 1) }

// dataCentreOf spreads VMs and targets over three data centres.
func dataCentreOf(i int) string { return [...]string{"dc-a", "dc-b", "dc-c"}[i%3] }

func newCluster(cfg Config) (*cluster, error) {
	network, err := loopback.Reserve(cfg.Seed)
	if err != nil {
		return nil, err
	}
	c := &cluster{cfg: cfg, network: network, ledger: newLedger(), list: &targetList{}}
	c.ledger.excused, c.ledger.restarted = c.mayMissNotice, c.restartedSince
	for _, build := range []func() error{c.startTargets, c.startList, c.startControl, c.startGateways} {
		if err := build(); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// serviceName returns the name of service i: one per shard, and the service of the
// routes to a single service as the last.
func (c *cluster) serviceName(i int) string {
	if i == c.cfg.Shards {
		return "single"
	}
	return fmt.Sprintf("shard%d", i)
}

// servicesOf returns the services of the route with a path.
func (c *cluster) servicesOf(path string) []string {
	if path != "/all/x" {
		return []string{c.serviceName(c.cfg.Shards)}
	}
	var out []string
	for i := range c.cfg.Shards {
		out = append(out, c.serviceName(i))
	}
	return out
}

func (c *cluster) startTargets() error {
	for i := range c.cfg.Shards + 1 {
		for j := range replicas {
			t, err := c.startTarget(fmt.Sprintf("t%d-%d", i, j), c.serviceName(i), dataCentreOf(j), "")
			if err != nil {
				return err
			}
			c.inUse = append(c.inUse, t)
		}
	}
	c.list.set(c.targetsInUse())
	return nil
}

func (c *cluster) startList() error {
	l, err := net.Listen("tcp", c.listIP()+":8229")
	if err != nil {
		return err
	}
	c.listServer = &http.Server{Handler: c.list, ReadHeaderTimeout: time.Second}
	go func() { _ = c.listServer.Serve(l) }() // close ends it.
	return nil
}

func (c *cluster) seeds() string {
	out := ""
	for i := range controls {
		if i > 0 {
			out += ","
		}
		out += fmt.Sprintf("%s:%d", c.memberIP(i), controlPort)
	}
	return out
}

const controlSettingsFormat = `[control]
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
memory_mb = %d
`

const gatewaySettingsFormat = `[gateway]
vm = gateway-%d
data_centre = %s
http = %s:%d
rpc = %s:%d
readiness = %s:%d
pages = %s:%d
control = %s
control_rpc_port = %d
grace = %s
memory_mb = %d
link_mbps = 1000

[extra arrivals]
ratio = %v
slack = %v
window = %v
`

// commonSections returns the settings that all processes have in common.
func (c *cluster) commonSections() string {
	return fmt.Sprintf("\n[target list]\naddress = %s:8229\nlag = %s\ndrain_time = %s\n"+
		"\n[rollouts]\nrollback_time = %s\n\n[quotas]\nwindow = %s\noverage = %v\nslack = %v\n",
		c.listIP(), listLag, drainTime, rollbackTime, quotaWindow, quotaOverage, quotaSlack)
}

func (c *cluster) path(kind string, i int, suffix string) string {
	return filepath.Join(c.cfg.WorkDir, fmt.Sprint(kind, "-", i, suffix))
}

func (c *cluster) startGateways() error {
	for i := range c.cfg.Gateways {
		if err := c.writeGatewaySettings(i); err != nil {
			return err
		}
		c.gateways = append(c.gateways, c.newProcess("peridotmux-gateway", "gateway", i))
	}
	return startAll(c.gateways)
}

func (c *cluster) writeGatewaySettings(i int) error {
	ip := c.gatewayIP(i)
	text := fmt.Sprintf(gatewaySettingsFormat, i, dataCentreOf(i), ip, gatewayPort, ip, rpcPort, ip, readinessPort, ip, pagesPort,
		c.seeds(), rpcPort, gracePeriod, gatewayMemoryMB, budgetRatio, budgetSlack, budgetWindow) + c.commonSections()
	return os.WriteFile(c.path("gateway", i, ".ini"), []byte(text), 0o600)
}

func (c *cluster) newProcess(name, kind string, i int) *process {
	return &process{
		name: fmt.Sprint(kind, "-", i), programPath: filepath.Join(c.cfg.BinDir, name),
		settingsPath: c.path(kind, i, ".ini"), logPath: c.path(kind, i, ".log"),
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

// close kills all processes that the soak started and closes the proxies, targets
// and target list.
func (c *cluster) close() {
	for _, p := range c.processes() {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, m := range c.members {
		if m.proxy != nil {
			m.proxy.close()
		}
	}
	for _, t := range c.startedTargets() {
		t.close()
	}
	if c.listServer != nil {
		_ = c.listServer.Close()
	}
	c.network.Close()
}
