package service

import (
	"context"
	"log/slog"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// controlInterval is the time between two decisions of the controllers.
	controlInterval = 250 * time.Millisecond
	// commandTimeout bounds the time that the log takes for a decision.
	commandTimeout = 2 * time.Second
)

// facts is what controllers decide on.
type facts struct {
	view *board.View
	// recordsIndex is an index up to which view has all records.
	recordsIndex uint64
	// now is the monotonic time, and the wall clock for return times.
	now time.Time
	// leading is when this member began to lead.
	leading   time.Time
	routers   map[topology.VMName]ReportedRouter
	unsettled []api.Intent
	// planExpires is when the oldest plan expires, zero if there is none.
	planExpires time.Time
	logger      *slog.Logger
	metrics     *telemetry.Control
}

// controller decides on one matter. Controllers don't know of each other: they
// read facts and write records through the log.
type controller interface {
	decide(f *facts) []state.Command
}

// controlLoop runs the controllers while this member leads.
func (s *Service) controlLoop(ctx context.Context) {
	for ctx.Err() == nil {
		lead := s.log.Leadership()
		if lead.Leads {
			s.lead(ctx, lead.Term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-lead.Changed:
		}
	}
}

// lead decides until this member's leadership of the term ends.
func (s *Service) lead(ctx context.Context, term uint64) {
	s.logger.Info("leads", "term", term)
	leading := time.Now()
	controllers := []controller{
		&membership{}, &placer{}, &returns{}, &expiry{}, newProgress(),
	}
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	for {
		lead := s.log.Leadership()
		if !lead.Leads || lead.Term != term {
			s.logger.Info("no longer leads", "term", term)
			return
		}
		for _, c := range controllers {
			for _, command := range c.decide(s.facts(leading)) {
				if !s.propose(ctx, &command) {
					break
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-lead.Changed:
		}
	}
}

func (s *Service) facts(leading time.Time) *facts {
	// The index is taken first: the view may be newer, but not older.
	newest := s.state.RecordsIndex()
	f := &facts{
		view: s.state.View(),

		recordsIndex: newest,
		now:          time.Now(),
		leading:      leading,
		routers:      s.reports.Routers(),
		unsettled:    s.state.UnsettledIntents(),
		logger:       s.logger,
		metrics:      &s.metrics,
	}
	f.planExpires, _ = s.state.NextPlanExpiry()
	return f
}

// propose appends a decision. A decision that is lost is made again, since it
// follows from the records.
func (s *Service) propose(ctx context.Context, c *state.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := s.log.Propose(ctx, c.Encode(time.Now())); err != nil {
		s.logger.Warn("decision not recorded", "cause", err)
		return false
	}
	return true
}
