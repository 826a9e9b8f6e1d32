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
	// members is the number of control members.
	members = 3
	// balancerLag is the time within which the benchmark's balancer detects a
	// change of a router's readiness.
	balancerLag = 3 * balancerPoll
)

// product is the policy that runs the real system: routers and control members on
// loopback sockets, with the deployment's latency between routers.
type product struct {
	cluster  *Cluster
	folder   string
	system   *trial.System
	balancer *balancer
	network  *network
	operator *adminclient.Client

	mu sync.Mutex
	// searchers holds the searcher of the latest process of each router.
	searchers map[topology.VMName]*killableSearcher
}

// NewProduct returns the policy that runs the real system.
func NewProduct() Policy {
	return &product{searchers: make(map[topology.VMName]*killableSearcher)}
}

// Name implements Policy.
func (p *product) Name() string { return PolicyProduct }

// Start implements Policy.
func (p *product) Start(ctx context.Context, cluster *Cluster) error {
	p.cluster = cluster
	folder, err := os.MkdirTemp("", "peridotmux-bench-")
	if err != nil {
		return err
	}
	p.folder = folder
	p.network = newNetwork(cluster.Site.InterDCLatency)
	p.system, err = trial.Start(trial.Config{
		Deployment:      cluster.Site.Deployment,
		ExternalTargets: true,
		Members:         members,
		Routers:         routers,
		DataDir:         folder,
		Log:             settings.Log{Level: logLevel()},
		LogOutput:       logOutput(),
		ModifyRouter:    p.configureRouter,
		ModifyMember:    p.network.connectMember,
	})
	if err != nil {
		return err
	}
	p.operator = adminclient.New(p.network.adminAddrs(p.system.ControlHTTP()))
	if err := p.system.WaitReady(ctx); err != nil {
		return &StartError{Policy: PolicyProduct, Reason: err.Error()}
	}
	p.balancer = newBalancer(p.system.RouterHTTP())
	return nil
}

// EnvLogs is the environment variable that enables the product's log on standard
// error; its value is the minimum level.
const EnvLogs = "PERIDOTMUX_BENCH_LOGS"

func logOutput() io.Writer {
	if os.Getenv(EnvLogs) == "" {
		return nil
	}
	return os.Stderr
}

func logLevel() slog.Level {
	level := slog.LevelWarn
	_ = level.UnmarshalText([]byte(os.Getenv(EnvLogs))) // Stays at warn if the value is no level.
	return level
}

// configureRouter connects a router to the simulated network: other routers reach
// it through a proxy with latency, and its searches are sent from its own address,
// from which the stand-in targets derive their latency.
func (p *product) configureRouter(c *router.Config) {
	vm := p.vm(c.VM.Name)
	c.VM.DataCentre = vm.DataCentre
	c.VM.RPC = p.network.routerAddr(string(c.VM.Name), c.VM.RPC)
	c.Control = p.network.memberAddrs(c.Control)
	c.BalancerLag = balancerLag
	s := newKillableSearcher(target.NewClient(target.Options{LocalAddr: vm.RPC.Addr()}))
	c.Searcher = s
	p.mu.Lock()
	defer p.mu.Unlock()
	p.searchers[c.VM.Name] = s
}

// vm returns the named router VM of the site.
func (p *product) vm(name topology.VMName) topology.VM {
	for _, vm := range p.cluster.Site.Routers {
		if vm.Name == name {
			return vm
		}
	}
	return topology.VM{}
}

// Stop implements Policy.
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

// Query implements Policy.
func (p *product) Query(ctx context.Context, a *Arrival, wait time.Duration) Reply {
	return p.balancer.query(ctx, &api.Query{
		Kind:       a.Kind.Name,
		Groups:     []topology.GroupName{a.Group.Name},
		RequestKey: a.Key,
		DeadlineMS: wait.Milliseconds(),
		Body:       a.Body,
	}, wait)
}

// TakeOut implements OperatorActions.
func (p *product) TakeOut(ctx context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.submitIntent(ctx, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: dc})
}

// BringBack implements OperatorActions.
func (p *product) BringBack(ctx context.Context, dc topology.DataCentre) (time.Time, error) {
	return p.submitIntent(ctx, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: dc})
}

// RemoveTarget implements OperatorActions.
func (p *product) RemoveTarget(ctx context.Context, id topology.TargetID) (time.Time, error) {
	return p.submitIntent(ctx, api.IntentSpec{Kind: api.IntentLeave, Targets: []topology.TargetID{id}})
}

// submitIntent submits an intent and confirms its plan. It returns the latest time
// known at which the intent can't have been accepted yet.
func (p *product) submitIntent(ctx context.Context, spec api.IntentSpec) (time.Time, error) {
	spec.Overrides = []api.PlanReason{api.PlanInsufficientCapacity}
	spec.Operator = "bench"
	in, err := p.operator.Submit(ctx, &api.Submission{Command: adminclient.NewCommandNumber(), Intent: spec})
	if err != nil {
		return time.Time{}, err
	}
	if in.Plan == nil || in.Plan.Refused() {
		return time.Time{}, &IntentError{Kind: string(spec.Kind), State: string(in.State)}
	}
	before := time.Now()
	in, err = p.operator.Confirm(ctx, in.Plan.ID, &api.Confirmation{
		Command: adminclient.NewCommandNumber(), Base: in.Plan.Base,
	})
	if err != nil {
		return time.Time{}, err
	}
	return notAcceptedBefore(before, in), nil
}

// notAcceptedBefore returns a time before which an intent wasn't accepted: when its
// confirmation was sent, or when the leading member that took it proposed it, if that
// is later. While there is no leader, the operator's command waits between the two.
func notAcceptedBefore(sent time.Time, in *api.Intent) time.Time {
	for _, t := range in.History {
		if t.State == api.IntentConfirmed && t.At.After(sent) {
			return t.At
		}
	}
	return sent
}

// KillRouter implements RouterLifecycle.
func (p *product) KillRouter(n int) {
	r := p.system.Routers[n]
	p.mu.Lock()
	s := p.searchers[r.VM.Name]
	p.mu.Unlock()
	s.kill()
	r.Kill()
}

// StartRouter implements RouterLifecycle.
func (p *product) StartRouter(n int) error {
	err := p.system.RestartRouter(n)
	if err != nil {
		return err
	}
	p.balancer.replace(n, p.system.Routers[n].VM.HTTP)
	return nil
}

// ShutDownRouter implements RouterLifecycle.
func (p *product) ShutDownRouter(n int) { go func() { _ = p.system.Routers[n].Stop() }() }

// IsolateLeader implements LeaderIsolator.
func (p *product) IsolateLeader() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	list, err := p.operator.Members(ctx)
	if err != nil {
		return err
	}
	for i, m := range p.system.Members {
		for _, status := range list.Members {
			if status.Leader && status.ID == strconv.Itoa(int(m.Settings.Member)) {
				p.network.isolateMember(i)
				return nil
			}
		}
	}
	return &StartError{Policy: PolicyProduct, Reason: "no leader is known"}
}

// HealPartition implements LeaderIsolator.
func (p *product) HealPartition() { p.network.heal() }

// killableSearcher is a searcher that stops when its router is killed: running
// searches are cancelled and new ones fail.
type killableSearcher struct {
	inner  *target.Client
	killed context.Context
	cancel context.CancelFunc
}

func newKillableSearcher(inner *target.Client) *killableSearcher {
	killed, cancel := context.WithCancel(context.Background())
	return &killableSearcher{inner: inner, killed: killed, cancel: cancel}
}

// kill cancels running searches, makes new ones fail and closes the client.
func (s *killableSearcher) kill() {
	s.cancel()
	s.inner.Close()
}

// Search implements target.Searcher.
func (s *killableSearcher) Search(ctx context.Context, q target.Search) target.Outcome {
	if s.killed.Err() != nil {
		return target.Outcome{Status: target.Unknown, Reason: target.ReasonConnectionLost}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.killed, cancel)
	defer stop()
	return s.inner.Search(ctx, q)
}

// Health implements target.Searcher.
func (s *killableSearcher) Health(ctx context.Context, t *topology.Target) (target.Health, error) {
	if err := s.killed.Err(); err != nil {
		return target.Health{}, err
	}
	return s.inner.Health(ctx, t)
}

// Release implements target.Searcher.
func (s *killableSearcher) Release(id topology.TargetID) { s.inner.Release(id) }
