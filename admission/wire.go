package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/workspace"
)

// levelUnit is the wire's unit of admitted fractions.
const levelUnit = 1.0 / 1024

// maxLevel bounds an admitted fraction on the wire, in levelUnits.
const maxLevel = 1 << 20

// encode returns the report's message.
func (r *report) encode() []byte {
	out, _ := proto.Marshal(r.proto())
	return out
}

// encodeHistory returns the message of reports for a new leader.
func encodeHistory(h history, now time.Time) []byte {
	m := &pb.AdmissionReport{}
	for _, p := range h {
		age := max(now.Sub(p.at), 0).Milliseconds()
		m.Past = append(m.Past, &pb.AdmissionPast{AgeMs: count(int(age)), Report: p.proto()})
	}
	out, _ := proto.Marshal(m)
	return out
}

func (r *report) proto() *pb.AdmissionReport {
	m := &pb.AdmissionReport{}
	for c, o := range r.offers {
		m.Offers = append(m.Offers, &pb.AdmissionOffer{
			Group: uint64(c.group), Priority: int32(c.priority), Workspace: string(c.workspace), //nolint:gosec // Priorities are small.
			Queries: count(o.queries), Refused: count(o.refused), ExpectedRefused: uint64(max(o.expectedRefused, 0) / levelUnit), ObjectiveUs: microseconds(o.objectives),
		})
	}
	for id, o := range r.targets {
		m.Targets = append(m.Targets, &pb.AdmissionTarget{
			Target: string(id), Slots: count(o.Slots), Answered: count(o.Answered), Failed: count(o.Failed),
			TookUs: microseconds(o.Took), ObjectiveUs: microseconds(o.Objective), Waiting: uint64(count(o.Waiting)),
		})
	}
	for _, g := range r.groups {
		d := &pb.AdmissionGroup{Id: uint64(g.ID), MayLack: count(g.MayLack)}
		for _, s := range g.Services {
			d.Services = append(d.Services, string(s))
		}
		m.Groups = append(m.Groups, d)
	}
	return m
}

// maxPast bounds the periods in a message.
const maxPast = int(historyTime/bucketTime) + 1

// decodeMessage returns the report in a message and the past ones, which came before a
// time. Both are empty if the message is malformed.
func decodeMessage(b []byte, now time.Time) (*report, history) {
	var m pb.AdmissionReport
	if proto.Unmarshal(b, &m) != nil {
		return newReport(), nil
	}
	var h history
	for _, p := range m.GetPast()[:min(len(m.GetPast()), maxPast)] {
		if age := time.Duration(p.GetAgeMs()) * time.Millisecond; age <= historyTime {
			h.add(toReport(p.GetReport()), now.Add(-age))
		}
	}
	return toReport(&m), h
}

// decodeReport returns the report in a message, an empty one if it is malformed.
func decodeReport(b []byte) *report {
	r, _ := decodeMessage(b, time.Time{})
	return r
}

func toReport(m *pb.AdmissionReport) *report {
	r := newReport()
	for _, o := range m.GetOffers() {
		c := offerClass{group: GroupID(o.GetGroup()), priority: int(o.GetPriority()), workspace: workspace.Name(o.GetWorkspace())}
		r.offer(c, offered{queries: int(o.GetQueries()), refused: int(o.GetRefused()), expectedRefused: float64(o.GetExpectedRefused()) * levelUnit, objectives: duration(o.GetObjectiveUs())})
	}
	for _, t := range m.GetTargets() {
		r.observe(discovery.TargetID(t.GetTarget()), Observation{
			Slots: int(t.GetSlots()), Answered: int(t.GetAnswered()), Failed: int(t.GetFailed()),
			Took: duration(t.GetTookUs()), Objective: duration(t.GetObjectiveUs()),
			Waiting: int(min(t.GetWaiting(), math.MaxInt32)),
		})
	}
	for _, g := range m.GetGroups() {
		services := make([]route.ServiceName, len(g.GetServices()))
		for i, s := range g.GetServices() {
			services[i] = route.ServiceName(s)
		}
		r.describe(&Group{ID: GroupID(g.GetId()), Services: services, MayLack: int(g.GetMayLack())})
	}
	return r
}

// encode returns the state's message. Equal states have equal messages.
func (s *state) encode() []byte {
	m := &pb.AdmissionState{Leader: uint64(s.leader), Learning: s.learning}
	for _, name := range slices.Sorted(maps.Keys(s.scarce)) {
		x := &pb.AdmissionScarce{Service: string(name)}
		for _, l := range s.scarce[name] {
			x.Levels = append(x.Levels, &pb.AdmissionLevel{Priority: int32(l.priority), Level: encodeFraction(l.fraction)}) //nolint:gosec // Priorities are small.
		}
		m.Scarce = append(m.Scarce, x)
	}
	for _, w := range slices.Sorted(maps.Keys(s.ratios)) {
		m.Ratios = append(m.Ratios, &pb.AdmissionRatio{Workspace: string(w), Halves: int32(s.ratios[w])})
	}
	for _, id := range slices.Sorted(maps.Keys(s.known)) {
		m.Known = append(m.Known, uint64(id))
	}
	out, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return out
}

// decodeState returns the state in a message, an empty one if it is malformed.
func decodeState(b []byte) *state {
	s := &state{
		scarce: make(map[route.ServiceName]levels), ratios: make(map[workspace.Name]ratio), known: make(map[GroupID]bool),
	}
	var m pb.AdmissionState
	if proto.Unmarshal(b, &m) != nil {
		return s
	}
	for _, x := range m.GetScarce() {
		l := make(levels, 0, len(x.GetLevels()))
		for _, y := range x.GetLevels() {
			l = append(l, level{priority: int(y.GetPriority()), fraction: float64(y.GetLevel()) * levelUnit})
		}
		slices.SortFunc(l, func(a, b level) int { return cmp.Compare(a.priority, b.priority) })
		s.scarce[route.ServiceName(x.GetService())] = l
	}
	s.leader, s.learning = leaderID(m.GetLeader()), m.GetLearning()
	for _, r := range m.GetRatios() {
		s.ratios[workspace.Name(r.GetWorkspace())] = min(max(ratio(r.GetHalves()), minRatio), maxRatio)
	}
	for _, id := range m.GetKnown() {
		s.known[GroupID(id)] = true
	}
	return s
}

func encodeFraction(f float64) uint32 { return uint32(min(max(f/levelUnit, 0), maxLevel)) }

func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) } //nolint:gosec // Bounded.

func microseconds(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) } //nolint:gosec // Not negative.

// duration converts microseconds, bounded to a day.
func duration(us uint64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(min(us, uint64(day.Microseconds()))) * time.Microsecond //nolint:gosec // Bounded.
}
