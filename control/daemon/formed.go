package daemon

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/admin"
	"github.com/peridotmux/peridotmux/control/formation"
	"github.com/peridotmux/peridotmux/control/orders"
	"github.com/peridotmux/peridotmux/control/server"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

const (
	// snapshotEvery and trailingEntries bound the log's entries on small VMs, since
	// each may hold a whole route document.
	snapshotEvery   = 256
	trailingEntries = 64
)

// SelfFormingConfig is what a member needs besides its settings whose group forms itself.
type SelfFormingConfig struct {
	Settings *settings.SelfFormingControl
	// NewReader reads the platform's list of targets.
	NewReader func(*slog.Logger) discovery.Reader
	// RegisterOperatorAPI adds the calls of the platform's operator.
	RegisterOperatorAPI func(*orders.Orders, netip.AddrPort, *slog.Logger, *mux.Router)
	// Seeds returns the newest seeds of the settings.
	Seeds func() []netip.AddrPort
}

// member is one running member whose group forms itself.
type member struct {
	formed    SelfFormingConfig
	cfg       *settings.SelfFormingControl
	logs      *telemetry.Logs
	log       *slog.Logger
	inventory *discovery.Inventory
	outliers  *outlier.Hub
	group     *group.Group
	formation *formation.Formation

	mu     sync.Mutex
	voters []string
}

// MemberID returns the id of the member at an address. A VM at another address
// is another member.
func MemberID(a netip.Addr) consensus.MemberID {
	b := a.As4()
	return consensus.MemberID(binary.BigEndian.Uint32(b[:]))
}

// RunSelfForming runs a member whose group forms itself until ctx ends. Log lines go
// to w.
func RunSelfForming(ctx context.Context, f SelfFormingConfig, w io.Writer) error {
	s := f.Settings
	logs := telemetry.NewLogs(w, s.Log)
	m := &member{formed: f, cfg: s, logs: logs, log: logs.Logger(settings.PartControl), inventory: discovery.NewInventory()}
	m.outliers = outlier.NewHub(outlier.HubConfig{
		Self:       string(s.VM.Name),
		IsLeader:   func() bool { return m.group.Leadership().Leads },
		LeaderAddr: func() []netip.AddrPort { return leader(m.group) },
		Log:        m.log,
	})
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return trace.Wrap(err)
	}
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
		Member:      strconv.FormatUint(uint64(MemberID(s.VM.RPC.Addr())), 10),
		Peers:       m.peers(),
		RPC:         rpcListener,
		HTTP:        httpListener,
		Limits:      state.DefaultLimits(),
		Logger:      m.log,
		Bounds:      s.Bounds,
		Metrics:     metrics.Control,
		VoterAddrs:  m.voterAddrs,
		Join:        func(ctx context.Context, q *pb.JoinRequest) *pb.JoinResponse { return m.formation.Join(ctx, q) },
		RegisterRPC: m.register,
		Background:  m.serve,
		Group:       func(_ context.Context, sm control.StateMachine) (*server.Group, error) { return m.open(sm) },
		RegisterHTTP: func(r *mux.Router, st *state.State, log control.Log) {
			r.Handle(api.PathMetrics, metrics.Handler())
			f.RegisterOperatorAPI(orders.New(st, log), s.VM.HTTP, m.log, r)
		},
	})
	m.log.Info("ends", "error", err)
	return trace.Wrap(err)
}

// register adds the services that routers use besides control's own.
func (m *member) register(d drpc.Mux) error {
	if err := discovery.NewServer(m.inventory, m.log).Register(d); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(m.outliers.Register(d))
}

func (m *member) peers() []admin.Peer {
	var out []admin.Peer
	for _, a := range m.cfg.Seeds {
		out = append(out, admin.Peer{
			ID: strconv.FormatUint(uint64(MemberID(a.Addr())), 10), RPC: a.String(),
			HTTP: netip.AddrPortFrom(a.Addr(), m.cfg.VM.HTTP.Port()).String(),
		})
	}
	return out
}

// open opens the data folder. Only the seeds of the system's first start form
// a group; every other member asks to join it.
func (m *member) open(sm control.StateMachine) (*server.Group, error) {
	self := group.Member{ID: MemberID(m.cfg.VM.RPC.Addr()), Name: string(m.cfg.VM.Name), RPC: m.cfg.VM.RPC}
	members := []group.Member{self}
	founder := false
	for _, a := range m.cfg.Seeds {
		if a == self.RPC {
			founder = true
			continue
		}
		members = append(members, group.Member{ID: MemberID(a.Addr()), Name: a.Addr().String(), RPC: a})
	}
	founds := m.cfg.FirstStart && founder
	if !founds {
		members = members[:1]
	}
	g, err := group.Open(group.Config{
		ID: self.ID, GroupName: string(m.cfg.Region), Members: members, DataDir: m.cfg.DataFolder,
		UseJournal: true, SnapshotEvery: snapshotEvery, TrailingEntries: trailingEntries,
		Bootstrap: founds, StateMachine: sm, Logger: m.logs.Logger(settings.PartConsensus),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.group = g
	m.formation = formation.New(g, m.log)
	return &server.Group{Log: g, Members: &membership{g}, RegisterRPC: g.Register, Run: g.Run}, nil
}

// serve runs what keeps the group and the list of targets current.
func (m *member) serve(ctx context.Context, _ *state.State, log control.Log) error {
	var work errgroup.Group
	work.Go(func() error {
		m.formation.Run(ctx)
		return nil
	})
	joiner := &formation.Joiner{
		Self: formation.Self{
			ID: MemberID(m.cfg.VM.RPC.Addr()), Name: string(m.cfg.VM.Name), Disk: m.group.Disk(), RPC: m.cfg.VM.RPC,
		},
		Group: m.group, Seeds: m.formed.Seeds, Log: m.log,
	}
	work.Go(func() error {
		joiner.Run(ctx)
		return nil
	})
	source := &discovery.Source{
		Inventory:    m.inventory,
		Reader:       m.formed.NewReader(m.log),
		Self:         string(m.cfg.VM.Name),
		IsReader:     func() bool { return log.Leadership().Leads },
		Peers:        func() []netip.AddrPort { return leader(log) },
		ReadInterval: discovery.ReadInterval(m.cfg.TargetList.DrainTime),
		MaxListAge:   discovery.MemberMaxListAge(m.cfg.TargetList.DrainTime),
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
	return work.Wait()
}

func leader(log control.Log) []netip.AddrPort {
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

// voterAddrs lists the voters' rpc addresses, as of the last time the group told.
func (m *member) voterAddrs() []string {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := m.group.Status(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.log.Warn("members not known", "error", err)
		return m.voters
	}
	m.voters = nil
	for _, x := range status.Members {
		if !x.Learner {
			m.voters = append(m.voters, x.Addr)
		}
	}
	return m.voters
}
