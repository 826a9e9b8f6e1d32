package ratelimit

import (
	"sync"
	"time"
)

// Hub adds the gateways' reports up at control's leader and relays them at its other
// members. It implements outlier.HubTopic and is safe for concurrent use.
type Hub struct {
	mu      sync.Mutex
	relayed *sums
	// beganAt is when this process began to lead, zero if it doesn't, and addedAt when the
	// latest report came.
	beganAt, addedAt time.Time
	targets          map[Key]*toldTarget
	services         map[string]*serviceSums
	state            []byte
	changeAt         time.Time
}

// toldTarget is what a target said of its limit, and when that was reported.
type toldTarget struct {
	notice
	at time.Time
}

// serviceSums are the counts of all gateways for a service since the first report of it.
type serviceSums struct {
	since            time.Time
	offered, choices counter
}

// NewHub returns a hub without reports.
func NewHub() *Hub { return &Hub{relayed: newSums()} }

// Name implements outlier.HubTopic.
func (*Hub) Name() string { return TopicName }

// Add implements outlier.HubTopic. Malformed reports are ignored.
func (h *Hub) Add(report []byte, now time.Time) {
	r, ok := decodeReport(report)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beganAt.IsZero() || now.Sub(h.addedAt) > silenceTime {
		h.beganAt = now
		h.targets, h.services = make(map[Key]*toldTarget), make(map[string]*serviceSums)
	}
	h.addedAt = now
	for k, n := range r.notices {
		if h.targets[k] != nil || len(h.targets) < maxTargets {
			h.targets[k] = &toldTarget{notice: n, at: now}
		}
	}
	for name, u := range r.uses {
		h.count(name, u, now)
	}
}

// count adds what gateways did with a service. h.mu must be held.
func (h *Hub) count(name string, u uses, now time.Time) {
	s := h.services[name]
	if s == nil {
		if len(h.services) >= maxServices {
			return
		}
		s = &serviceSums{since: now, offered: counter{width: rateWidth}, choices: counter{width: rateWidth}}
		h.services[name] = s
	}
	at := now.Sub(h.beganAt)
	s.offered.add(float64(u.offered), at)
	s.choices.add(float64(u.choices), at)
}

// Collect implements outlier.HubTopic. A member that collects doesn't lead.
func (h *Hub) Collect(report []byte) {
	r, ok := decodeReport(report)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beganAt, h.targets, h.services, h.state = time.Time{}, nil, nil, nil
	h.relayed.merge(r)
}

// Take implements outlier.HubTopic.
func (h *Hub) Take() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.relayed.empty() {
		return nil
	}
	r := h.relayed
	h.relayed = newSums()
	return r.encode()
}

// State implements outlier.HubTopic. It returns nil if no target is limited.
func (h *Hub) State(now time.Time) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beganAt.IsZero() {
		return nil
	}
	if now.Before(h.changeAt) {
		return h.state
	}
	h.expire(now)
	h.state = h.current(now).encode()
	h.changeAt = now.Add(max(stateInterval, time.Duration(len(h.state))*time.Second/stateBytesPerSecond))
	return h.state
}

// expire forgets targets and services that nobody reports. h.mu must be held.
func (h *Hub) expire(now time.Time) {
	for k, t := range h.targets {
		if age := now.Sub(t.at); age > limitTTL || t.ended && age > endTime {
			delete(h.targets, k)
		}
	}
	at := now.Sub(h.beganAt)
	for name, s := range h.services {
		if s.offered.sum(at)+s.choices.sum(at) == 0 {
			delete(h.services, name)
		}
	}
}

// current returns what all gateways are told. h.mu must be held.
func (h *Hub) current(now time.Time) *state {
	s := &state{notices: make(map[Key]notice), rates: make(map[string]rates)}
	for k, t := range h.targets {
		s.notices[k] = t.notice
	}
	at := now.Sub(h.beganAt)
	for name, x := range h.services {
		if now.Sub(x.since) >= x.choices.window()+settleTime {
			choices, recent := x.choices.rates(at)
			s.rates[name] = rates{offered: max(x.offered.rates(at)), choices: choices, recent: recent}
		}
	}
	return s
}
