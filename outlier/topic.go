package outlier

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// Topic is something else that routers report and are told over the same
// connections as outliers. What a topic carries is approximate: reports may be lost,
// and states arrive late or not at all. Its methods are called by several goroutines.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Report returns what was observed since the last call, nil if nothing was.
	Report() []byte
	// Apply replaces the state that control sends. It is nil when the connection is
	// lost, or when control has no state.
	Apply(state []byte)
}

// HubTopic is a topic at a member of control. Its methods are called by several
// goroutines.
type HubTopic interface {
	Name() string
	// Add applies a report at the leader.
	Add(report []byte, now time.Time)
	// Collect keeps a report at another member, and Take returns all that were kept
	// since the last call as one report, nil if there are none.
	Collect(report []byte)
	Take() []byte
	// State returns what the leader tells all routers. It is sent when it differs
	// from the previous one.
	State(now time.Time) []byte
}

// HubFollower is a HubTopic that is told what its member hears of the leader, before the
// routers are. The state is nil while the leader isn't connected. The first state after
// that may come from another leader.
type HubFollower interface {
	Followed(state []byte)
}

// UrgentTopic is a Topic some of whose reports can't wait for the next interval.
type UrgentTopic interface {
	Topic
	// Urgent returns a channel that has an element when a report is to be sent at once.
	Urgent() <-chan struct{}
}

// UrgentHubTopic is a HubTopic some of whose reports and states can't wait.
type UrgentHubTopic interface {
	HubTopic
	// UrgentReport returns a channel that has an element when what was collected is to be
	// passed on at once, and UrgentState one that has when the state is.
	UrgentReport() <-chan struct{}
	UrgentState() <-chan struct{}
}

// urgent returns the channel of the topic that has urgent reports, nil if none has. There
// is one at most.
func urgent(topics []Topic) <-chan struct{} {
	for _, t := range topics {
		if u, ok := t.(UrgentTopic); ok {
			if c := u.Urgent(); c != nil {
				return c
			}
		}
	}
	return nil
}

// takeReports returns the topics' reports. Topics without a report are left out.
func takeReports(topics []Topic) []*pb.TopicPayload {
	var out []*pb.TopicPayload
	for _, t := range topics {
		if report := t.Report(); report != nil {
			out = append(out, &pb.TopicPayload{Name: t.Name(), Payload: report})
		}
	}
	return out
}

// applyStates passes states to their topics. States of unknown topics, which newer
// members may send, are ignored.
func applyStates(topics []Topic, states []*pb.TopicPayload) {
	for _, s := range states {
		for _, t := range topics {
			if t.Name() == s.GetName() {
				t.Apply(s.GetPayload())
			}
		}
	}
}

func clearStates(topics []Topic) {
	for _, t := range topics {
		t.Apply(nil)
	}
}

// topicStates holds the newest state of each topic at a member. It is safe for
// concurrent use.
type topicStates struct {
	mu      sync.Mutex
	states  map[string][]byte
	changed chan struct{}
}

func newTopicStates() *topicStates {
	return &topicStates{states: make(map[string][]byte), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (s *topicStates) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// all returns the states by topic. The map must not be modified.
func (s *topicStates) all() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states
}

// set stores the state of a topic.
func (s *topicStates) set(name string, state []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes.Equal(s.states[name], state) {
		return
	}
	next := maps.Clone(s.states)
	next[name] = state
	s.states = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// changedStates returns the states that differ from those sent before, by name.
func changedStates(sent, now map[string][]byte) []*pb.TopicPayload {
	var out []*pb.TopicPayload
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if !bytes.Equal(sent[name], now[name]) {
			out = append(out, &pb.TopicPayload{Name: name, Payload: now[name]})
		}
	}
	return out
}

// relayTopic is a HubTopic as its member exchanges it with the leader.
type relayTopic struct {
	HubTopic
	states *topicStates
}

// Report implements Topic.
func (t relayTopic) Report() []byte { return t.Take() }

// Urgent implements UrgentTopic. The channel is nil if no report is urgent.
func (t relayTopic) Urgent() <-chan struct{} {
	if u, ok := t.HubTopic.(UrgentHubTopic); ok {
		return u.UrgentReport()
	}
	return nil
}

// Apply implements Topic.
func (t relayTopic) Apply(state []byte) {
	if f, ok := t.HubTopic.(HubFollower); ok {
		f.Followed(state)
	}
	t.states.set(t.Name(), state)
}

func (h *Hub) relayTopics() []Topic {
	out := make([]Topic, len(h.cfg.Topics))
	for i, t := range h.cfg.Topics {
		out[i] = relayTopic{HubTopic: t, states: h.states}
	}
	return out
}

// updateStates stores the topics' states of the leader.
func (h *Hub) updateStates(now time.Time) {
	for _, t := range h.cfg.Topics {
		h.states.set(t.Name(), t.State(now))
	}
}

// urgentTopic returns the topic that has urgent states and its channel, nil if none has.
// There is one at most.
func (h *Hub) urgentTopic() (HubTopic, <-chan struct{}) {
	for _, t := range h.cfg.Topics {
		if u, ok := t.(UrgentHubTopic); ok {
			return t, u.UrgentState()
		}
	}
	return nil, nil
}

// applyTopics passes reports to their topics.
func (h *Hub) applyTopics(reports []*pb.TopicPayload, isLeader bool, now time.Time) {
	for _, r := range reports {
		for _, t := range h.cfg.Topics {
			switch {
			case t.Name() != r.GetName():
			case isLeader:
				t.Add(r.GetPayload(), now)
			default:
				t.Collect(r.GetPayload())
			}
		}
	}
}
