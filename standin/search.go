package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// search is one search being served.
type search struct {
	t       *Target
	entry   Entry
	budget  *time.Timer
	cancel  chan struct{}
	gone    <-chan struct{}
	lost    chan struct{}
	started bool
}

// HashBody returns the hash by which a Result names its request's body.
func HashBody(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	s, ok := t.parse(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer s.budget.Stop()
	defer t.forget(s.entry.Attempt)
	oneWay := t.oneWay(r)
	time.Sleep(oneWay)
	status := s.run()
	if status == statusLost {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(oneWay)
	s.answer(w, status)
}

// statusLost says that the process was lost; nothing is answered.
const statusLost = 0

func (t *Target) oneWay(r *http.Request) time.Duration {
	if t.opts.OneWayLatency == nil {
		return 0
	}
	client, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return 0
	}
	return t.opts.OneWayLatency(client.Addr())
}

func (t *Target) parse(r *http.Request) (*search, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, false
	}
	h := r.Header
	version, err := strconv.ParseUint(h.Get(target.HeaderIndexVersion), 10, 64)
	if err != nil {
		return nil, false
	}
	budget, err := strconv.ParseUint(h.Get(target.HeaderBudget), 10, 63)
	if err != nil {
		return nil, false
	}
	s := &search{
		t:      t,
		budget: time.NewTimer(time.Duration(budget) * time.Microsecond), //nolint:gosec // 63 bits.
		cancel: make(chan struct{}),
		gone:   r.Context().Done(),
		entry: Entry{
			Attempt:   h.Get(target.HeaderAttempt),
			RequestID: h.Get(target.HeaderRequestID),
			Shard:     topology.ShardID(h.Get(target.HeaderShard)),
			Version:   version,
			BodyHash:  HashBody(body),
		},
	}
	t.mu.Lock()
	t.cancels[s.entry.Attempt] = s.cancel
	t.mu.Unlock()
	return s, true
}

func (t *Target) forget(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, attempt)
}

// run serves the search and returns the status to answer with.
func (s *search) run() int {
	slots := s.t.slots
	if status := s.refusal(); status != 0 {
		return status
	}
	admission, ready := slots.enter(s.lost)
	switch admission {
	case gone:
		return statusLost
	case shed:
		s.t.ledger.count(func(t *Totals) { t.Shed++ })
		return target.StatusShed
	case queued:
		if status := s.wait(ready); status != 0 {
			return status
		}
	case admitted, overloaded:
	}
	return s.serve(admission == overloaded)
}

// refusal returns the status for a search that the target won't take, or 0.
func (s *search) refusal() int {
	slots := s.t.slots
	slots.mu.Lock()
	defer slots.mu.Unlock()
	s.lost = slots.lost
	switch {
	case s.withdrawn():
		return target.StatusCancelled
	case s.entry.Shard != s.t.opts.Shard:
		return http.StatusNotFound
	case slots.draining:
		return target.StatusDraining
	case !slices.Contains(slots.versions, s.entry.Version):
		return target.StatusVersionGone
	}
	return 0
}

// withdrawn reports whether the search was cancelled on its way.
func (s *search) withdrawn() bool {
	select {
	case <-s.cancel:
		return true
	default:
		return false
	}
}

// wait stays in the queue. It returns 0 once the search has its slot.
func (s *search) wait(ready chan struct{}) int {
	var status int
	select {
	case <-ready:
		return 0
	case <-s.lost:
		return statusLost
	case <-s.cancel:
		status = target.StatusCancelled
	case <-s.budget.C:
		status = target.StatusTooLate
	case <-s.gone:
		status = target.StatusCancelled
	}
	if !s.t.slots.abandon(ready) {
		s.t.slots.leave(0, s.lost)
	}
	return status
}

// serve works for the drawn service time.
func (s *search) serve(overload bool) int {
	slots, ledger := s.t.slots, s.t.ledger
	service, inFlight, ok := slots.begin(s.lost, overload)
	if !ok {
		return statusLost
	}
	s.started = true
	s.entry.StartedAt = time.Now()
	place := ledger.begin(s.entry, inFlight, overload)
	timer := time.NewTimer(service)
	defer timer.Stop()
	status, end := http.StatusOK, Answered
	select {
	case <-timer.C:
	case <-s.lost:
		status, end = statusLost, Lost
	case <-s.cancel:
		status, end = target.StatusCancelled, Cancelled
	case <-s.gone:
		status, end = target.StatusCancelled, Cancelled
	case <-s.budget.C:
		status, end = target.StatusTooLate, TooLate
	}
	now := time.Now()
	ledger.end(place, end, now)
	slots.leave(now.Sub(s.entry.StartedAt), s.lost)
	return status
}

func (s *search) answer(w http.ResponseWriter, status int) {
	slots := s.t.slots
	slots.mu.Lock()
	process, versions := slots.process, slots.versions
	slots.mu.Unlock()
	h := w.Header()
	h.Set(target.HeaderAttempt, s.entry.Attempt)
	h.Set(target.HeaderShard, string(s.entry.Shard))
	h.Set(target.HeaderIndexVersion, strconv.FormatUint(s.entry.Version, 10))
	h.Set(target.HeaderProcess, strconv.FormatUint(process, 10))
	h.Set(target.HeaderVersions, joinVersions(versions))
	if !s.started {
		h.Set(target.HeaderStarted, "no")
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	h.Set("Content-Type", "application/json")
	body, _ := json.Marshal(Result{ // A struct of strings and numbers always encodes.
		RequestID: s.entry.RequestID,
		Shard:     s.entry.Shard,
		Target:    s.t.opts.ID,
		Version:   s.entry.Version,
		BodyHash:  s.entry.BodyHash,
	})
	_, _ = w.Write(body)
}

func joinVersions(versions []uint64) string {
	var b strings.Builder
	for i, v := range versions {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(v, 10))
	}
	return b.String()
}

func (t *Target) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(target.HeaderAttempt)
	t.mu.Lock()
	cancel := t.cancels[attempt]
	delete(t.cancels, attempt)
	t.mu.Unlock()
	if cancel != nil {
		close(cancel)
	}
	w.WriteHeader(http.StatusOK)
}
