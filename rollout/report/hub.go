package report

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/rollout"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// maxGateways bounds the gateways whose sums are kept.
const maxGateways = 4096

// process identifies one start of a gateway.
type process struct {
	vm          string
	incarnation uint64
}

// following is which steps a gateway follows, as of heardAt.
type following struct {
	incarnation uint64
	steps       map[uint64]Applied
	heardAt     time.Time
}

// Hub collects the counts of all gateways at a member of control. It implements
// outlier.HubTopic and is safe for concurrent use.
type Hub struct {
	mu sync.Mutex
	// leadership differs each time that this member becomes the leader.
	leadership uint64
	start      time.Time
	sums       map[process]map[seriesKey]rollout.Counts
	evidence   map[uint64]*rollout.Evidence
	gateways   map[string]*following
	heardAt    time.Time
	// kept holds the newest reports for the leader.
	kept map[process]*keptReport
}

// keptReport is the newest report of one gateway, on its way to the leader.
type keptReport struct {
	counts  map[seriesKey]rollout.Counts
	applied []*pb.RolloutApplied
}

// NewHub returns a hub without counts.
func NewHub(now time.Time) *Hub {
	h := &Hub{kept: make(map[process]*keptReport)}
	h.Reset(now)
	return h
}

// Reset drops all counts when this member becomes the leader, and makes all gateways
// report theirs.
func (h *Hub) Reset(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leadership, h.start, h.heardAt = rand.Uint64(), now, now
	h.sums = make(map[process]map[seriesKey]rollout.Counts)
	h.evidence = make(map[uint64]*rollout.Evidence)
	h.gateways = make(map[string]*following)
}

// Name implements outlier.HubTopic.
func (h *Hub) Name() string { return topicName }

// State implements outlier.HubTopic.
func (h *Hub) State(time.Time) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, h.leadership)
}

// Add implements outlier.HubTopic. A report that can't be decoded is ignored.
func (h *Hub) Add(report []byte, now time.Time) {
	r := &pb.RolloutReport{}
	if proto.Unmarshal(report, r) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = now
	for _, g := range r.GetGateways() {
		p := process{g.GetVm(), g.GetIncarnation()}
		h.addCounts(p, g.GetCounts(), now)
		h.addApplied(p, g.GetApplied(), now)
	}
}

// addCounts adds what a gateway counted since its last report. h.mu must be held.
func (h *Hub) addCounts(p process, counts []*pb.RolloutCounts, now time.Time) {
	sums := h.sums[p]
	if sums == nil {
		if len(h.sums) >= maxGateways {
			return
		}
		sums = make(map[seriesKey]rollout.Counts)
		h.sums[p] = sums
	}
	for _, c := range counts {
		id, n := decodeCounts(c)
		before, known := sums[id]
		if !known && len(sums) >= maxSeries {
			continue
		}
		e := h.evidence[id.order]
		if e == nil {
			e = rollout.NewEvidence()
			h.evidence[id.order] = e
		}
		sums[id] = n
		e.Add(now.Sub(h.start), id.key, n.Minus(before))
	}
}

// addApplied keeps which steps a gateway follows. h.mu must be held.
func (h *Hub) addApplied(p process, applied []*pb.RolloutApplied, now time.Time) {
	f := h.gateways[p.vm]
	if f == nil || f.incarnation != p.incarnation {
		if f == nil && len(h.gateways) >= maxGateways {
			return
		}
		f = &following{incarnation: p.incarnation, steps: make(map[uint64]Applied)}
		h.gateways[p.vm] = f
	}
	f.heardAt = now
	for _, a := range applied {
		f.steps[a.GetOrder()] = Applied{Order: a.GetOrder(), Step: a.GetStep(), OldInFlight: int(a.GetOldInFlight())}
	}
}

// Collect implements outlier.HubTopic. Sums replace earlier ones of the same gateway.
func (h *Hub) Collect(report []byte) {
	r := &pb.RolloutReport{}
	if proto.Unmarshal(report, r) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range r.GetGateways() {
		p := process{g.GetVm(), g.GetIncarnation()}
		k := h.kept[p]
		if k == nil {
			if len(h.kept) >= maxGateways {
				continue
			}
			k = &keptReport{counts: make(map[seriesKey]rollout.Counts)}
			h.kept[p] = k
		}
		for _, c := range g.GetCounts() {
			id, n := decodeCounts(c)
			k.counts[id] = n
		}
		if len(g.GetApplied()) > 0 {
			k.applied = g.GetApplied()
		}
	}
}

// Take implements outlier.HubTopic.
func (h *Hub) Take() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.kept) == 0 {
		return nil
	}
	r := &pb.RolloutReport{}
	for p, k := range h.kept {
		g := &pb.RolloutGateway{Vm: p.vm, Incarnation: p.incarnation, Applied: k.applied}
		for id, n := range k.counts {
			g.Counts = append(g.Counts, encodeCounts(id, n))
		}
		r.Gateways = append(r.Gateways, g)
	}
	clear(h.kept)
	return encode(r)
}

// Observation is what all gateways reported about one rollout.
type Observation struct {
	Old, New             rollout.Counts
	RecentOld, RecentNew rollout.Counts
	Rate                 float64
	Verdict              rollout.Verdict
	// ReportAge is the time since a gateway last reported.
	ReportAge time.Duration
	// Steps are the steps that the gateways follow that reported within the last
	// followingTime, by VM.
	Steps map[string]Applied
}

// followingTime is how long a gateway's last report counts. It is a few times
// refreshInterval.
const followingTime = 4 * time.Second

// Observe returns what is known about a rollout now.
func (h *Hub) Observe(order uint64, now time.Time) Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, at := h.evidence[order], now.Sub(h.start)
	if e == nil {
		e = rollout.NewEvidence()
	}
	o := Observation{
		Old: e.Total(false), New: e.Total(true),
		RecentOld: e.Recent(at, time.Second, false), RecentNew: e.Recent(at, time.Second, true),
		Rate: e.Rate(at), Verdict: rollout.Judge(e, at), ReportAge: now.Sub(h.heardAt), Steps: make(map[string]Applied),
	}
	for vm, f := range h.gateways {
		if a, ok := f.steps[order]; ok && now.Sub(f.heardAt) <= followingTime {
			o.Steps[vm] = a
		}
	}
	return o
}

// Retain drops the counts of other rollouts than those given.
func (h *Hub) Retain(running map[uint64]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for order := range h.evidence {
		if !running[order] {
			delete(h.evidence, order)
		}
	}
	for p, sums := range h.sums {
		for id := range sums {
			if !running[id.order] {
				delete(sums, id)
			}
		}
		if len(sums) == 0 {
			delete(h.sums, p)
		}
	}
}
