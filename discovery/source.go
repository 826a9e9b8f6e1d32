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
	// heartbeat is the longest time between two messages to a watcher.
	heartbeat = 400 * time.Millisecond
	// watchSilence is how long a watched process may send nothing before another one
	// is watched.
	watchSilence = 3 * heartbeat
	// watchPause is the time between two processes that can't be watched.
	watchPause = 150 * time.Millisecond
	// readTimeout bounds one reading of the whole list.
	readTimeout = 1500 * time.Millisecond
	// lookInterval is the time between two looks whether to read the list.
	lookInterval = 100 * time.Millisecond
)

// Reader reads the whole list from the platform.
type Reader interface {
	Read(ctx context.Context) ([]Target, error)
}

// Source keeps an inventory current.
type Source struct {
	Inventory *Inventory
	Reader    Reader
	// Self names this process to those it watches.
	Self string
	// IsReader reports whether this process reads the list for others.
	IsReader func() bool
	// Needed reports whether the list is of use to this process yet; nil says always.
	Needed func() bool
	// Peers returns the processes to watch, the best first.
	Peers func() []netip.AddrPort
	// ReadInterval is the time between two readings.
	ReadInterval time.Duration
	// MaxListAge is the age of the list at which this process reads for itself.
	MaxListAge time.Duration
	// StartupWait is how long this process waits for its first list from when one
	// is of use.
	StartupWait time.Duration
	Log         *slog.Logger
}

// Run watches and reads until ctx ends.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchLoop(ctx) })
	wg.Go(func() { s.readLoop(ctx) })
	wg.Wait()
}

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
		wait.For(ctx, watchPause)
	}
}

func (s *Source) readLoop(ctx context.Context) {
	var last time.Time
	alone := false
	s.awaitUse(ctx)
	wait.For(ctx, s.StartupWait)
	for ctx.Err() == nil {
		now := time.Now()
		stale := s.Inventory.List().Age(now) >= s.MaxListAge
		if stale != alone && !s.IsReader() {
			alone = stale
			s.Log.Info("inventory read by this process", "reads", stale, "age", s.Inventory.List().Age(now))
		}
		due := now.Sub(last) >= s.ReadInterval
		if due && (s.IsReader() || stale) {
			last = now
			if !s.read(ctx, now) {
				// Callers of a shared rate must not stay in step.
				last = last.Add(time.Duration(rand.Int64N(int64(s.ReadInterval))))
			}
		}
		wait.For(ctx, lookInterval)
	}
}

// awaitUse waits until a list is of use.
func (s *Source) awaitUse(ctx context.Context) {
	for ctx.Err() == nil && s.Needed != nil && !s.Needed() {
		wait.For(ctx, lookInterval)
	}
}

func (s *Source) read(ctx context.Context, asked time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	targets, err := s.Reader.Read(ctx)
	if err != nil {
		s.Log.Warn("list not read", "error", err, "age", s.Inventory.List().Age(time.Now()))
		return false
	}
	before := len(s.Inventory.List().Targets)
	s.Inventory.Replace(targets, asked)
	if before != len(targets) {
		s.Log.Info("list read", "targets", len(targets), "before", before)
	}
	return true
}
