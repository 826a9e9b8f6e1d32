package group

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/storage"
	"github.com/peridotmux/peridotmux/control"
)

const (
	inboxLength    = 1024
	proposalLength = 1024
	// maxDrained bounds what is taken in before it is persisted.
	maxDrained = 1024
)

// Group is one running member.
type Group struct {
	cfg   Config
	store *storage.Store
	first storage.State
	disk  consensus.DiskID
	// initialized says that the data folder has a state.
	initialized atomic.Bool
	formed      atomic.Pointer[consensus.Membership]

	inbox     chan consensus.Message
	proposals chan *proposal
	confirms  chan *confirmCall
	calls     chan func()
	stopped   chan struct{}
	// senders holds the ids of members that messages came from.
	senders sync.Map

	// The rest, up to mu, belongs to the run loop.
	node       *consensus.Node
	links      *links
	waiters    map[uint64]*proposal
	confirm    confirmState
	applied    uint64
	lastTerm   uint64
	snapIndex  uint64
	ticker     *time.Ticker
	heartbeats []consensus.Message
	// failure ends the run.
	failure error

	mu         sync.Mutex
	leadership control.Leadership
	changed    chan struct{}
}

var _ control.Log = (*Group)(nil)

// Open opens the data folder and brings the state machine to the snapshot.
func Open(cfg Config) (*Group, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	open := storage.Open
	if cfg.UseJournal {
		open = storage.OpenJournal
	}
	store, state, err := open(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	g, err := newGroup(cfg, store, state)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return g, nil
}

func newGroup(cfg Config, store *storage.Store, state storage.State) (*Group, error) {
	g := &Group{
		cfg: cfg, store: store, first: state, disk: state.Disk,
		inbox:     make(chan consensus.Message, inboxLength),
		proposals: make(chan *proposal, proposalLength),
		confirms:  make(chan *confirmCall, proposalLength),
		calls:     make(chan func()),
		stopped:   make(chan struct{}),
		waiters:   make(map[uint64]*proposal),
		changed:   make(chan struct{}),
	}
	g.leadership.Changed = g.changed
	g.initialized.Store(state.Initialized())
	g.formed.Store(state.FirstMembership)
	if state.Snapshot.Index > 0 {
		if err := cfg.StateMachine.Restore(state.Snapshot.Index, state.Snapshot.Data); err != nil {
			return nil, &SnapshotError{Cause: err}
		}
	}
	return g, nil
}

// Disk returns the identity of the data folder.
func (g *Group) Disk() consensus.DiskID { return g.disk }

// Run takes part in the group until ctx ends or the data folder fails. It can
// be called once.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	g.links = newLinks(ctx, &wg, &g.cfg)
	state := g.first
	g.first = storage.State{}
	g.start(state)
	if g.cfg.Bootstrap && !state.Initialized() {
		wg.Go(func() { g.bootstrap(ctx) })
	}
	err := g.loop(ctx)
	cancel()
	close(g.stopped)
	g.failAll()
	wg.Wait()
	if closeErr := g.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (g *Group) start(state storage.State) {
	g.snapIndex, g.applied, g.lastTerm = state.Snapshot.Index, state.Snapshot.Index, state.Snapshot.Term
	g.node = consensus.New(consensus.Config{
		ID:             g.cfg.ID,
		Disk:           g.disk,
		ElectionTicks:  g.cfg.ticks(electionTimeout),
		HeartbeatTicks: g.cfg.ticks(heartbeatInterval),
		Random:         rand.New(rand.NewPCG(g.cfg.Seed, uint64(g.cfg.ID))),
		HardState:      state.HardState,
		Snapshot:       state.Snapshot,
		Entries:        state.Entries,
	})
	g.cfg.Logger.Info("consensus member starts", "disk", string(g.disk), "term", state.HardState.Term,
		"snapshot", state.Snapshot.Index, "entries", len(state.Entries), "members", len(g.node.Membership().Members))
}

func (g *Group) loop(ctx context.Context) error {
	g.ticker = time.NewTicker(g.cfg.TickInterval)
	defer g.ticker.Stop()
	for {
		if err := g.work(); err != nil {
			g.cfg.Logger.Error("consensus member stops", "error", err)
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.ticker.C:
			g.tick()
		case m := <-g.inbox:
			g.node.Step(m)
		case p := <-g.proposals:
			g.take(p)
		case c := <-g.confirms:
			g.confirm.waiting = append(g.confirm.waiting, c)
		case f := <-g.calls:
			f()
		}
		g.drain()
		g.askConfirm()
	}
}

func (g *Group) tick() {
	g.node.Tick()
	g.retryConfirm()
}

// drain takes in what waits already, so that it is persisted together.
func (g *Group) drain() {
	for range maxDrained {
		select {
		case m := <-g.inbox:
			g.node.Step(m)
		case p := <-g.proposals:
			g.take(p)
		case c := <-g.confirms:
			g.confirm.waiting = append(g.confirm.waiting, c)
		default:
			return
		}
	}
}

// Leadership implements control.Log.
func (g *Group) Leadership() control.Leadership {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadership
}

// noteLeadership publishes who leads, and gives up the proposals of a term
// that this member no longer leads.
func (g *Group) noteLeadership() {
	next := control.Leadership{Leads: g.node.IsLeader(), Term: g.node.Term()}
	if leader := g.node.Leader(); leader != consensus.None {
		next.LeaderID = strconv.FormatUint(uint64(leader), 10)
	}
	next.LeaderAddr = g.links.addrOf(g.node.Leader(), g.node.Membership())
	g.mu.Lock()
	old := g.leadership
	same := old.Leads == next.Leads && old.Term == next.Term && old.LeaderAddr == next.LeaderAddr
	if !same {
		close(g.changed)
		g.changed = make(chan struct{})
		next.Changed = g.changed
		g.leadership = next
	}
	g.mu.Unlock()
	if same {
		return
	}
	g.cfg.Logger.Info("consensus leadership changed", "leads", next.Leads, "term", next.Term, "leader", next.LeaderAddr)
	if old.Leads && (!next.Leads || next.Term != old.Term) {
		g.failWaiters(ErrLeadershipLost)
	}
}
