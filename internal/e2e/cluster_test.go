package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
	"github.com/peridotmux/peridotmux/internal/loopback"
)

const (
	members  = 3
	routers  = 3
	shards   = 4
	replicas = 3
	// startTimeout bounds the time until the processes serve.
	startTimeout = 30 * time.Second
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// programDir is the folder of the built programs.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "peridotmux-e2e-")
	if err != nil {
		panic(err)
	}
	programDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one started program.
type process struct {
	// args are the process's name, its program and the program's arguments.
	args     []string
	cmd      *exec.Cmd
	httpAddr string // the address of its HTTP server, "" if unused
	// exited is closed when the process has exited and err is set.
	exited chan struct{}
	err    error
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wait returns the process's exit error. It fails the test if the process has not
// exited after timeout.
func (p *process) wait(t *testing.T, timeout time.Duration) error {
	t.Helper()
	select {
	case <-p.exited:
		return p.err
	case <-time.After(timeout):
		t.Fatal("the process did not exit in time")
		return nil
	}
}

// cluster is a set of processes: one for all stand-in targets, the control members
// and the routers.
type cluster struct {
	dir string
	// ledgerAddr is where the stand-in targets serve their ledgers.
	ledgerAddr string
	members    []*process
	routers    []*process
	client     *adminclient.Client
	network    *network
	// rpcAddrs and httpAddrs are the addresses of the control members.
	rpcAddrs  []string
	httpAddrs []string
}

const (
	// firstPort and lastPort bound the ports of the processes. They lie below the
	// ephemeral range: an outgoing connection may take any port of that range at
	// any time.
	firstPort = 12000
	lastPort  = 28000
)

// testNetwork returns the loopback network that this test process holds until it ends.
var testNetwork = sync.OnceValues(func() (*loopback.Network, error) {
	return loopback.Reserve(uint64(os.Getpid())) //nolint:gosec // Not negative.
})

// nextPort is the port to try next.
var nextPort = firstPort

// freeAddrs returns n loopback addresses with no listener.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	ips, err := testNetwork()
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for attempt := 0; len(out) < n; attempt++ {
		if attempt > lastPort-firstPort {
			t.Fatal("no free ports")
		}
		addr := fmt.Sprintf("%s:%d", ips.IP(0, 2), nextPort)
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			out = append(out, addr)
		}
	}
	return out
}

// start starts the program args[0] with the remaining arguments and kills it at
// the end of the test. Its output goes to a log file, whose end is printed if the
// test fails.
func (c *cluster) start(t *testing.T, name, httpAddr string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		args:     append([]string{name}, args...),
		cmd:      exec.Command(filepath.Join(programDir, args[0]), args[1:]...),
		httpAddr: httpAddr, exited: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("%s exited with %v; end of its log %s", name, p.cmd.ProcessState, logTail(log.Name()))
		}
	})
	return p
}

// restart starts a process that has exited again with the same settings.
func (c *cluster) restart(t *testing.T, p *process) *process {
	t.Helper()
	return c.start(t, p.args[0], p.httpAddr, p.args[1:]...)
}

func logTail(path string) string {
	data, _ := os.ReadFile(path)
	const maxBytes = 1500
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return path + ":\n" + string(data)
}

func (c *cluster) writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startCluster starts a cluster and waits until every router returns complete
// answers. The first deployment lacks the last shard and one replica, which
// repartitioned.ini adds.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{dir: t.TempDir(), network: newNetwork()}
	addrs := freeAddrs(t, (shards+1)*replicas)
	c.writeFile(t, "deployment.ini", deploymentText(addrs, shards, replicas-1))
	repartitioned := c.writeFile(t, "repartitioned.ini", deploymentText(addrs, shards+1, replicas))
	c.ledgerAddr = freeAddrs(t, 1)[0]
	c.start(t, "targets", "", "peridotmux-bench", "standin", "--deployment", repartitioned, "--ledger", c.ledgerAddr)
	rpcAddrs, httpAddrs := freeAddrs(t, members), freeAddrs(t, members)
	for i := range members {
		file := c.writeFile(t, fmt.Sprintf("control-%d.ini", i+1), c.controlSettings(t, i, rpcAddrs, httpAddrs))
		c.members = append(c.members, c.start(t, "control", httpAddrs[i], "peridotmux-control", "--settings", file))
	}
	c.rpcAddrs, c.httpAddrs = rpcAddrs, httpAddrs
	c.client = adminclient.New(httpAddrs)
	routerRPC, routerHTTP := freeAddrs(t, routers), freeAddrs(t, routers)
	for i := range routers {
		file := c.writeFile(t, fmt.Sprintf("router-%d.ini", i+1), c.routerSettings(t, i, routerRPC[i], routerHTTP[i], rpcAddrs))
		c.routers = append(c.routers, c.start(t, "router", routerHTTP[i], "peridotmux-router", "--settings", file))
	}
	eventually(t, startTimeout, "every router returns complete answers", func() bool {
		for _, r := range c.routers {
			if a, _, err := sendQuery(r.httpAddr, &api.Query{Kind: "search"}); err != nil || a == nil || !a.Complete {
				return false
			}
		}
		return true
	})
	return c
}

// deploymentText returns a deployment with the given number of shards. The first
// shard has firstReplicas replicas, the others have replicas.
func deploymentText(addrs []string, shards, firstReplicas int) string {
	var b strings.Builder
	b.WriteString("[deployment]\nname = e2e\nregion = one\ndata_centres = dc-a, dc-b, dc-c\nhedge_budget = 0.02\nretry_budget = 0.02\n")
	b.WriteString("[group g]\nslots = 3\nconnections = 30\nconnect_cost = 1ms\ncold_limit = 1\nwarm_after = 2s\n")
	b.WriteString("[kind search]\nweight = 1\npolicy = coverage\nmin_coverage = 0.5\ndeadline = 1s\nidempotent = yes\n")
	b.WriteString("[kind order]\nweight = 1\npolicy = coverage\nmin_coverage = 1\ndeadline = 2s\nidempotent = no\n")
	for s := range shards {
		var list []string
		for r := range replicas {
			if s == 0 && r >= firstReplicas {
				break
			}
			list = append(list, dataCentres[(s+r)%len(dataCentres)]+" "+addrs[s*replicas+r])
		}
		fmt.Fprintf(&b, "[shard g/%02d]\nreplicas = %s\n", s, strings.Join(list, ", "))
	}
	return b.String()
}

// controlSettings returns the settings of control member i, which reaches the
// others through proxies.
func (c *cluster) controlSettings(t *testing.T, i int, rpcAddrs, httpAddrs []string) string {
	t.Helper()
	dataFolder := filepath.Join(c.dir, fmt.Sprintf("state-%d", i+1))
	if err := os.Mkdir(dataFolder, 0o700); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nvm = state-%d\nregion = one\ndata_centre = %s\nmember = %d\nrpc = %s\nhttp = %s\n",
		i+1, dataCentres[i], i+1, rpcAddrs[i], httpAddrs[i])
	fmt.Fprintf(&b, "data_folder = %s\nbootstrap = yes\ndeployment = deployment.ini\n", dataFolder)
	for m := range members {
		addr := rpcAddrs[m]
		if m != i {
			addr = c.network.proxyAddr(t, controlName(i), controlName(m), addr)
		}
		fmt.Fprintf(&b, "[member %d]\nname = state-%d\nrpc = %s\nhttp = %s\n", m+1, m+1, addr, httpAddrs[m])
	}
	return b.String()
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

func routerName(i int) string { return fmt.Sprintf("router-%d", i+1) }

// routerSettings returns the settings of router i, which reaches the control
// members through proxies.
func (c *cluster) routerSettings(t *testing.T, i int, rpcAddr, httpAddr string, controlAddrs []string) string {
	t.Helper()
	var control []string
	for m, addr := range controlAddrs {
		control = append(control, c.network.proxyAddr(t, routerName(i), controlName(m), addr))
	}
	return fmt.Sprintf("[router]\nvm = entry-%d\nregion = one\ndata_centre = %s\nhttp = %s\nrpc = %s\ncontrol = %s\nbalancer_lag = 1s\n",
		i+1, dataCentres[i], httpAddr, rpcAddr, strings.Join(control, ", "))
}

// eventually polls done until it returns true, and fails the test after timeout.
func eventually(t *testing.T, timeout time.Duration, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendQuery sends a query and returns its answer or its refusal. The error is set
// if no complete HTTP response arrived or it could not be decoded.
func sendQuery(addr string, q *api.Query) (*api.Answer, *api.Refusal, error) {
	data, err := json.Marshal(q)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+api.PathQuery, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		r := &api.Refusal{Status: resp.StatusCode}
		return nil, r, json.Unmarshal(body, r)
	}
	a := &api.Answer{}
	return a, nil, json.Unmarshal(body, a)
}
