package daemon

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/consensus/storage"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/admin"
	"github.com/peridotmux/peridotmux/control/formation"
	"github.com/peridotmux/peridotmux/control/orders"
	"github.com/peridotmux/peridotmux/control/server"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/quarantine"
	"github.com/peridotmux/peridotmux/quota"
	"github.com/peridotmux/peridotmux/ratelimit"
	"github.com/peridotmux/peridotmux/rollout/report"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// snapshotInterval is the number of log entries between snapshots, and
	// trailingEntries the number kept after one. Both are small to bound the
	// memory on small VMs; the sizes that package group sets by default bound it for
	// entries that hold complete route documents.
	snapshotInterval = 256
	trailingEntries  = 64
	// spaceRetryInterval is the time between two tries to open a data folder on a full
	// disk.
	spaceRetryInterval = 500 * time.Millisecond
)

// SelfFormingConfig configures a member of a self-forming group: a group whose
// members join and are replaced without an operator.
type SelfFormingConfig struct {
	Settings *settings.SelfFormingControl
	// NewReader returns a reader of the platform's list of targets.
	NewReader func(*slog.Logger, *telemetry.List) discovery.Reader
	// Decode parses a route document.
	Decode func([]byte) (*route.Table, error)
	// RegisterOperatorAPI adds the API for the platform's operator to the HTTP
	// server. The address is this member's HTTP address.
	RegisterOperatorAPI func(*orders.Orders, netip.AddrPort, *slog.Logger, *mux.Router)
	// Seeds returns the seeds of the current settings.
	Seeds func() []netip.AddrPort
}

// member is a running member of a self-forming group.
type member struct {
	cfg       SelfFormingConfig
	settings  *settings.SelfFormingControl
	logs      *telemetry.Logs
	log       *slog.Logger
	inventory *discovery.Inventory
	outliers  *outlier.Hub
	quotas    *quota.Server
	rollouts  *report.Hub
	metrics   *telemetry.Metrics
	group     *group.Group
	formation *formation.Formation
	// state is the replicated state, nil until it is open.
	state atomic.Pointer[state.State]

	mu sync.Mutex
	// lastVoters holds the voters' rpc addresses as of the last known status.
	lastVoters []string
}

// MemberID returns the ID of the member at an IPv4 address. A VM that gets
// another address becomes another member.
func MemberID(a netip.Addr) consensus.MemberID {
	b := a.As4()
	return consensus.MemberID(binary.BigEndian.Uint32(b[:]))
}

// RunSelfForming runs a member of a self-forming group until ctx ends, and
// writes its log to w.
func RunSelfForming(ctx context.Context, f SelfFormingConfig, w io.Writer) error {
	s := f.Settings
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return trace.Wrap(err)
	}
	logs := telemetry.NewLogs(w, s.Log)
	m := &member{
		cfg: f, settings: s, logs: logs, log: logs.Logger(settings.PartControl), inventory: discovery.NewInventory(),
		metrics: metrics, rollouts: report.NewHub(time.Now()),
	}
	m.outliers = outlier.NewHub(outlier.HubConfig{
		Self:       string(s.VM.Name),
		IsLeader:   func() bool { return m.group.Leadership().Leads },
		LeaderAddr: func() []netip.AddrPort { return otherLeader(m.group) },
		Topics:     []outlier.HubTopic{m.rollouts, newLearning(m.inventory, m.log), m.admission(), ratelimit.NewHub(), quarantine.NewHub(m.log)},
		Log:        m.log,
	})
	m.quotas = m.newQuotas()
	rpcListener, err := listen(s.RPCListen.String())
	if err != nil {
		return trace.Wrap(err)
	}
	httpListener, err := listen(s.VM.HTTP.String())
	if err != nil {
		return trace.Wrap(err)
	}
	m.log.Info("starts", "vm", s.VM.Name, "first", s.FirstStart, "seeds", s.Seeds)
	err = server.Run(ctx, server.Config{
		Member: strconv.FormatUint(uint64(MemberID(s.VM.RPC.Addr())), 10),
		Peers:  m.peers(),
		RPC:    rpcListener,
		HTTP:   httpListener,
		Limits: state.DefaultLimits(),
		Logger: m.log,
		Bounds: s.Bounds,
		Clients: clientlimit.New(clientlimit.Config{
			Limits: clientlimit.LimitsFor(s.MemoryMB, s.MaxFDs, clientlimit.ControlShares), Log: m.log, Metrics: metrics.Clients,
		}),
		Metrics:     metrics.Control,
		VoterAddrs:  m.voterAddrs,
		Join:        func(ctx context.Context, q *pb.JoinRequest) *pb.JoinResponse { return m.formation.Join(ctx, q) },
		RegisterRPC: m.register,
		Background:  m.background,
		Group:       m.open,
		RegisterHTTP: func(r *mux.Router, st *state.State, log control.Log) {
			r.Handle(api.PathMetrics, metrics.Handler())
			f.RegisterOperatorAPI(orders.New(st, log).WithInventory(m.inventory), s.VM.HTTP, m.log, r)
		},
	})
	m.log.Info("ends", "error", err)
	return trace.Wrap(err)
}

// register adds the rpc services for routers that are not part of the control
// service.
func (m *member) register(d drpc.Mux) error {
	if err := discovery.NewServer(m.inventory, m.log).Register(d); err != nil {
		return trace.Wrap(err)
	}
	if err := m.quotas.Register(d); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(m.outliers.Register(d))
}

// peers returns the seeds as peers of the administration API. All members serve
// HTTP on the same port.
func (m *member) peers() []admin.Peer {
	var out []admin.Peer
	for _, a := range m.settings.Seeds {
		out = append(out, admin.Peer{
			ID: strconv.FormatUint(uint64(MemberID(a.Addr())), 10), RPC: a.String(),
			HTTP: netip.AddrPortFrom(a.Addr(), m.settings.VM.HTTP.Port()).String(),
		})
	}
	return out
}

// open opens the data folder. Only seeds bootstrap a group, and only at the
// first start of the system; all other members join an existing group.
func (m *member) open(ctx context.Context, sm control.StateMachine) (*server.Group, error) {
	self := group.Member{ID: MemberID(m.settings.VM.RPC.Addr()), Name: string(m.settings.VM.Name), RPC: m.settings.VM.RPC}
	members := []group.Member{self}
	isSeed := false
	for _, a := range m.settings.Seeds {
		if a == self.RPC {
			isSeed = true
			continue
		}
		members = append(members, group.Member{ID: MemberID(a.Addr()), Name: a.Addr().String(), RPC: a})
	}
	bootstrap := m.settings.FirstStart && isSeed
	if !bootstrap {
		members = members[:1]
	}
	g, err := m.openOnceSpace(ctx, group.Config{
		ID: self.ID, GroupName: string(m.settings.Region), Members: members, DataDir: m.settings.DataFolder,
		UseJournal: true, SnapshotEvery: snapshotInterval, TrailingEntries: trailingEntries,
		Bootstrap: bootstrap, StateMachine: sm, Logger: m.logs.Logger(settings.PartConsensus), OnDiskFull: m.metrics.Control.DiskFull,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.group = g
	m.formation = formation.New(g, m.settings.ToleratedLosses, m.log)
	return &server.Group{Log: g, Members: &membership{g}, RegisterRPC: g.Register, Run: g.Run}, nil
}

// openOnceSpace opens the data folder. While a new folder finds no space for its first
// file, it tries again until ctx ends.
func (m *member) openOnceSpace(ctx context.Context, c group.Config) (*group.Group, error) {
	for reported := false; ; reported = true {
		g, err := group.Open(c)
		var noSpace *storage.NoSpaceError
		if !errors.As(err, &noSpace) || ctx.Err() != nil {
			m.metrics.Control.DiskFull(false)
			return g, err
		}
		if !reported {
			m.log.Error("data folder full, start waits for space", "error", err)
		}
		m.metrics.Control.DiskFull(true)
		wait.For(ctx, spaceRetryInterval)
	}
}

// background runs the tasks that keep the group, the list of targets, the outliers
// and the rollouts up to date.
func (m *member) background(ctx context.Context, st *state.State, log control.Log) error {
	m.state.Store(st)
	var work errgroup.Group
	work.Go(func() error {
		m.runQuotas(ctx, st, log)
		return nil
	})
	work.Go(func() error {
		m.formation.Run(ctx)
		return nil
	})
	joiner := &formation.Joiner{
		Self: formation.Self{
			ID: MemberID(m.settings.VM.RPC.Addr()), Name: string(m.settings.VM.Name), Disk: m.group.Disk(), RPC: m.settings.VM.RPC,
		},
		Group: m.group, Seeds: m.cfg.Seeds, Log: m.log,
	}
	work.Go(func() error {
		joiner.Run(ctx)
		return nil
	})
	source := &discovery.Source{
		Inventory:    m.inventory,
		Reader:       m.cfg.NewReader(m.log, &m.metrics.List),
		Self:         string(m.settings.VM.Name),
		IsReader:     func() bool { return log.Leadership().Leads },
		Peers:        func() []netip.AddrPort { return otherLeader(log) },
		ReadInterval: discovery.ReadInterval(m.settings.TargetList.DrainTime),
		MaxListAge:   discovery.MemberMaxListAge(m.settings.TargetList.DrainTime),
		Log:          m.log,
	}
	work.Go(func() error {
		source.Run(ctx)
		return nil
	})
	work.Go(func() error {
		m.outliers.Run(ctx)
		return nil
	})
	work.Go(func() error {
		m.runRollouts(ctx, st, log)
		return nil
	})
	return work.Wait()
}

// otherLeader returns the leader's address, or nil if this member leads or no
// leader is known.
func otherLeader(log control.Log) []netip.AddrPort {
	lead := log.Leadership()
	if lead.Leads {
		return nil
	}
	at, err := netip.ParseAddrPort(lead.LeaderAddr)
	if err != nil {
		return nil
	}
	return []netip.AddrPort{at}
}

// voterAddrs returns the voters' rpc addresses, those last known if the group
// doesn't respond within statusTimeout.
func (m *member) voterAddrs() []string {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := m.group.Status(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.log.Warn("group status unavailable", "error", err)
		return m.lastVoters
	}
	m.lastVoters = nil
	for _, x := range status.Members {
		if !x.Learner {
			m.lastVoters = append(m.lastVoters, x.Addr)
		}
	}
	return m.lastVoters
}
