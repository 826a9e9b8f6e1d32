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

// State is the shared state. Apply and Restore are called by the log, one at a
// time; all other methods may be called at any time.
type State struct {
	limits Limits

	mu    sync.RWMutex
	index uint64
	// nowMS is the newest of the proposers' times. It never goes back.
	nowMS int64
	// base is the log index of the last change that plans depend on; winner is
	// the intent that made it.
	base    uint64
	winner  string
	records *recordStore
	view    *board.View
	// written collects the records written by the entry that is applied.
	written []*pb.Record
	intents *intentStore
	memory  *commandMemory
	claims  *claimStore

	changed chan struct{}
	// recordsIndex is the last index that wrote a record.
	recordsIndex uint64
	// recordsChanged is closed when an entry writes records.
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
	s.memory = newCommandMemory(s.limits.Commands)
	s.claims = newClaimStore(s.limits)
}

// Apply applies one committed entry. The result is a *Result for a command with
// a number or an intent, a []*pb.ClaimReply for claims, a *MalformedError, or
// nil.
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
	default:
		s.applyInternal(&c)
		return nil
	}
}

// applyInternal applies a controller's command.
func (s *State) applyInternal(c *Command) {
	switch {
	case c.Expire:
		s.expirePlans()
	case c.Return:
		s.returnDue()
	case c.Progress != nil:
		s.progress(c.Progress)
	case c.Router != nil:
		s.routerUp(c.Router)
	case c.RouterLost != nil:
		s.routerLost(c.RouterLost)
	case c.Assign != nil:
		s.assign(c.Assign)
	case c.Routes != nil:
		s.route(c.Routes)
	case c.QuietOrder != nil:
		s.order(c.QuietOrder)
	}
}

// put writes a record at the index that is applied.
func (s *State) put(rec *pb.Record) {
	rec.Version = s.index
	s.records.put(rec)
	s.written = append(s.written, rec)
}

func (s *State) remove(key string) {
	old, ok := s.records.records[key]
	if !ok || old.GetDeleted() {
		return
	}
	s.put(&pb.Record{Key: key, Deleted: true})
}

// publish shows what was applied to readers.
func (s *State) publish() {
	view := s.view
	if len(s.written) > 0 {
		next, err := records.Apply(view, s.written)
		if err == nil {
			view = next
		}
		s.written = nil
		s.recordsIndex = s.index
		s.wakeFollowers()
	}
	next := *view
	next.Index = s.index
	s.view = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) wakeFollowers() {
	close(s.recordsChanged)
	s.recordsChanged = make(chan struct{})
}

// bump makes plans on the present base outdated.
func (s *State) bump(winner string) {
	s.base = s.index
	s.winner = winner
}

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

// RecordsIndex returns the last index that wrote a record.
func (s *State) RecordsIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.recordsIndex
}

// ConfigIndex returns the log index that wrote the newest deployment.
func (s *State) ConfigIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.records.records[rpc.KeyDeployment].GetVersion()
}

// Base returns the version that plans are made on.
func (s *State) Base() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.base
}

// Now returns the newest of the proposers' times.
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

// Delta is what brings a router from one index to another.
type Delta struct {
	// Snapshot says that Records are all there is.
	Snapshot bool
	Records  []*pb.Record
	// Index is the index that the records bring the router to.
	Index uint64
}

// Delta returns what a router needs that has applied index since, 0 for a new
// one. The records must not be changed.
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

// Intent returns one intent by its id or its plan's id.
func (s *State) Intent(id string) (api.Intent, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	in, ok := s.intents.find(id)
	if !ok {
		return api.Intent{}, false
	}
	return copyIntent(in), true
}

// StaleIndexError says that an entry or snapshot is older than the state.
type StaleIndexError struct {
	Have, Got uint64
}

// Error describes the failure.
func (e *StaleIndexError) Error() string { return "older than what is applied" }
