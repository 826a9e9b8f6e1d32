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
	"syscall"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
)

const (
	members  = 3
	routers  = 3
	shards   = 4
	replicas = 3
	// startPatience bounds the time until the processes serve.
	startPatience = 30 * time.Second
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "peridotmux-e2e-")
	if err != nil {
		panic(err)
	}
	programs = dir
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
	// args are what it was started with: its name, its program and the flags.
	args []string
	cmd  *exec.Cmd
	http string
	done chan struct{}
	err  error
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wait waits until the process has ended.
func (p *process) wait(t *testing.T, patience time.Duration) error {
	t.Helper()
	select {
	case <-p.done:
		return p.err
	case <-time.After(patience):
		t.Fatal("the process didn't end in time")
		return nil
	}
}

// cluster is a set of processes: stand-in targets, control and routers.
type cluster struct {
	dir     string
	ledger  string
	members []*process
	routers []*process
	client  *adminclient.Client
	network *network
	rpc     []string
	web     []string
}

const (
	// firstPort and lastPort bound the ports of the processes. They lie under
	// the range from which the system takes ports for outgoing connections,
	// which may take any of that range at any time.
	firstPort = 12000
	lastPort  = 28000
)

// nextPort is the port to try next. Test processes begin at different ones.
var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

// freeAddrs returns addresses on loopback that nobody listens on.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			t.Fatal("no free ports")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
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

func (c *cluster) start(t *testing.T, name, http string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		args: append([]string{name}, args...),
		cmd:  exec.Command(filepath.Join(programs, args[0]), args[1:]...),
		http: http, done: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s ended with %v; its log ends with %s", name, p.cmd.ProcessState, tail(log.Name()))
		}
	})
	return p
}

// restart starts an ended process again with the same settings.
func (c *cluster) restart(t *testing.T, p *process) *process {
	t.Helper()
	return c.start(t, p.args[0], p.http, p.args[1:]...)
}

func tail(path string) string {
	data, _ := os.ReadFile(path)
	const most = 1500
	if len(data) > most {
		data = data[len(data)-most:]
	}
	return path + ":\n" + string(data)
}

func (c *cluster) write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{dir: t.TempDir(), network: newNetwork()}
	addrs := freeAddrs(t, (shards+1)*replicas)
	c.write(t, "deployment.ini", deploymentFile(addrs, shards, replicas-1))
	all := c.write(t, "repartitioned.ini", deploymentFile(addrs, shards+1, replicas))
	c.ledger = freeAddrs(t, 1)[0]
	c.start(t, "targets", "", "peridotmux-bench", "standin", "--deployment", all, "--ledger", c.ledger)
	rpc, web := freeAddrs(t, members), freeAddrs(t, members)
	for i := range members {
		file := c.write(t, fmt.Sprintf("control-%d.ini", i+1), c.controlFile(t, i, rpc, web))
		c.members = append(c.members, c.start(t, "control", web[i], "peridotmux-control", "--settings", file))
	}
	c.rpc, c.web = rpc, web
	c.client = adminclient.New(web)
	routerRPC, routerHTTP := freeAddrs(t, routers), freeAddrs(t, routers)
	for i := range routers {
		file := c.write(t, fmt.Sprintf("router-%d.ini", i+1), c.routerFile(t, i, routerRPC[i], routerHTTP[i], rpc))
		c.routers = append(c.routers, c.start(t, "router", routerHTTP[i], "peridotmux-router", "--settings", file))
	}
	eventually(t, startPatience, "every router answers whole", func() bool {
		for _, r := range c.routers {
			if a, _, err := ask(r.http, &api.Query{Kind: "search"}); err != nil || a == nil || !a.Complete {
				return false
			}
		}
		return true
	})
	return c
}

// deploymentFile has the given number of shards. The first shard has firstReplicas
// replicas, the others all.
func deploymentFile(addrs []string, shards, firstReplicas int) string {
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

func (c *cluster) controlFile(t *testing.T, i int, rpc, web []string) string {
	t.Helper()
	folder := filepath.Join(c.dir, fmt.Sprintf("state-%d", i+1))
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nvm = state-%d\nregion = one\ndata_centre = %s\nmember = %d\nrpc = %s\nhttp = %s\n",
		i+1, dataCentres[i], i+1, rpc[i], web[i])
	fmt.Fprintf(&b, "data_folder = %s\nbootstrap = yes\ndeployment = deployment.ini\n", folder)
	for m := range members {
		addr := rpc[m]
		if m != i {
			addr = c.network.via(t, controlName(i), controlName(m), addr)
		}
		fmt.Fprintf(&b, "[member %d]\nname = state-%d\nrpc = %s\nhttp = %s\n", m+1, m+1, addr, web[m])
	}
	return b.String()
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

func routerName(i int) string { return fmt.Sprintf("router-%d", i+1) }

func (c *cluster) routerFile(t *testing.T, i int, rpc, web string, members []string) string {
	t.Helper()
	var control []string
	for m, addr := range members {
		control = append(control, c.network.via(t, routerName(i), controlName(m), addr))
	}
	return fmt.Sprintf("[router]\nvm = entry-%d\nregion = one\ndata_centre = %s\nhttp = %s\nrpc = %s\ncontrol = %s\nbalancer_lag = 1s\n",
		i+1, dataCentres[i], web, rpc, strings.Join(control, ", "))
}

func eventually(t *testing.T, patience time.Duration, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ask sends a query. The error is set if no whole HTTP answer came.
func ask(addr string, q *api.Query) (*api.Answer, *api.Refusal, error) {
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
