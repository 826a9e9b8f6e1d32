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

// Server streams an inventory to watchers.
type Server struct {
	pb.DRPCInventoryUnimplementedServer
	inventory *Inventory
	log       *slog.Logger
}

// NewServer returns a server for v.
func NewServer(v *Inventory, log *slog.Logger) *Server { return &Server{inventory: v, log: log} }

// Register registers the inventory service on m.
func (s *Server) Register(m drpc.Mux) error { return pb.DRPCRegisterInventory(m, s) }

// Watch sends the whole list, then changes and heartbeats, until the watcher
// disconnects.
func (s *Server) Watch(q *pb.WatchRequest, stream pb.DRPCInventory_WatchStream) error {
	s.log.Info("inventory watched", "watcher", q.GetWatcher())
	sent := &List{}
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	next := &pb.InventoryUpdate{Heartbeat: true}
	for {
		changed := s.inventory.Changed()
		now := s.inventory.List()
		if !now.RequestedAt.IsZero() && now != sent {
			next = newUpdate(sent, now, time.Now())
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

// newUpdate returns the update that changes a watcher's list from one to the
// other, the whole list if from was never read.
func newUpdate(from, to *List, now time.Time) *pb.InventoryUpdate {
	u := &pb.InventoryUpdate{Whole: from.RequestedAt.IsZero(), AgeUs: microseconds(to.Age(now))}
	for id, t := range to.Targets {
		if old, ok := from.Targets[id]; !ok || !old.equivalent(t) {
			u.Entries = append(u.Entries, packTarget(t, to.RequestedAt))
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

// packTarget encodes a target. Times are sent relative to requestedAt, when the
// list was requested, because clocks differ.
func packTarget(t *Target, requestedAt time.Time) *pb.InventoryEntry {
	e := &pb.InventoryEntry{
		Id: string(t.ID), Service: string(t.Service), Addr: t.Addr.String(), DataCentre: string(t.DataCentre),
		Slots: uint32(t.Slots), Draining: t.Draining, BornUnixMs: t.BornUnixMS, Version: t.Version, //nolint:gosec // A small number.
	}
	if !t.ColdUntil.IsZero() {
		e.ColdUs = microseconds(t.ColdUntil.Sub(requestedAt))
	}
	return e
}

// unpackTarget decodes an entry of a list that was requested at requestedAt. The
// error is an *EntryError.
func unpackTarget(e *pb.InventoryEntry, requestedAt time.Time) (Target, error) {
	addr, err := netip.ParseAddrPort(e.GetAddr())
	if err != nil {
		return Target{}, &EntryError{ID: e.GetId(), Reason: err.Error()}
	}
	t := Target{
		ID: TargetID(e.GetId()), Service: route.ServiceName(e.GetService()), Addr: addr,
		DataCentre: topology.DataCentre(e.GetDataCentre()), Slots: int(e.GetSlots()),
		Draining: e.GetDraining(), BornUnixMS: e.GetBornUnixMs(), Version: e.GetVersion(),
	}
	if cold := e.GetColdUs(); cold > 0 {
		t.ColdUntil = requestedAt.Add(time.Duration(cold) * time.Microsecond) //nolint:gosec // Far below the limit.
	}
	return t, nil
}

// EntryError reports an entry of the list that cannot be decoded.
type EntryError struct {
	// ID is empty if the entry has none.
	ID     string
	Reason string
}

// Error implements error.
func (e *EntryError) Error() string { return "list entry " + e.ID + ": " + e.Reason }

// WatchTimeoutError reports that a watched process sent no update or heartbeat in
// time.
type WatchTimeoutError struct {
	Addr  string
	After time.Duration
}

// Error implements error.
func (e *WatchTimeoutError) Error() string {
	return "no inventory update or heartbeat from " + e.Addr + " within " + e.After.String()
}

// NotWatchedError reports that a process should no longer be watched, because it
// is not one of Source.Peers or this process became the reader.
type NotWatchedError struct{ Addr netip.AddrPort }

// Error implements error.
func (e *NotWatchedError) Error() string { return e.Addr.String() + " is no longer watched" }

// watch applies updates from the first reachable process until the stream fails,
// times out, or the process should no longer be watched. It returns the address
// of the process.
func (s *Source) watch(ctx context.Context, addrs []netip.AddrPort) (netip.AddrPort, error) {
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
	silence := time.AfterFunc(watchTimeout, func() { end(&WatchTimeoutError{Addr: addr.String(), After: watchTimeout}) })
	defer silence.Stop()
	go s.endWatchWhenObsolete(ctx, addr, end)
	stream, err := pb.NewDRPCInventoryClient(conn).Watch(ctx, &pb.WatchRequest{Watcher: s.Self})
	if err != nil {
		return addr, &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
	}
	watched := &List{}
	for {
		u, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return addr, cause
			}
			return addr, &rpc.ConnectionLostError{Addr: addr.String(), Cause: err}
		}
		silence.Reset(watchTimeout)
		if u.GetHeartbeat() {
			continue
		}
		watched, err = applyUpdate(watched, u, time.Now())
		if err != nil {
			return addr, err
		}
		s.Inventory.Store(watched)
	}
}

// endWatchWhenObsolete ends the watch once the process should no longer be
// watched. Two processes that watched each other would each take the other's old
// list for the newest one.
func (s *Source) endWatchWhenObsolete(ctx context.Context, addr netip.AddrPort, end func(error)) {
	for ctx.Err() == nil {
		wait.For(ctx, pollInterval)
		if s.IsReader() || !slices.Contains(s.Peers(), addr) {
			end(&NotWatchedError{Addr: addr})
			return
		}
	}
}

// applyUpdate returns the list of a watched process after an update that was
// received at now. watched is that process's list before the update, which may
// differ from the inventory's: this process may have read a list of its own
// meanwhile. The age in the update determines when the list was requested. The
// error is an *EntryError.
func applyUpdate(watched *List, u *pb.InventoryUpdate, now time.Time) (*List, error) {
	requestedAt := now.Add(-time.Duration(u.GetAgeUs()) * time.Microsecond) //nolint:gosec // Far below the limit.
	targets := make([]Target, 0, len(u.GetEntries()))
	for _, e := range u.GetEntries() {
		t, err := unpackTarget(e, requestedAt)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	if u.GetWhole() {
		return newList(targets, requestedAt), nil
	}
	removed := make([]TargetID, len(u.GetRemoved()))
	for i, id := range u.GetRemoved() {
		removed[i] = TargetID(id)
	}
	return watched.withDelta(targets, removed, requestedAt), nil
}
