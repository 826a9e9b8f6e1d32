package admission

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/workspace"
)

const (
	// classTTL is how long a class of queries without any is kept, groupTTL a group's
	// description, and workspaceTTL a workspace's usual load.
	classTTL     = 2 * time.Second
	groupTTL     = 5 * time.Minute
	workspaceTTL = 10 * time.Minute
	// restartGap is the time without an evaluation after which a member starts anew: it
	// didn't lead meanwhile.
	restartGap = time.Second
	// unreportedTime is how long a new leader assumes that gateways still report to the
	// lost one, which they leave after 1.5 s of silence, most of it before the election's
	// end. unreportedLoad is their load, relative to the others', if the lost member was one
	// of five.
	unreportedTime = 800 * time.Millisecond
	unreportedLoad = 0.25
	// maxCollected is how long reports may wait to be passed on. Members do so ten times
	// a second.
	maxCollected = 500 * time.Millisecond
	// severalServices is the number of overloaded services that single targets don't cause.
	severalServices = 3
	// maxGroups and maxClasses bound the leader's memory.
	maxGroups  = 1024
	maxClasses = 1 << 16
)

// Target is a target that may get requests.
type Target struct {
	ID      discovery.TargetID
	Service route.ServiceName
	// Slots is the number of requests that it handles at once, 0 if unknown.
	Slots int
}

// LeaderConfig configures a Leader.
type LeaderConfig struct {
	// Targets returns the targets that may get requests.
	Targets func(now time.Time) []Target
	Log     *slog.Logger
	// OnScarce receives the number of scarce services when it changes. It may be nil.
	OnScarce func(services int)
}

// Leader estimates the load and the capacity of services from all gateways' reports and
// finds the scarce ones. At a member that doesn't lead it collects reports. It implements
// outlier.HubTopic. It is safe for concurrent use.
type Leader struct {
	cfg LeaderConfig

	mu sync.Mutex
	// relay is used while the member doesn't lead. Its past is what a new leader starts
	// with.
	relay relay
	// replayDue means that the past has reports that the estimates don't contain.
	replayDue bool

	groups   map[GroupID]*knownGroup
	rates    map[offerClass]*rate
	windows  map[discovery.TargetID]*targetWindows
	usual    map[workspace.Name]*usualLoad
	services map[route.ServiceName]*scarcity
	repeats  map[rank]*repeats
	// started is when the member began to lead and evaluatedAt the last evaluation.
	started, evaluatedAt time.Time
}

// knownGroup is a group and when queries were last offered.
type knownGroup struct {
	*Group
	used time.Time
}

// usualLoad is the usual and the present load of a workspace, in seconds of objectives
// per second.
type usualLoad struct {
	average average
	present float64
	ratio   ratio
	used    time.Time
}

// NewLeader returns a leader without any observations.
func NewLeader(c LeaderConfig) *Leader {
	l := &Leader{cfg: c, relay: relay{pending: newReport()}}
	l.reset(time.Time{})
	return l
}

// reset forgets all observations. l.mu must be held.
func (l *Leader) reset(now time.Time) {
	l.groups, l.rates = make(map[GroupID]*knownGroup), make(map[offerClass]*rate)
	l.windows, l.usual = make(map[discovery.TargetID]*targetWindows), make(map[workspace.Name]*usualLoad)
	l.services, l.repeats = make(map[route.ServiceName]*scarcity), make(map[rank]*repeats)
	l.started, l.evaluatedAt = now, now
}

// Name implements outlier.HubTopic.
func (*Leader) Name() string { return topicName }

// Collect implements outlier.HubTopic.
func (l *Leader) Collect(message []byte) { l.collect(message, time.Now()) }

func (l *Leader) collect(message []byte, now time.Time) {
	r := decodeReport(message)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started.IsZero() {
		// This member doesn't lead any more. What it was told as the leader, the others
		// know.
		wereScarce := len(l.services) > 0
		l.reset(time.Time{})
		l.relay.past = nil
		if wereScarce {
			l.reportScarce(0)
		}
	}
	l.relay.collect(r, now)
}

// reportScarce passes the number of scarce services on.
func (l *Leader) reportScarce(services int) {
	if l.cfg.OnScarce != nil {
		l.cfg.OnScarce(services)
	}
}

// Followed implements outlier.HubFollower.
func (l *Leader) Followed(message []byte) {
	var id leaderID
	if len(message) > 0 {
		id = decodeState(message).leader
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay.follow(id)
}

// Take implements outlier.HubTopic.
func (l *Leader) Take() []byte { return l.take(time.Now()) }

func (l *Leader) take(now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.relay.take(now)
}

// Add implements outlier.HubTopic.
func (l *Leader) Add(message []byte, now time.Time) {
	r, past := decodeMessage(message, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart(now)
	if now.Sub(l.started) > historyTime {
		l.relay.past = nil
		l.apply(r, now)
		return
	}
	l.relay.past.add(r, now)
	for _, p := range past {
		l.relay.past.add(p.report, p.at)
	}
	l.replayDue = l.replayDue || len(past) > 0
	l.apply(r, now)
}

// apply adds a report that came at a time. l.mu must be held.
func (l *Leader) apply(r *report, at time.Time) {
	for id, g := range r.groups {
		if l.groups[id] == nil && len(l.groups) < maxGroups {
			l.groups[id] = &knownGroup{Group: g, used: at}
		}
	}
	for c, o := range r.offers {
		if l.rates[c] == nil {
			if len(l.rates) >= maxClasses {
				continue
			}
			l.rates[c] = &rate{bucket: l.bucketAt(at)}
		}
		l.rates[c].add(o, l.bucketAt(at), at)
		if g := l.groups[c.group]; g != nil {
			g.used = at
		}
	}
	for id, o := range r.targets {
		t := l.windows[id]
		if t == nil {
			t = &targetWindows{current: window{from: at}}
			l.windows[id] = t
		}
		t.add(o, at)
	}
}

// restart begins anew if this member didn't lead lately, with what it received as another
// member. l.mu must be held.
func (l *Leader) restart(now time.Time) {
	if l.started.IsZero() || now.Sub(l.evaluatedAt) > restartGap {
		l.reset(now)
		l.replayDue = true
	}
}

// bucketAt returns the number of the bucket for a time.
func (l *Leader) bucketAt(now time.Time) int64 {
	// The offset makes all numbers positive, with room for the buckets before.
	return int64((now.Sub(l.started) + 2*historyTime) / bucketTime)
}

// State implements outlier.HubTopic.
func (l *Leader) State(now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart(now)
	elapsed := now.Sub(l.evaluatedAt)
	l.evaluatedAt = now
	l.expire(now)
	if l.replayDue {
		l.replay(now)
	}
	ratiosChanged := l.updateRatios(elapsed, now)
	d, offered := l.demand(elapsed, now)
	estimates := l.estimate(offered, now)
	capacity := l.updateScarcity(estimates, now)
	s := &state{
		scarce: make(map[route.ServiceName]levels), known: make(map[GroupID]bool),
		leader: leaderID(l.started.UnixNano()), learning: now.Sub(l.started) < learnTime,
	}
	for name, found := range allocate(d, capacity) {
		s.scarce[name] = l.services[name].settle(found, ratiosChanged)
	}
	if len(s.scarce) > 0 {
		s.ratios = l.ratios()
	}
	for id := range l.groups {
		s.known[id] = true
	}
	return s.encode()
}

// updateScarcity applies new estimates and returns the usable capacity of the scarce
// services.
func (l *Leader) updateScarcity(estimates map[route.ServiceName]*estimate, now time.Time) map[route.ServiceName]float64 {
	changed := false
	for name, s := range l.services {
		if estimates[name] == nil {
			if s.scarce {
				l.cfg.Log.Info("service is no longer scarce", "service", string(name), "reason", "no reports")
				changed = true
			}
			delete(l.services, name)
		}
	}
	overloaded := 0
	for _, e := range estimates {
		if e.overloaded() {
			overloaded++
		}
	}
	capacity := make(map[route.ServiceName]float64)
	for name, e := range estimates {
		s := l.service(name)
		if s.update(e, overloaded >= severalServices, now) {
			changed = true
			l.logChange(name, s, e)
		}
		if s.scarce {
			capacity[name] = max(e.usable()-l.unreported(now)*e.offered, minUsed*e.capacity)
		}
	}
	if changed {
		l.reportScarce(len(capacity))
	}
	return capacity
}

// service returns what is known of a service's scarcity.
func (l *Leader) service(name route.ServiceName) *scarcity {
	s := l.services[name]
	if s == nil {
		s = &scarcity{}
		l.services[name] = s
	}
	return s
}

// unreported returns the load that doesn't reach the leader, relative to the one that
// does. Gateways at a lost member admit all queries until they notice the loss.
func (l *Leader) unreported(now time.Time) float64 {
	if now.Sub(l.started) < unreportedTime {
		return unreportedLoad
	}
	return 0
}

func (l *Leader) logChange(name route.ServiceName, s *scarcity, e *estimate) {
	msg := "service is no longer scarce"
	if s.scarce {
		msg = "service is scarce"
	}
	l.cfg.Log.Info(msg, "service", string(name), "offered", e.offered, "capacity", e.capacity, "queue", e.queue)
}

// ratios returns the ratios that aren't 1.
func (l *Leader) ratios() map[workspace.Name]ratio {
	out := make(map[workspace.Name]ratio)
	for name, u := range l.usual {
		if u.ratio != 0 {
			out[name] = u.ratio
		}
	}
	return out
}

// expire removes what wasn't reported for a while.
func (l *Leader) expire(now time.Time) {
	maps.DeleteFunc(l.rates, func(_ offerClass, r *rate) bool { return now.Sub(r.last) > classTTL })
	maps.DeleteFunc(l.groups, func(_ GroupID, g *knownGroup) bool { return now.Sub(g.used) > groupTTL })
	maps.DeleteFunc(l.windows, func(_ discovery.TargetID, t *targetWindows) bool { return now.Sub(t.seen) > targetTTL })
	maps.DeleteFunc(l.usual, func(_ workspace.Name, u *usualLoad) bool { return now.Sub(u.used) > workspaceTTL })
}

// median returns the median of some values, 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
