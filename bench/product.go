package bench

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
	"github.com/peridotmux/peridotmux/router"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
	"github.com/peridotmux/peridotmux/trial"
)

const (
	members = 3
	// balancerLag is what the balancer of the bench needs to notice a router.
	balancerLag = 3 * balancerPoll
)

// product is the system itself: routers and control members on loopback
// sockets, with the deployment's latency between routers.
type product struct {
	world    *Cluster
	folder   string
	system   *trial.System
	balancer *balancer
	network  *network
	operator *adminclient.Client

	mu sync.Mutex
	// searchers holds the searcher of each router that was started last.
	searchers map[topology.VMName]*mortalSearcher
}

// NewProduct returns the product's policy.
func NewProduct() Policy {
	return &product{searchers: make(map[topology.VMName]*mortalSearcher)}
}

func (p *product) Name() string { return PolicyProduct }

func (p *product) Start(ctx context.Context, w *Cluster) error {
	p.world = w
	folder, err := os.MkdirTemp("", "peridotmux-bench-")
	if err != nil {
		return err
	}
	p.folder = folder
	p.network = newNetwork(w.Site.InterDCLatency)
	p.system, err = trial.Start(trial.Config{
		Deployment: w.Site.Deployment,
		External:   true,
		Members:    members,
		Routers:    routers,
		DataDir:    folder,
		Log:        settings.Log{Level: logLevel()},
		LogOutput:  logOutput(),
		Router:     p.configureRouter,
		Member:     p.network.joinMember,
	})
	if err != nil {
		return err
	}
	p.operator = adminclient.New(p.network.operatorFronts(p.system.ControlHTTP()))
	if err := p.system.WaitReady(ctx); err != nil {
		return &StartError{Policy: PolicyProduct, Reason: err.Error()}
	}
	p.balancer = newBalancer(p.system.RouterHTTP())
	return nil
}

// EnvLogs names the environment variable that sends the product's log lines
// from the level that it names to standard error.
const EnvLogs = "PERIDOTMUX_BENCH_LOGS"

func logOutput() io.Writer {
	if os.Getenv(EnvLogs) == "" {
		return nil
	}
	return os.Stderr
}

func logLevel() slog.Level {
	level := slog.LevelWarn
	_ = level.UnmarshalText([]byte(os.Getenv(EnvLogs))) // Keeps the warnings if it names no level.
	return level
}

// configureRouter puts a router behind the network of the bench: it is reached
// through a proxy with latency, and its searches start from its own address.
func (p *product) configureRouter(c *router.Config) {
	vm := p.vm(c.VM.Name)
	c.VM.DataCentre = vm.DataCentre
	c.VM.RPC = p.network.publish(string(c.VM.Name), c.VM.RPC)
	c.Control = p.network.fronts(c.Control)
	c.BalancerLag = balancerLag
	s := newMortalSearcher(target.NewClient(target.Options{LocalAddr: vm.RPC.Addr()}))
	c.Searcher = s
	p.mu.Lock()
	defer p.mu.Unlock()
	p.searchers[c.VM.Name] = s
}

func (p *product) vm(name topology.VMName) topology.VM {
	for _, vm := range p.world.Site.Routers {
		if vm.Name == name {
			return vm
		}
	}
	return topology.VM{}
}

func (p *product) Stop() {
	if p.balancer != nil {
		p.balancer.close()
	}
	if p.system != nil {
		for i := range p.system.Routers {
			p.KillRouter(i)
		}
		_ = p.system.Stop()
	}
	if p.network != nil {
		p.network.close()
	}
	_ = os.RemoveAll(p.folder)
}

func (p *product) Query(ctx context.Context, a *Arrival, wait time.Duration) Reply {
	return p.balancer.query(ctx, &api.Query{
		Kind:       a.Kind.Name,
		Groups:     []topology.GroupName{a.Group.Name},
		RequestKey: a.Key,
		DeadlineMS: wait.Milliseconds(),
		Body:       a.Body,
	}, wait)
}

// TakeOut implements Operator.
func (p *product) TakeOut(ctx context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.intend(ctx, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dc})
}

// Return implements Operator.
func (p *product) Return(ctx context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.intend(ctx, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: dc})
}

// LeaveTarget implements Operator.
func (p *product) LeaveTarget(ctx context.Context, id topology.TargetID) (time.Time, error) {
	return p.intend(ctx, api.IntentSpec{Kind: api.IntentLeave, Targets: []topology.TargetID{id}})
}

// intend states an intent and confirms its plan. The time returned is the last
// one at which it certainly wasn't accepted.
func (p *product) intend(ctx context.Context, spec api.IntentSpec) (time.Time, error) {
	spec.Overrides = []api.PlanReason{api.PlanCapacity}
	spec.Operator = "bench"
	in, err := p.operator.Submit(ctx, &api.Submission{Command: adminclient.NewCommandNumber(), Intent: spec})
	if err != nil {
		return time.Time{}, err
	}
	if in.Plan == nil || in.Plan.Refused() {
		return time.Time{}, &IntentError{Kind: string(spec.Kind), State: string(in.State)}
	}
	before := time.Now()
	_, err = p.operator.Confirm(ctx, in.Plan.ID, &api.Confirmation{
		Command: adminclient.NewCommandNumber(), Base: in.Plan.Base,
	})
	return before, err
}

// KillRouter implements Machines.
func (p *product) KillRouter(n int) {
	r := p.system.Routers[n]
	p.mu.Lock()
	s := p.searchers[r.VM.Name]
	p.mu.Unlock()
	s.kill()
	r.Kill()
}

// StartRouter implements Machines.
func (p *product) StartRouter(n int) error {
	err := p.system.RestartRouter(n)
	if err != nil {
		return err
	}
	p.balancer.replace(n, p.system.Routers[n].VM.HTTP)
	return nil
}

// LeaveRouter implements Machines.
func (p *product) LeaveRouter(n int) { go func() { _ = p.system.Routers[n].Stop() }() }

// CutLeader implements Partitioner.
func (p *product) CutLeader() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	list, err := p.operator.Members(ctx)
	if err != nil {
		return err
	}
	for i, m := range p.system.Members {
		for _, status := range list.Members {
			if status.Leader && status.ID == strconv.Itoa(int(m.Settings.Member)) {
				p.network.cutMember(i)
				return nil
			}
		}
	}
	return &StartError{Policy: PolicyProduct, Reason: "no leader is known"}
}

// Heal implements Partitioner.
func (p *product) Heal() { p.network.heal() }

// mortalSearcher is a searcher that dies with its router.
type mortalSearcher struct {
	inner *target.Client
	dead  context.Context
	die   context.CancelFunc
}

func newMortalSearcher(inner *target.Client) *mortalSearcher {
	dead, die := context.WithCancel(context.Background())
	return &mortalSearcher{inner: inner, dead: dead, die: die}
}

func (s *mortalSearcher) kill() {
	s.die()
	s.inner.Close()
}

// Search implements target.Searcher.
func (s *mortalSearcher) Search(ctx context.Context, q target.Search) target.Outcome {
	if s.dead.Err() != nil {
		return target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.dead, cancel)
	defer stop()
	return s.inner.Search(ctx, q)
}

// Health implements target.Searcher.
func (s *mortalSearcher) Health(ctx context.Context, t *topology.Target) (target.Health, error) {
	if err := s.dead.Err(); err != nil {
		return target.Health{}, err
	}
	return s.inner.Health(ctx, t)
}

// Release implements target.Searcher.
func (s *mortalSearcher) Release(id topology.TargetID) { s.inner.Release(id) }
