package outlier

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// detectInterval is the time between two searches for outliers.
	detectInterval = 100 * time.Millisecond
	// relayInterval is the time between two reports of a member to its leader.
	relayInterval = 100 * time.Millisecond
)

// Hub is the server of the exchange at a member of control. The leader finds
// outliers in the reports; the other members forward the reports to it and
// distribute its outliers.
type Hub struct {
	pb.DRPCOutliersUnimplementedServer
	cfg       HubConfig
	view      *View
	collector *Collector
	states    *topicStates

	mu       sync.Mutex
	detector *Detector
}

// HubConfig configures a Hub.
type HubConfig struct {
	// Self names this process in the leader's logs.
	Self string
	// IsLeader reports whether this member is the leader.
	IsLeader func() bool
	// LeaderAddr returns the leader's address, none if it is unknown or if it is
	// this member.
	LeaderAddr func() []netip.AddrPort
	// Topics share the streams.
	Topics []HubTopic
	Log    *slog.Logger
}

// NewHub returns a hub. Run must be running while it serves.
func NewHub(c HubConfig) *Hub {
	return &Hub{cfg: c, view: NewView(), collector: NewCollector(), detector: NewDetector(), states: newTopicStates()}
}

// Register adds the service to m.
func (h *Hub) Register(m drpc.Mux) error { return pb.DRPCRegisterOutliers(m, h) }

// Run finds outliers, or forwards reports to the leader, until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	client := &Client{
		Collector: h.collector, View: h.view, Self: h.cfg.Self, Log: h.cfg.Log, Peers: h.cfg.LeaderAddr,
		Interval: func() time.Duration { return relayInterval },
		Topics:   h.relayTopics(),
	}
	go client.Run(ctx)
	tick := time.NewTicker(detectInterval)
	defer tick.Stop()
	topic, urgentState := h.urgentTopic()
	for {
		select {
		case <-ctx.Done():
			return
		case <-urgentState:
			if h.cfg.IsLeader() {
				h.states.set(topic.Name(), topic.State(time.Now()))
			}
		case <-tick.C:
			if h.cfg.IsLeader() {
				h.detect(time.Now())
				h.updateStates(time.Now())
			}
		}
	}
}

// detect updates the view with the current outliers.
func (h *Hub) detect(now time.Time) {
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

// Exchange receives one process's reports and sends it the outliers and the topics'
// states, on each change and at least once per heartbeatInterval.
func (h *Hub) Exchange(stream pb.DRPCOutliers_ExchangeStream) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	go func() { cancel(h.receive(stream)) }()
	sent := make(map[Incarnation]Outlier)
	var sentStates map[string][]byte
	for {
		changed, statesChanged := h.view.Changed(), h.states.Changed()
		c := compare(sent, h.view.Outliers())
		states := h.states.all()
		u := encodeUpdate(&c)
		u.Topics = changedStates(sentStates, states)
		if err := stream.Send(u); err != nil {
			return err
		}
		sent, sentStates = c.apply(sent), states
		timer := time.NewTimer(heartbeatInterval)
		select {
		case <-changed:
		case <-statesChanged:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
		timer.Stop()
	}
}

func (h *Hub) receive(stream pb.DRPCOutliers_ExchangeStream) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		h.apply(r, time.Now())
	}
}

// apply passes a report to the detector, or collects it for the leader.
func (h *Hub) apply(r *pb.OutlierReport, now time.Time) {
	isLeader := h.cfg.IsLeader()
	h.applyTopics(r.GetTopics(), isLeader, now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range r.GetCounts() {
		t, counts := decodeCounts(c)
		if isLeader {
			h.detector.Add(t, counts, now)
		} else {
			h.collector.Add(t, counts)
		}
	}
}
