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

// search is one search request that a target is serving.
type search struct {
	t     *Target
	entry Entry
	// budget fires when the time budget of the request has expired.
	budget *time.Timer
	// cancel is closed by a cancel request.
	cancel chan struct{}
	// disconnected is closed when the client closes the connection.
	disconnected <-chan struct{}
	// restarted is closed when the process that accepted the search restarts.
	restarted chan struct{}
	// started is true once the search has a slot and an entry in the ledger.
	started bool
	// work is how long the search had its slot.
	work time.Duration
}

// HashBody returns the xxhash of a request's body in hexadecimal.
func HashBody(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	s, ok := t.parseSearch(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer s.budget.Stop()
	defer t.removeCancel(s.entry.Attempt)
	oneWay := t.oneWay(r)
	time.Sleep(oneWay)
	status := s.run()
	if status == statusLost {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(oneWay)
	s.respond(w, status)
}

// statusLost means that the process ended during the search. The connection is
// aborted without a response.
const statusLost = 0

// oneWay returns the one-way latency between the client of r and the target.
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

// parseSearch reads a search from r and registers it for cancellation. It
// reports false if a header is malformed or the body can't be read.
func (t *Target) parseSearch(r *http.Request) (*search, bool) {
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
		t:            t,
		budget:       time.NewTimer(time.Duration(budget) * time.Microsecond), //nolint:gosec // 63 bits.
		cancel:       make(chan struct{}),
		disconnected: r.Context().Done(),
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

func (t *Target) removeCancel(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, attempt)
}

// run serves the search and returns the HTTP status of the response, or
// statusLost.
func (s *search) run() int {
	slots := s.t.slots
	if status := s.refusal(); status != 0 {
		return status
	}
	admission, ready := slots.acquire(s.restarted)
	switch admission {
	case processLost:
		return statusLost
	case shed:
		s.t.ledger.updateTotals(func(t *Totals) { t.Shed++ })
		return target.StatusShed
	case queued:
		if status := s.wait(ready); status != 0 {
			return status
		}
	case admitted, overloaded:
	}
	return s.serve(admission == overloaded)
}

// refusal returns the status of a search that the target doesn't accept, or 0.
// It also binds the search to the current process.
func (s *search) refusal() int {
	slots := s.t.slots
	slots.mu.Lock()
	defer slots.mu.Unlock()
	s.restarted = slots.restarted
	switch {
	case s.cancelled():
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

// cancelled reports whether the search has been cancelled.
func (s *search) cancelled() bool {
	select {
	case <-s.cancel:
		return true
	default:
		return false
	}
}

// wait waits in the queue. It returns 0 once the search has a slot, and the
// status of the response if the search ends before.
func (s *search) wait(ready chan struct{}) int {
	var status int
	select {
	case <-ready:
		return 0
	case <-s.restarted:
		return statusLost
	case <-s.cancel:
		status = target.StatusCancelled
	case <-s.budget.C:
		status = target.StatusTooLate
	case <-s.disconnected:
		status = target.StatusCancelled
	}
	if !s.t.slots.dequeue(ready) {
		s.t.slots.release(0, s.restarted)
	}
	return status
}

// serve occupies the slot for a random service time or until the search ends
// early, and returns the status of the response.
func (s *search) serve(overload bool) int {
	slots, ledger := s.t.slots, s.t.ledger
	service, inFlight, ok := slots.startService(s.restarted, overload)
	if !ok {
		return statusLost
	}
	s.started = true
	s.entry.StartedAt = time.Now()
	index := ledger.start(s.entry, inFlight, overload)
	timer := time.NewTimer(service)
	defer timer.Stop()
	status, state := http.StatusOK, Answered
	select {
	case <-timer.C:
	case <-s.restarted:
		status, state = statusLost, Lost
	case <-s.cancel:
		status, state = target.StatusCancelled, Cancelled
	case <-s.disconnected:
		status, state = target.StatusCancelled, Cancelled
	case <-s.budget.C:
		status, state = target.StatusTooLate, TooLate
	}
	now := time.Now()
	ledger.finish(index, state, now)
	s.work = now.Sub(s.entry.StartedAt)
	slots.release(s.work, s.restarted)
	return status
}

// respond writes the response with the headers of the target protocol.
func (s *search) respond(w http.ResponseWriter, status int) {
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
	} else {
		h.Set(target.HeaderWork, strconv.FormatInt(s.work.Microseconds(), 10))
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

// serveCancel cancels the search with the attempt number of the request, if it
// still runs. The response is 200 in either case.
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
