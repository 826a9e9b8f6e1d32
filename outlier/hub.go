package outlier

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/internal/wait"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// judgeInterval is the time between two looks for outliers.
	judgeInterval = 100 * time.Millisecond
	// relayInterval is the time between two reports of a member to its leader.
	relayInterval = 100 * time.Millisecond
)

// Hub serves the exchange at a member of control. The leader judges what all
// report; the others pass reports on and hand out what the leader says.
type Hub struct {
	pb.DRPCOutliersUnimplementedServer
	cfg       HubConfig
	view      *View
	collector *Collector

	mu       sync.Mutex
	detector *Detector
}

// HubConfig is what a hub needs.
type HubConfig struct {
	// Self names this process in the leader's logs.
	Self string
	// IsLeader reports whether this member leads.
	IsLeader func() bool
	// LeaderAddr returns the leader's address, none if it is unknown or this member.
	LeaderAddr func() []netip.AddrPort
	Log        *slog.Logger
}

// NewHub returns a hub. Run must run meanwhile.
func NewHub(c HubConfig) *Hub {
	return &Hub{cfg: c, view: NewView(), collector: NewCollector(), detector: NewDetector()}
}

// Register adds the service.
func (h *Hub) Register(m drpc.Mux) error { return pb.DRPCRegisterOutliers(m, h) }

// Run judges or passes on until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	client := &Client{
		Collector: h.collector, View: h.view, Self: h.cfg.Self, Log: h.cfg.Log, Peers: h.cfg.LeaderAddr,
		Interval: func() time.Duration { return relayInterval },
	}
	go client.Run(ctx)
	for ctx.Err() == nil {
		wait.For(ctx, judgeInterval)
		if h.cfg.IsLeader() {
			h.judge(time.Now())
		}
	}
}

// judge puts the outliers of now into the view.
func (h *Hub) judge(now time.Time) {
	h.mu.Lock()
	next := h.detector.Outliers(now)
	h.mu.Unlock()
	c := compare(h.view.Outliers(), next)
	if c.empty() {
		return
	}
	h.view.replace(c.apply(h.view.Outliers()))
	for t, o := range c.changed {
		h.cfg.Log.Info("target is an outlier", "target", string(t.ID), "slowness", o.Slowness, "failing", o.FailureRate)
	}
	for _, t := range c.removed {
		h.cfg.Log.Info("target is no outlier any more", "target", string(t.ID))
	}
}

// Exchange takes one process's reports and sends it the outliers.
func (h *Hub) Exchange(stream pb.DRPCOutliers_ExchangeStream) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	go func() { cancel(h.receive(stream)) }()
	sent := make(map[Incarnation]Outlier)
	for {
		changed := h.view.Changed()
		c := compare(sent, h.view.Outliers())
		if err := stream.Send(packUpdate(&c)); err != nil {
			return err
		}
		sent = c.apply(sent)
		beat := time.NewTimer(heartbeat)
		select {
		case <-changed:
		case <-beat.C:
		case <-ctx.Done():
			beat.Stop()
			return context.Cause(ctx)
		}
		beat.Stop()
	}
}

func (h *Hub) receive(stream pb.DRPCOutliers_ExchangeStream) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		h.take(r, time.Now())
	}
}

// take judges a report, or keeps it for the leader.
func (h *Hub) take(r *pb.OutlierReport, now time.Time) {
	leads := h.cfg.IsLeader()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range r.GetCounts() {
		t, counts := unpackCounts(c)
		if leads {
			h.detector.Add(t, counts, now)
		} else {
			h.collector.Add(t, counts)
		}
	}
}
