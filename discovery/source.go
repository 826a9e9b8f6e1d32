package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rpc"
)

const (
	// heartbeatInterval is the interval between heartbeats to a watcher.
	heartbeatInterval = 400 * time.Millisecond
	// watchTimeout is how long a watched process may send nothing before the watch
	// fails over to another process.
	watchTimeout = 3 * heartbeatInterval
	// watchRetryDelay is the delay before the next process is watched.
	watchRetryDelay = 150 * time.Millisecond
	// readTimeout bounds one read of the whole list.
	readTimeout = 1500 * time.Millisecond
	// pollInterval is the interval between checks whether a read is due or a watch
	// must end.
	pollInterval = 100 * time.Millisecond
)

// Reader reads the whole list of targets from the platform.
type Reader interface {
	Read(ctx context.Context) ([]Target, error)
}

// Source keeps an inventory up to date, by watching another process or by reading
// the list from the platform.
type Source struct {
	Inventory *Inventory
	Reader    Reader
	// Self names this process in the logs of the processes that it watches.
	Self string
	// IsReader reports whether this process reads the list on behalf of others.
	IsReader func() bool
	// Needed reports whether this process needs the list yet. If nil, it always
	// does.
	Needed func() bool
	// Peers returns the addresses of the processes to watch, in order of
	// preference.
	Peers func() []netip.AddrPort
	// ReadInterval is the time between two reads.
	ReadInterval time.Duration
	// MaxListAge is the age of the list at which this process reads it itself.
	MaxListAge time.Duration
	// StartupWait is how long this process waits for an update once it needs the
	// list, before it may read it.
	StartupWait time.Duration
	Log         *slog.Logger
}

// Run watches and reads until ctx is done.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchLoop(ctx) })
	wg.Go(func() { s.readLoop(ctx) })
	wg.Wait()
}

// watchLoop watches the peers in turn until ctx is done.
func (s *Source) watchLoop(ctx context.Context) {
	for i := rpc.InitialPeerIndex(s.Self); ctx.Err() == nil; i++ {
		addrs := s.Peers()
		if len(addrs) > 0 {
			addr, err := s.watch(ctx, rpc.Rotated(addrs, i))
			if ctx.Err() != nil {
				return
			}
			s.Log.Warn("inventory source lost", "addr", addr.String(), "error", err)
		}
		wait.For(ctx, watchRetryDelay)
	}
}

// readLoop reads the list at each ReadInterval while this process is the reader
// or its list is older than MaxListAge, until ctx is done.
func (s *Source) readLoop(ctx context.Context) {
	var lastRead time.Time
	fallback := false
	s.waitUntilNeeded(ctx)
	wait.For(ctx, s.StartupWait)
	for ctx.Err() == nil {
		now := time.Now()
		stale := s.Inventory.List().Age(now) >= s.MaxListAge
		if stale != fallback && !s.IsReader() {
			fallback = stale
			s.Log.Info("inventory read by this process", "reads", stale, "age", s.Inventory.List().Age(now))
		}
		due := now.Sub(lastRead) >= s.ReadInterval
		if due && (s.IsReader() || stale) {
			lastRead = now
			if !s.read(ctx, now) {
				// Add jitter, so that processes that share a rate limit don't retry in
				// lockstep.
				lastRead = lastRead.Add(time.Duration(rand.Int64N(int64(s.ReadInterval))))
			}
		}
		wait.For(ctx, pollInterval)
	}
}

// waitUntilNeeded blocks until this process needs the list or ctx is done.
func (s *Source) waitUntilNeeded(ctx context.Context) {
	for ctx.Err() == nil && s.Needed != nil && !s.Needed() {
		wait.For(ctx, pollInterval)
	}
}

// read reads the list once and reports whether that succeeded. A failed read keeps
// the current list.
func (s *Source) read(ctx context.Context, requestedAt time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	targets, err := s.Reader.Read(ctx)
	if err != nil {
		s.Log.Warn("list not read", "error", err, "age", s.Inventory.List().Age(time.Now()))
		return false
	}
	before := len(s.Inventory.List().Targets)
	s.Inventory.Replace(targets, requestedAt)
	if before != len(targets) {
		s.Log.Info("list read", "targets", len(targets), "before", before)
	}
	return true
}
