package state

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// State is the shared state. The log calls Apply and Restore, never
// concurrently; all other methods are safe for concurrent use.
type State struct {
	limits Limits

	mu    sync.RWMutex
	index uint64
	// nowMS is the newest proposer timestamp applied so far, in Unix
	// milliseconds. It never decreases.
	nowMS int64
	// base is the log index of the last change that plans depend on, and
	// baseIntent the ID of the intent that made it.
	base       uint64
	baseIntent string
	records    *recordStore
	view       *board.View
	// written collects the records written by the entry being applied.
	written  []*pb.Record
	intents  *intentStore
	outcomes *commandOutcomes
	claims   *claimStore

	// changed is closed and replaced after each applied entry.
	changed chan struct{}
	// recordsIndex is the index of the last entry that wrote a record.
	recordsIndex uint64
	// recordsChanged is closed and replaced when an entry writes records.
	recordsChanged chan struct{}
}

// New returns an empty state.
func New(limits Limits) *State {
	s := &State{limits: limits, changed: make(chan struct{}), recordsChanged: make(chan struct{})}
	s.reset()
	return s
}

func (s *State) reset() {
	s.records = newRecordStore(s.limits.Tombstones)
	s.view = records.EmptyView()
	s.intents = newIntentStore()
	s.outcomes = newCommandOutcomes(s.limits.Commands)
	s.claims = newClaimStore(s.limits)
}

// Apply applies one committed entry. It returns a *Result for an operator
// command, a []*pb.ClaimReply for claims, a RolloutOutcome for the order of a
// rollout, whether it took effect for a step of one, a *MalformedEntryError, a
// *StaleIndexError, or nil.
func (s *State) Apply(index uint64, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.index {
		return &StaleIndexError{Have: s.index, Got: index}
	}
	s.index = index
	result := s.applyData(data)
	s.publish()
	return result
}

// applyData decodes and applies one entry. An empty entry changes nothing.
func (s *State) applyData(data []byte) any {
	if len(data) == 0 {
		return nil
	}
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return &MalformedEntryError{Index: s.index, Cause: err}
	}
	s.nowMS = max(s.nowMS, c.AtUnixMS)
	switch {
	case c.Submit != nil || c.Confirm != nil || c.Withdraw != nil:
		return s.applyNumbered(&c)
	case c.Claims != nil:
		return s.applyClaims(c.Claims)
	case c.RolloutOrder != nil:
		return s.orderRollout(c.RolloutOrder)
	case c.RolloutStep != nil:
		return s.stepRollout(c.RolloutStep)
	default:
		s.applyInternal(&c)
		return nil
	}
}

// applyInternal applies a command of a controller or of package orders.
func (s *State) applyInternal(c *Command) {
	switch {
	case c.Expire:
		s.expirePlans()
	case c.Return:
		s.endDueQuiet()
	case c.Progress != nil:
		s.recordProgress(c.Progress)
	case c.Router != nil:
		s.recordRouter(c.Router)
	case c.RouterLost != nil:
		s.removeLostRouter(c.RouterLost)
	case c.Assign != nil:
		s.assign(c.Assign)
	case c.Routes != nil:
		s.setRoutes(c.Routes)
	case c.QuietOrder != nil:
		s.applyQuietOrder(c.QuietOrder)
	case c.QuotasSettled != nil:
		s.applyQuotasSettled(*c.QuotasSettled)
	case c.QuotasRestored:
		s.applyQuotasRestored()
	}
}

// put writes rec at the index being applied.
func (s *State) put(rec *pb.Record) {
	rec.Version = s.index
	s.records.put(rec)
	s.written = append(s.written, rec)
}

// remove replaces a live record with a tombstone.
func (s *State) remove(key string) {
	old, ok := s.records.records[key]
	if !ok || old.GetDeleted() {
		return
	}
	s.put(&pb.Record{Key: key, Deleted: true})
}

// publish builds the view of the applied entry and wakes waiting readers.
func (s *State) publish() {
	view := s.view
	if len(s.written) > 0 {
		next, err := records.Apply(view, s.written)
		if err == nil {
			view = next
		}
		s.written = nil
		s.recordsIndex = s.index
		s.notifyRecordWatchers()
	}
	next := *view
	next.Index = s.index
	s.view = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

// notifyRecordWatchers wakes the callers that wait on RecordsChanged.
func (s *State) notifyRecordWatchers() {
	close(s.recordsChanged)
	s.recordsChanged = make(chan struct{})
}

// advanceBase invalidates all plans made on an older base.
func (s *State) advanceBase(intent string) {
	s.base = s.index
	s.baseIntent = intent
}

// now returns the newest proposer timestamp, in UTC. The caller holds mu.
func (s *State) now() time.Time { return time.UnixMilli(s.nowMS).UTC() }

// View returns the current records as one immutable view.
func (s *State) View() *board.View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view
}

// Index returns the last applied log index.
func (s *State) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index
}

// RecordsIndex returns the index of the last entry that wrote a record.
func (s *State) RecordsIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.recordsIndex
}

// ConfigIndex returns the index of the entry that wrote the newest deployment,
// or 0.
func (s *State) ConfigIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.records.records[rpc.KeyDeployment].GetVersion()
}

// Base returns the version that new plans are based on: the index of the last
// change that plans depend on.
func (s *State) Base() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.base
}

// Now returns the newest proposer timestamp, in UTC.
func (s *State) Now() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.now()
}

// Changed returns a channel that is closed when the next entry is applied.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// RecordsChanged returns a channel that is closed when records are written.
func (s *State) RecordsChanged() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.recordsChanged
}

// Delta holds the records that bring a router from one index to another.
type Delta struct {
	// Snapshot is true if Records is the complete set of live records and
	// replaces whatever the router holds.
	Snapshot bool
	Records  []*pb.Record
	// Index is the index the router has reached once it applied Records.
	Index uint64
}

// Delta returns the records written after index since, or a snapshot if since
// is 0 or too old for a delta. Callers must not modify the records.
func (s *State) Delta(since uint64) Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if since > 0 {
		if records, ok := s.records.since(since); ok {
			return Delta{Records: records, Index: s.index}
		}
	}
	return Delta{Snapshot: true, Records: s.records.live(), Index: s.index}
}

// Intents returns the intents, newest first.
func (s *State) Intents() []api.Intent {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.intents.list()
}

// Intent returns one intent by its ID or the ID of its plan.
func (s *State) Intent(id string) (api.Intent, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	in, ok := s.intents.find(id)
	if !ok {
		return api.Intent{}, false
	}
	return copyIntent(in), true
}

// StaleIndexError reports an entry or snapshot that is older than the state.
type StaleIndexError struct {
	Have, Got uint64
}

// Error describes the failure.
func (e *StaleIndexError) Error() string { return "older than the applied index" }
