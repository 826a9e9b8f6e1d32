package discovery

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// Server sends an inventory to watchers.
type Server struct {
	pb.DRPCInventoryUnimplementedServer
	inventory *Inventory
	log       *slog.Logger
}

// NewServer returns a server of an inventory.
func NewServer(v *Inventory, log *slog.Logger) *Server { return &Server{inventory: v, log: log} }

// Register adds the service.
func (s *Server) Register(m drpc.Mux) error { return pb.DRPCRegisterInventory(m, s) }

// Watch sends the list and then what changes until the watcher leaves.
func (s *Server) Watch(q *pb.WatchRequest, stream pb.DRPCInventory_WatchStream) error {
	s.log.Info("inventory watched", "watcher", q.GetWatcher())
	sent := &List{}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	next := &pb.InventoryUpdate{Heartbeat: true}
	for {
		changed := s.inventory.Changed()
		now := s.inventory.List()
		if !now.RequestedAt.IsZero() && now != sent {
			next = update(sent, now, time.Now())
			sent = now
		}
		if next != nil {
			if err := stream.Send(next); err != nil {
				s.log.Info("inventory watcher lost", "watcher", q.GetWatcher(), "error", err)
				return err
			}
			next = nil
		}
		select {
		case <-changed:
		case <-beat.C:
			next = &pb.InventoryUpdate{Heartbeat: true}
		case <-stream.Context().Done():
			s.log.Info("inventory watcher left", "watcher", q.GetWatcher())
			return stream.Context().Err()
		}
	}
}

// update returns what brings a watcher from one list to another.
func update(from, to *List, now time.Time) *pb.InventoryUpdate {
	u := &pb.InventoryUpdate{Whole: from.RequestedAt.IsZero(), AgeUs: microseconds(to.Age(now))}
	for id, t := range to.Targets {
		if old, ok := from.Targets[id]; !ok || !old.same(t) {
			u.Entries = append(u.Entries, pack(t, to.RequestedAt))
		}
	}
	for id := range from.Targets {
		if _, ok := to.Targets[id]; !ok {
			u.Removed = append(u.Removed, string(id))
		}
	}
	return u
}

func microseconds(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) } //nolint:gosec // Not negative.

func pack(t *Target, asked time.Time) *pb.InventoryEntry {
	e := &pb.InventoryEntry{
		Id: string(t.ID), Service: string(t.Service), Addr: t.Addr.String(), DataCentre: string(t.DataCentre),
		Slots: uint32(t.Slots), Draining: t.Draining, BornUnixMs: t.BornUnixMS, //nolint:gosec // A small number.
	}
	if !t.ColdUntil.IsZero() {
		e.ColdUs = microseconds(t.ColdUntil.Sub(asked))
	}
	return e
}

func unpack(e *pb.InventoryEntry, asked time.Time) (Target, error) {
	addr, err := netip.ParseAddrPort(e.GetAddr())
	if err != nil {
		return Target{}, &EntryError{ID: e.GetId(), Reason: err.Error()}
	}
	t := Target{
		ID: TargetID(e.GetId()), Service: route.ServiceName(e.GetService()), Addr: addr,
		DataCentre: topology.DataCentre(e.GetDataCentre()), Slots: int(e.GetSlots()),
		Draining: e.GetDraining(), BornUnixMS: e.GetBornUnixMs(),
	}
	if cold := e.GetColdUs(); cold > 0 {
		t.ColdUntil = asked.Add(time.Duration(cold) * time.Microsecond) //nolint:gosec // Far below the limit.
	}
	return t, nil
}

// EntryError says that an entry of the list can't be read.
type EntryError struct {
	ID     string
	Reason string
}

// Error describes the failure.
func (e *EntryError) Error() string { return "list entry " + e.ID + ": " + e.Reason }

// WatchTimeoutError says that a watched process sent nothing for too long.
type WatchTimeoutError struct {
	Addr  string
	After time.Duration
}

// Error describes the failure.
func (e *WatchTimeoutError) Error() string {
	return "the inventory of " + e.Addr + " was silent for " + e.After.String()
}

// NotWatchedError says that a process is no longer one to watch.
type NotWatchedError struct{ Addr netip.AddrPort }

// Error describes the failure.
func (e *NotWatchedError) Error() string { return e.Addr.String() + " is no longer watched" }

// watch takes updates from the first of several processes that can be reached,
// until that fails, it is silent for too long, or it is no longer one to watch. It
// returns the process.
func (s *Source) watch(ctx context.Context, addrs []netip.AddrPort) (netip.AddrPort, error) {
	v := s.Inventory
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, addr, err := rpc.DialFirst(ctx, addrs)
	if err != nil {
		return addr, err
	}
	defer func() { _ = conn.Close() }()
	end := func(why error) {
		cancel(why)
		_ = conn.Close()
	}
	quiet := time.AfterFunc(watchSilence, func() { end(&WatchTimeoutError{Addr: addr.String(), After: watchSilence}) })
	defer quiet.Stop()
	go s.endWatch(ctx, addr, end)
	stream, err := pb.NewDRPCInventoryClient(conn).Watch(ctx, &pb.WatchRequest{Watcher: s.Self})
	if err != nil {
		return addr, &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return addr, cause
			}
			return addr, &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
		}
		quiet.Reset(watchSilence)
		if err := take(v, u, time.Now()); err != nil {
			return addr, err
		}
	}
}

// endWatch ends the watch of a process that is no longer one to watch. Two that
// watched each other would each hold the other's old list for the newest.
func (s *Source) endWatch(ctx context.Context, addr netip.AddrPort, end func(error)) {
	for ctx.Err() == nil {
		wait.For(ctx, lookInterval)
		if s.IsReader() || !slices.Contains(s.Peers(), addr) {
			end(&NotWatchedError{Addr: addr})
			return
		}
	}
}

func take(v *Inventory, u *pb.InventoryUpdate, now time.Time) error {
	if u.GetHeartbeat() {
		return nil
	}
	asked := now.Add(-time.Duration(u.GetAgeUs()) * time.Microsecond) //nolint:gosec // Far below the limit.
	targets := make([]Target, 0, len(u.GetEntries()))
	for _, e := range u.GetEntries() {
		t, err := unpack(e, asked)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	if u.GetWhole() {
		v.Replace(targets, asked)
		return nil
	}
	removed := make([]TargetID, len(u.GetRemoved()))
	for i, id := range u.GetRemoved() {
		removed[i] = TargetID(id)
	}
	v.ApplyDelta(targets, removed, asked)
	return nil
}
