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
	// controlInterval is the time between two runs of the controllers.
	controlInterval = 250 * time.Millisecond
	// commandTimeout limits the proposal of one controller command.
	commandTimeout = 2 * time.Second
)

// controllerInput is the state that controllers decide on.
type controllerInput struct {
	view *board.View
	// recordsIndex is an index up to which view contains all records. The view
	// may contain newer ones.
	recordsIndex uint64
	// now has a monotonic reading for intervals; return times use its wall
	// clock.
	now time.Time
	// leadingSince is when this member became the leader.
	leadingSince time.Time
	routers      map[topology.VMName]ReportedRouter
	unsettled    []api.Intent
	// nextPlanExpiry is when the oldest unconfirmed plan expires, zero if there
	// is none.
	nextPlanExpiry time.Time
	logger         *slog.Logger
	metrics        *telemetry.Control
}

// controller makes the decisions on one subject. Controllers are independent of
// each other: they read the controllerInput and change records only through the
// log.
type controller interface {
	decide(input *controllerInput) []state.Command
}

// controlLoop runs the controllers whenever this member is the leader.
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

// lead runs the controllers until this member's leadership of the term ends.
func (s *Service) lead(ctx context.Context, term uint64) {
	s.logger.Info("leads", "term", term)
	leadingSince := time.Now()
	controllers := []controller{
		&routerController{}, &placementController{}, &returnController{}, &planExpiryController{}, newProgressController(),
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
			for _, command := range c.decide(s.controllerInput(leadingSince)) {
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

// controllerInput collects the current input of a controller.
func (s *Service) controllerInput(leadingSince time.Time) *controllerInput {
	// Read the index before the view: the view may be newer than the index, but
	// not older.
	recordsIndex := s.state.RecordsIndex()
	input := &controllerInput{
		view: s.state.View(),

		recordsIndex: recordsIndex,
		now:          time.Now(),
		leadingSince: leadingSince,
		routers:      s.reports.Routers(),
		unsettled:    s.state.UnsettledIntents(),
		logger:       s.logger,
		metrics:      &s.metrics,
	}
	input.nextPlanExpiry, _ = s.state.NextPlanExpiry()
	return input
}

// propose appends a controller's command and reports success. A failed command
// needs no retry, since the controller derives it from the records again.
func (s *Service) propose(ctx context.Context, c *state.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := s.log.Propose(ctx, c.Encode(time.Now())); err != nil {
		s.logger.Warn("decision not recorded", "cause", err)
		return false
	}
	return true
}
