package quota

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/telemetry"
	"github.com/peridotmux/peridotmux/workspace"
)

const (
	// confirmInterval is the time between two confirmations that this member leads.
	confirmInterval = 150 * time.Millisecond
	// confirmTimeout bounds one confirmation.
	confirmTimeout = 400 * time.Millisecond
)

// Log is the part of control's log that a holder needs.
type Log interface {
	Confirm(ctx context.Context) (index uint64, begun time.Time, err error)
	Leadership() control.Leadership
}

// Record is what holders leave in control's replicated log for their successors.
type Record interface {
	// History returns what holders recorded.
	History() History
	// Set records a mark of the holder and returns once that is committed.
	Set(ctx context.Context, mark Mark) error
}

// Limits are the limits of a configuration's workspaces.
type Limits struct {
	// Version differs for each configuration, and is 0 before the first one.
	Version uint64
	Of      map[workspace.Name]Limit
}

// limited reports whether any workspace has a limit.
func (l Limits) limited() bool {
	for _, x := range l.Of {
		if x.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Rules Rules
	// Leadership returns this member's view of the leadership.
	Leadership func() control.Leadership
	Logger     *slog.Logger
	// Metrics may be the zero value.
	Metrics telemetry.Quota
	// Name names this member in logs, and Others returns the rpc addresses of control's
	// other members. It keeps no credits as a standby if Others is nil.
	Name   string
	Others func() []netip.AddrPort
}

// Server serves the exchange of quotas at a member of control. It is the holder while
// the member leads.
type Server struct {
	pb.DRPCQuotasUnimplementedServer
	cfg   ServerConfig
	clock func() Instant
	// log is set by Run and used by its goroutine only.
	log Record
	// standby keeps credits while another member is the holder.
	standby *standby

	// mu guards the fields below.
	mu       sync.Mutex
	observer Observer
	// holder is nil while this member isn't the holder.
	holder *Holder
	term   uint64
	// version is that of the limits that the holder has.
	version uint64
	// recorded is the holder's last mark. Only Run's goroutine uses it.
	recorded Mark
}

// NewServer returns a server. It is the holder only while Run is running.
func NewServer(c ServerConfig) *Server {
	return &Server{cfg: c, clock: bootTime, standby: newStandby(c)}
}

// Register adds the service to m.
func (s *Server) Register(m drpc.Mux) error { return pb.DRPCRegisterQuotas(m, s) }

// Run follows the leadership until ctx ends. record is the replicated log's, and limits returns the limits in force as far
// as this member knows; the map must not be modified later.
func (s *Server) Run(ctx context.Context, log Log, record Record, limits func() Limits) {
	s.log = record
	done := s.standby.start(ctx)
	defer done()
	for ctx.Err() == nil {
		lead := log.Leadership()
		s.standby.follow(lead.Leads, limits())
		if lead.Leads {
			s.lead(ctx, log, limits, lead.Term)
		} else {
			s.follow(lead)
		}
		waitCtx, cancel := context.WithTimeout(ctx, confirmInterval)
		select {
		case <-lead.Changed:
		case <-waitCtx.Done():
		}
		cancel()
	}
}

// follow observes another member's leadership.
func (s *Server) follow(lead control.Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder != nil {
		s.cfg.Logger.Info("quota holder ends", "term", s.term, "next_term", lead.Term)
		s.holder = nil
	}
	if lead.LeaderID != "" {
		s.observer.Observe(lead.Term, s.clock())
	}
}

// lead confirms that this member leads and applies the configuration's limits.
func (s *Server) lead(ctx context.Context, log Log, limitsNow func() Limits, term uint64) {
	begun, limits := s.clock(), limitsNow()
	isHolder, upToDate := s.state(term, limits.Version)
	if isHolder && upToDate && !limits.limited() {
		return
	}
	if !confirm(ctx, log, term) {
		return
	}
	if !isHolder {
		// Now the state has all that was committed before.
		limits = limitsNow()
		s.begin(term, limits)
	}
	if !s.record(ctx, limits) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.holder.Confirm(begun)
	if !isHolder || limits.Version != s.version {
		s.holder.SetLimits(limits.Of, now)
		s.version = limits.Version
	}
}

// state reports whether this member is the holder in a term, and has the given version
// of the limits. A holder of an earlier term ends.
func (s *Server) state(term, version uint64) (isHolder, upToDate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		s.holder = nil
	}
	return s.holder != nil, s.version == version
}

// confirm reports whether a majority confirmed that this member leads in a term.
func confirm(ctx context.Context, log Log, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, _, err := log.Confirm(ctx); err != nil {
		return false
	}
	// It was not another leader that confirmed.
	lead := log.Leadership()
	return lead.Leads && lead.Term == term
}

// begin makes this member the holder.
func (s *Server) begin(term uint64, limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	start := s.log.History().Start(s.observer.Start(term, s.cfg.Rules))
	s.observer.Observe(term, now)
	s.holder, s.term = NewHolder(s.cfg.Rules, start, now), term
	s.recorded = markNone
	s.cfg.Logger.Info("quota holder begins", "term", term, "start", start.String(), "workspaces", len(limits.Of))
}

// record leaves the holder's marks in the log. It reports whether the holder may grant
// credits.
func (s *Server) record(ctx context.Context, limits Limits) bool {
	s.mu.Lock()
	due := s.holder.mark(s.clock())
	s.mu.Unlock()
	if !limits.limited() || s.recorded >= due {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.log.Set(ctx, s.recorded+1); err != nil {
		s.cfg.Logger.Debug("quota holder not recorded", "error", err)
	} else {
		s.recorded++
	}
	return s.recorded >= MarkGranting
}

// connection is one gateway's stream.
type connection struct {
	holder  *Holder
	session *Session
	gateway string
	// lentAt is when the standby last answered on this stream, 0 before that.
	lentAt Instant
}

// Exchange serves one gateway's session.
func (s *Server) Exchange(stream pb.DRPCQuotas_ExchangeStream) error {
	var c connection
	defer s.close(&c)
	for {
		q, err := stream.Recv()
		if err != nil {
			return err
		}
		if q.GetSeq() == 0 {
			if err := stream.Send(s.lend(&c, q)); err != nil {
				return err
			}
			continue
		}
		reply, last := s.answer(&c, q)
		if reply != nil {
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
	}
}

// answer applies a report. The reply is nil while the leadership isn't confirmed. Last
// means that the session has ended.
func (s *Server) answer(c *connection, q *pb.QuotaReport) (reply *pb.QuotaReply, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if c.session == nil && s.holder != nil {
		c.holder, c.session, c.gateway = s.holder, s.holder.Open(now), q.GetGateway()
		s.cfg.Metrics.Sessions(s.holder.Sessions())
	}
	if c.session == nil || c.holder != s.holder {
		return &pb.QuotaReply{Seq: q.GetSeq(), LeaderAddr: s.cfg.Leadership().LeaderAddr}, true
	}
	reply = s.holder.Report(c.session, q, now)
	granted := 0
	for _, g := range reply.GetGrants() {
		granted += int(g.GetCredits())
	}
	s.cfg.Metrics.Granted(granted)
	return reply, c.session.ended
}

func (s *Server) close(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.session == nil {
		return
	}
	c.holder.Close(c.session)
	s.cfg.Logger.Info("quota session ends", "gateway", c.gateway)
}
