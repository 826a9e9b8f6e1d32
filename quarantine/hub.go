package quarantine

import (
	"log/slog"
	"sync"
	"time"
)

// clearTime is how long the leader tells that a request is clear again.
const clearTime = 10 * time.Second

// Hub judges the evidence of all gateways at control's leader and relays it at its other
// members. It implements outlier.UrgentHubTopic and is safe for concurrent use.
type Hub struct {
	log *slog.Logger
	// urgentReport and urgentState have the evidence, or the state, passed on at once.
	urgentReport, urgentState chan struct{}

	mu      sync.Mutex
	relayed map[Fingerprint]report
	// began is when this process began to lead, zero if it doesn't.
	began  time.Time
	ledger *ledger
	// told are the standings that gateways are told.
	told map[Fingerprint]entry
	// clearedAt is when requests that were told of became clear.
	clearedAt map[Fingerprint]time.Time
}

// NewHub returns a hub without evidence.
func NewHub(log *slog.Logger) *Hub {
	return &Hub{
		log: log, urgentReport: make(chan struct{}, 1), urgentState: make(chan struct{}, 1), relayed: make(map[Fingerprint]report),
	}
}

// Name implements outlier.HubTopic.
func (*Hub) Name() string { return TopicName }

// UrgentReport implements outlier.UrgentHubTopic.
func (h *Hub) UrgentReport() <-chan struct{} { return h.urgentReport }

// UrgentState implements outlier.UrgentHubTopic.
func (h *Hub) UrgentState() <-chan struct{} { return h.urgentState }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Add implements outlier.HubTopic. Malformed reports are ignored.
func (h *Hub) Add(message []byte, now time.Time) {
	reports, ok := decodeReport(message)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lead(now)
	for f, r := range reports {
		h.judge(f, r, now)
	}
}

// lead begins to lead if this process doesn't. h.mu must be held.
func (h *Hub) lead(now time.Time) {
	if h.began.IsZero() {
		h.began, h.ledger = now, newLedger()
		h.told, h.clearedAt = make(map[Fingerprint]entry), make(map[Fingerprint]time.Time)
	}
}

// judge applies the evidence of one request. h.mu must be held.
func (h *Hub) judge(f Fingerprint, r report, now time.Time) {
	before := h.told[f]
	s := h.ledger.adopt(f, r, now)
	if s == Clear && before.standing == Clear {
		return
	}
	after := entry{standing: s}
	switch s {
	case Quarantined:
		after.lasts = h.ledger.records[f].period
	case Suspect:
		after.lasts = suspectTime
	case Clear:
		h.clearedAt[f] = now
	}
	if after != before {
		h.told[f] = after
		h.log.Info("request's standing changed", "fingerprint", f.String(), "standing", s.String(), "for", after.lasts)
		signal(h.urgentState)
	}
}

// Collect implements outlier.HubTopic. A member that collects doesn't lead.
func (h *Hub) Collect(message []byte) {
	reports, ok := decodeReport(message)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began, h.ledger, h.told, h.clearedAt = time.Time{}, nil, nil, nil
	for f, r := range reports {
		before, known := h.relayed[f]
		if known || len(h.relayed) < maxRecords {
			h.relayed[f] = before.plus(r)
		}
	}
	signal(h.urgentReport)
}

// Take implements outlier.HubTopic.
func (h *Hub) Take() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.relayed) == 0 {
		return nil
	}
	out := encodeReport(h.relayed)
	clear(h.relayed)
	return out
}

// State implements outlier.HubTopic. It is never empty, so that gateways notice a new
// leader.
func (h *Hub) State(now time.Time) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lead(now)
	h.expire(now)
	return encodeState(h.began, h.told)
}

// expire takes requests off the list when their standing is over. h.mu must be held.
func (h *Hub) expire(now time.Time) {
	h.ledger.expire(now)
	for f, e := range h.told {
		at, cleared := h.clearedAt[f]
		switch {
		case e.standing == Clear && cleared && now.Sub(at) > clearTime:
			delete(h.clearedAt, f)
			delete(h.told, f)
		case e.standing != Clear && h.ledger.records[f] == nil:
			delete(h.told, f)
		}
	}
}
