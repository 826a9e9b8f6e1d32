package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/peridotmux/peridotmux/target"
)

// sampleHealth records the health that later pages show.
func (t *Target) sampleHealth(ctx context.Context) {
	ticker := time.NewTicker(healthSample)
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

func (t *Target) recordHealth(now time.Time) {
	h := t.currentHealth()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health = append(t.health, healthSampleAt{at: now, health: h})
	shown := t.shownAt(now)
	t.health = slices.Delete(t.health, 0, shown)
}

// shownAt returns the place of the sample that a page shows at now.
func (t *Target) shownAt(now time.Time) int {
	shown := 0
	for i, s := range t.health {
		if now.Sub(s.at) >= t.opts.HealthLag {
			shown = i
		}
	}
	return shown
}

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

func (t *Target) shownHealth(now time.Time) target.Health {
	current := t.currentHealth()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := current
	if len(t.health) > 0 {
		h = t.health[t.shownAt(now)].health
	}
	if t.lie != nil {
		h = t.lie(h)
	}
	return h
}
