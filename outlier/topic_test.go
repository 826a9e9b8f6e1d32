package outlier

import (
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sumTopic is a topic whose reports are numbers and whose state is their sum, on both
// sides of the exchange.
type sumTopic struct {
	mu                    sync.Mutex
	reported, kept, total int
	state                 string
}

func (s *sumTopic) Name() string { return "sum" }

func (s *sumTopic) take(n *int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return nil
	}
	out := strconv.AppendInt(nil, int64(*n), 10)
	*n = 0
	return out
}

func (s *sumTopic) add(to *int, report []byte) {
	n, _ := strconv.Atoi(string(report))
	s.mu.Lock()
	defer s.mu.Unlock()
	*to += n
}

func (s *sumTopic) Report() []byte                 { return s.take(&s.reported) }
func (s *sumTopic) Take() []byte                   { return s.take(&s.kept) }
func (s *sumTopic) Add(report []byte, _ time.Time) { s.add(&s.total, report) }
func (s *sumTopic) Collect(report []byte)          { s.add(&s.kept, report) }

func (s *sumTopic) State(time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.AppendInt(nil, int64(s.total), 10)
}

func (s *sumTopic) Apply(state []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = string(state)
}

func (s *sumTopic) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// A topic's reports must reach the leader once, through another member too, its state
// must reach routers at every member, and a lost member must clear it.
func TestTopicReachesAllRouters(t *testing.T) {
	leader := startMemberWith(t, func() []netip.AddrPort { return nil }, &sumTopic{})
	leader.isLeader.Store(true)
	follow := func() []netip.AddrPort { return []netip.AddrPort{leader.addr} }
	a := startMemberWith(t, follow, &sumTopic{})
	near, far := &sumTopic{reported: 2}, &sumTopic{reported: 5}
	startClientWith(t, leader.addr, near)
	startClientWith(t, a.addr, far)
	waitFor(t, "both routers have the sum", func() bool { return near.get() == "7" && far.get() == "7" })
	a.stop()
	waitFor(t, "the lost member's state is cleared", func() bool { return far.get() == "" })
	if got := near.get(); got != "7" {
		t.Errorf("state %q at the other member, want 7", got)
	}
}

// followingTopic is a topic that keeps what it is told of the leader.
type followingTopic struct {
	sumTopic
	followed []string
}

func (f *followingTopic) Followed(state []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = append(f.followed, string(state))
}

func (f *followingTopic) last() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.followed) == 0 {
		return "none"
	}
	return f.followed[len(f.followed)-1]
}

// A member's topic must be told of the leader's state, of its loss and of the next
// leader's state, or it can't tell a new leader what it needs.
func TestTopicFollowsLeader(t *testing.T) {
	first := startMemberWith(t, func() []netip.AddrPort { return nil }, &sumTopic{total: 1})
	second := startMemberWith(t, func() []netip.AddrPort { return nil }, &sumTopic{total: 2})
	first.isLeader.Store(true)
	second.isLeader.Store(true)
	var leader atomic.Pointer[[]netip.AddrPort]
	leader.Store(&[]netip.AddrPort{first.addr})
	topic := &followingTopic{}
	startMemberWith(t, func() []netip.AddrPort { return *leader.Load() }, topic)
	waitFor(t, "the first leader is followed", func() bool { return topic.last() == "1" })
	leader.Store(&[]netip.AddrPort{})
	waitFor(t, "the loss is known", func() bool { return topic.last() == "" })
	leader.Store(&[]netip.AddrPort{second.addr})
	waitFor(t, "the second leader is followed", func() bool { return topic.last() == "2" })
}

func startClientWith(t *testing.T, addr netip.AddrPort, topics ...Topic) {
	t.Helper()
	startClientTo(t, func() []netip.AddrPort { return []netip.AddrPort{addr} }, topics...)
}

func startClientTo(t *testing.T, peers func() []netip.AddrPort, topics ...Topic) {
	t.Helper()
	c := &Client{
		Collector: NewCollector(), View: NewView(), Self: "r", Peers: peers,
		Interval: func() time.Duration { return 20 * time.Millisecond }, Topics: topics, Log: slog.New(slog.DiscardHandler),
	}
	go c.Run(t.Context())
}

// urgentTopic is a topic whose reports and states are all urgent.
type urgentTopic struct {
	sumTopic
	report, state chan struct{}
}

func newUrgentTopic() *urgentTopic {
	return &urgentTopic{report: make(chan struct{}, 1), state: make(chan struct{}, 1)}
}

func (u *urgentTopic) Urgent() <-chan struct{}       { return u.report }
func (u *urgentTopic) UrgentReport() <-chan struct{} { return u.report }
func (u *urgentTopic) UrgentState() <-chan struct{}  { return u.state }

func (u *urgentTopic) Add(report []byte, now time.Time) {
	u.sumTopic.Add(report, now)
	u.state <- struct{}{}
}

func (u *urgentTopic) Collect(report []byte) {
	u.sumTopic.Collect(report)
	u.report <- struct{}{}
}

// An urgent report must not wait for the interval of reports.
func TestUrgentReportIsSentAtOnce(t *testing.T) {
	leader := startMemberWith(t, func() []netip.AddrPort { return nil }, newUrgentTopic())
	leader.isLeader.Store(true)
	a := startMemberWith(t, func() []netip.AddrPort { return []netip.AddrPort{leader.addr} }, newUrgentTopic())
	topic := newUrgentTopic()
	c := &Client{
		Collector: NewCollector(), View: NewView(), Self: "r", Peers: func() []netip.AddrPort { return []netip.AddrPort{a.addr} },
		Interval: func() time.Duration { return time.Hour }, Topics: []Topic{topic}, Log: slog.New(slog.DiscardHandler),
	}
	go c.Run(t.Context())
	waitFor(t, "the member is connected", func() bool { return topic.get() == "0" })
	topic.add(&topic.reported, []byte("3"))
	topic.report <- struct{}{}
	waitFor(t, "the sum is known", func() bool { return topic.get() == "3" })
}
