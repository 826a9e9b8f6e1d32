package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/target"
)

// sampleHealth records the target's health at every healthSampleInterval until
// ctx ends. Health pages show these samples HealthLag late.
func (t *Target) sampleHealth(ctx context.Context) {
	ticker := time.NewTicker(healthSampleInterval)
	defer ticker.Stop()
	for {
		t.recordHealth(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recordHealth appends the current health and drops the samples that are too
// old to be shown again.
func (t *Target) recordHealth(now time.Time) {
	h := t.currentHealth()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthSamples = append(t.healthSamples, healthSample{at: now, health: h})
	shown := t.shownIndex(now)
	t.healthSamples = slices.Delete(t.healthSamples, 0, shown)
}

// shownIndex returns the index of the sample that a health page shows at now:
// the newest one at least HealthLag old, or the oldest. The caller holds t.mu.
func (t *Target) shownIndex(now time.Time) int {
	shown := 0
	for i, s := range t.healthSamples {
		if now.Sub(s.at) >= t.opts.HealthLag {
			shown = i
		}
	}
	return shown
}

// currentHealth returns the true health, without lag and override.
func (t *Target) currentHealth() target.Health {
	s := t.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	return target.Health{
		Process:  s.process,
		Draining: s.draining,
		Cold:     s.cold,
		InFlight: s.inFlight,
		Versions: slices.Clone(s.versions),
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	h := t.shownHealth(time.Now())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h)
}

// shownHealth returns the lagging sample with the override applied.
func (t *Target) shownHealth(now time.Time) target.Health {
	current := t.currentHealth()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := current
	if len(t.healthSamples) > 0 {
		h = t.healthSamples[t.shownIndex(now)].health
	}
	if t.healthOverride != nil {
		h = t.healthOverride(h)
	}
	return h
}
