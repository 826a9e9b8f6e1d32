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
	// inboxCapacity is the number of queued messages from other members, and
	// proposalCapacity that of queued proposals and Confirm calls.
	inboxCapacity    = 1024
	proposalCapacity = 1024
	// maxDrainBatch limits the queued inputs that are processed before the next
	// write to the data folder.
	maxDrainBatch = 1024
)

// Group is one member of a consensus group. All methods except Run are safe for
// concurrent use.
type Group struct {
	cfg          Config
	store        *storage.Store
	initialState storage.State
	disk         consensus.DiskID
	// initialized is true once the data folder holds state of the group.
	initialized atomic.Bool
	// formedWith is the first membership if this member formed the group, or nil.
	formedWith atomic.Pointer[consensus.Membership]
	// diskFull is true while a write waits for space.
	diskFull atomic.Bool

	inbox     chan consensus.Message
	proposals chan *proposal
	confirms  chan *confirmCall
	// loopCalls holds functions to be run by the run loop.
	loopCalls chan func()
	// stopped is closed when the run loop has ended.
	stopped chan struct{}
	// knownSenders holds the IDs of members that messages came from.
	knownSenders sync.Map

	// The fields below, up to mu, belong to the run loop.
	node  *consensus.Node
	links *links
	// waiters holds the pending proposals by the index of their entry.
	waiters map[uint64]*proposal
	confirm confirmState
	// applied and appliedTerm are the index and term of the last applied entry.
	applied       uint64
	appliedTerm   uint64
	snapshotIndex uint64
	// appliedBytes is the size of the entries applied since the last snapshot, and
	// snapshotBytes the size of that snapshot.
	appliedBytes  uint64
	snapshotBytes uint64
	ticker        *time.Ticker
	// lastHeartbeats are the latest heartbeats that were sent, for save.
	lastHeartbeats []consensus.Message
	// fatalErr is an error that ends Run.
	fatalErr error

	mu         sync.Mutex
	leadership control.Leadership
	// changed is the writable end of leadership.Changed.
	changed chan struct{}
}

var _ control.Log = (*Group)(nil)

// Open opens the data folder, restores the state machine from the latest
// snapshot, and returns the member, which takes part in the group once Run is
// called. Errors: *ConfigError, *SnapshotError, and those of package storage.
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
		cfg: cfg, store: store, initialState: state, disk: state.Disk,
		inbox:     make(chan consensus.Message, inboxCapacity),
		proposals: make(chan *proposal, proposalCapacity),
		confirms:  make(chan *confirmCall, proposalCapacity),
		loopCalls: make(chan func()),
		stopped:   make(chan struct{}),
		waiters:   make(map[uint64]*proposal),
		changed:   make(chan struct{}),
	}
	g.leadership.Changed = g.changed
	g.initialized.Store(state.Initialized())
	g.formedWith.Store(state.FirstMembership)
	if state.Snapshot.Index > 0 {
		if err := cfg.StateMachine.Restore(state.Snapshot.Index, state.Snapshot.Data); err != nil {
			return nil, &SnapshotError{Cause: err}
		}
	}
	return g, nil
}

// Disk returns the identity of the data folder, a random ID created with it.
func (g *Group) Disk() consensus.DiskID { return g.disk }

// Run takes part in the group until ctx ends, which is no error, or until the
// data folder or the state machine fails. It must be called only once, and
// closes the data folder when it returns.
func (g *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	g.links = newLinks(ctx, &wg, &g.cfg)
	state := g.initialState
	g.initialState = storage.State{}
	g.start(state)
	if g.cfg.Bootstrap && !state.Initialized() {
		wg.Go(func() { g.bootstrap(ctx) })
	}
	err := g.loop(ctx)
	cancel()
	close(g.stopped)
	g.failPending()
	wg.Wait()
	if closeErr := g.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (g *Group) start(state storage.State) {
	g.snapshotIndex, g.applied, g.appliedTerm = state.Snapshot.Index, state.Snapshot.Index, state.Snapshot.Term
	g.snapshotBytes = uint64(len(state.Snapshot.Data))
	g.node = consensus.New(consensus.Config{
		ID:             g.cfg.ID,
		Disk:           g.disk,
		ElectionTicks:  g.cfg.ticks(electionTimeout),
		StartTicks:     max(g.cfg.ticks(startTimeout), 1),
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
		err := g.processReady(ctx)
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.cfg.Logger.Error("consensus member stops", "error", err)
			return err
		}
		if !g.processInput(ctx) {
			return nil
		}
		g.drainQueues()
		g.startConfirm()
	}
}

// alwaysReady is a closed channel.
var alwaysReady = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// processInput waits for one input and processes it. It doesn't wait while the node
// has work left. It returns false if ctx ended.
func (g *Group) processInput(ctx context.Context) bool {
	var work chan struct{}
	if g.node.HasReady() {
		work = alwaysReady
	}
	select {
	case <-ctx.Done():
		return false
	case <-g.ticker.C:
		g.tick()
	case m := <-g.inbox:
		g.node.Step(m)
	case p := <-g.proposals:
		g.appendOrReject(p)
	case c := <-g.confirms:
		g.confirm.waiting = append(g.confirm.waiting, c)
	case f := <-g.loopCalls:
		f()
	case <-work:
	}
	return true
}

func (g *Group) tick() {
	g.node.Tick()
	g.expireConfirm()
}

// drainQueues processes the inputs that are already queued, so that their
// changes are persisted in one write.
func (g *Group) drainQueues() {
	for range maxDrainBatch {
		select {
		case m := <-g.inbox:
			g.node.Step(m)
		case p := <-g.proposals:
			g.appendOrReject(p)
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

// publishLeadership updates the result of Leadership if it changed. If this
// member no longer leads the term, pending proposals fail with an unknown
// outcome.
func (g *Group) publishLeadership() {
	next := control.Leadership{Leads: g.node.IsLeader(), Term: g.node.Term()}
	if leader := g.node.Leader(); leader != consensus.None {
		next.LeaderID = strconv.FormatUint(uint64(leader), 10)
	}
	next.LeaderAddr = g.links.addrOf(g.node.Leader(), g.node.Membership())
	old, changed := g.setLeadership(next)
	if changed && old.Leads && (!next.Leads || next.Term != old.Term) {
		g.failWaiters(ErrLeadershipLost)
	}
}

// setLeadership sets the result of Leadership. It returns the previous one and whether
// they differ.
func (g *Group) setLeadership(next control.Leadership) (old control.Leadership, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old = g.leadership
	if old.Leads == next.Leads && old.Term == next.Term && old.LeaderAddr == next.LeaderAddr {
		return old, false
	}
	close(g.changed)
	g.changed = make(chan struct{})
	next.Changed = g.changed
	g.leadership = next
	g.cfg.Logger.Info("consensus leadership changed", "leads", next.Leads, "term", next.Term, "leader", next.LeaderAddr)
	return old, true
}
