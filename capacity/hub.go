package capacity

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// stateInterval is the shortest time between two states.
	stateInterval = 200 * time.Millisecond
	// stateBytesPerSecond bounds what one receiver is sent: a state of n bytes stays
	// for at least n/stateBytesPerSecond.
	stateBytesPerSecond = 2048
	// estimateTime is the time between two computations for each target, so that they
	// take about a hundredth of a core with thousands of targets.
	estimateTime = 100 * time.Microsecond
	// maxListed bounds the targets in a state, at about 13 bytes each. The most
	// unusual ones are kept.
	maxListed = 256
	// learnTime is how long a leader learns before its state counts as complete.
	learnTime = 2 * forgetTime
	// idleTime is the time without reports after which a leader begins anew, as one
	// that wasn't the leader meanwhile.
	idleTime = 3 * time.Second
	// loggedPerSecond and loggedBurst bound the log lines.
	loggedPerSecond, loggedBurst = 2, 20
	// largeChange is the factor of a change of speed that is logged.
	largeChange = 1.5
)

// Hub estimates the targets' capacity at control's leader and relays reports at its
// other members. It implements outlier.HubTopic and is safe for concurrent use.
type Hub struct {
	relayed *collector
	log     *slog.Logger
	limit   *rate.Limiter
	nameOf  func(Key) string

	mu        sync.Mutex
	estimator *Estimator
	// beganAt is when this process began to learn, zero if it doesn't, and addedAt
	// when the latest report came.
	beganAt, addedAt time.Time
	state            []byte
	changeAt         time.Time
	// logged holds the estimates that the latest log lines showed.
	logged map[Key]Estimate
}

// NewHub returns a hub without reports. nameOf returns a target's name for the log.
func NewHub(log *slog.Logger, nameOf func(Key) string) *Hub {
	return &Hub{
		relayed: newCollector(maxKept), log: log, limit: rate.NewLimiter(loggedPerSecond, loggedBurst), nameOf: nameOf,
		logged: make(map[Key]Estimate),
	}
}

// Name implements outlier.HubTopic.
func (h *Hub) Name() string { return TopicName }

// Add implements outlier.HubTopic.
func (h *Hub) Add(report []byte, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beganAt.IsZero() || now.Sub(h.addedAt) > idleTime {
		h.estimator, h.beganAt = NewEstimator(), now
	}
	h.addedAt = now
	decodeReport(report, func(p place, s sums) { h.estimator.add(p, s, now) })
}

// Collect implements outlier.HubTopic.
func (h *Hub) Collect(report []byte) { decodeReport(report, h.relayed.add) }

// Take implements outlier.HubTopic.
func (h *Hub) Take() []byte { return encodeReport(h.relayed.take(maxRelayed)) }

// State implements outlier.HubTopic. It returns nil if no gateway reports.
func (h *Hub) State(now time.Time) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beganAt.IsZero() || now.Sub(h.addedAt) > targetTTL {
		return nil
	}
	if now.Before(h.changeAt) {
		return h.state
	}
	estimates := mostUnusual(h.estimator.Estimates(now), maxListed)
	h.logChanges(estimates, now)
	h.state = encodeState(estimates, now.Sub(h.beganAt) >= learnTime)
	h.changeAt = now.Add(max(stateInterval, time.Duration(len(h.state))*time.Second/stateBytesPerSecond,
		time.Duration(len(h.estimator.targets))*estimateTime))
	return h.state
}

// mostUnusual returns at most n estimates, the slowest and most limited ones.
func mostUnusual(all map[Key]Estimate, n int) map[Key]Estimate {
	if len(all) <= n {
		return all
	}
	keys := make([]Key, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(all[b].Speed/all[b].Share, all[a].Speed/all[a].Share), cmp.Compare(a, b))
	})
	out := make(map[Key]Estimate, n)
	for _, k := range keys[:n] {
		out[k] = all[k]
	}
	return out
}

// logChanges logs the targets whose estimates changed by much since the latest line
// about them, up to the rate limit.
func (h *Hub) logChanges(estimates map[Key]Estimate, now time.Time) {
	for key, e := range estimates {
		before, known := h.logged[key]
		if !known {
			before = Usual
		}
		if !isLargeChange(before, e) || !h.limit.AllowN(now, 1) {
			continue
		}
		h.logged[key] = e
		h.log.Info("target's capacity changed", "target", h.nameOf(key), "speed", e.Speed, "limit", e.Limit, "share", e.Share,
			"speed_before", before.Speed, "limit_before", before.Limit, "by", e.Reason.String())
	}
	for key, before := range h.logged {
		if _, still := estimates[key]; still {
			continue
		}
		delete(h.logged, key)
		if !h.limit.AllowN(now, 1) {
			continue
		}
		h.log.Info("target's capacity is usual again", "target", h.nameOf(key), "speed_before", before.Speed, "limit_before", before.Limit)
	}
}

// isLargeChange reports whether a change of a target is worth a log line.
func isLargeChange(before, after Estimate) bool {
	return math.Abs(math.Log(after.Speed/before.Speed)) >= math.Log(largeChange) || (after.Limit == 0) != (before.Limit == 0)
}
