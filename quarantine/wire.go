package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// report is what gateways say of a request: evidence, or for how long an earlier leader told
// them that it is quarantined.
type report struct {
	Evidence
	quarantined time.Duration
}

// plus returns both reports, of which later is the later one.
func (r report) plus(later report) report {
	return report{Evidence: r.Evidence.plus(later.Evidence), quarantined: max(r.quarantined, later.quarantined)}
}

// entry is what the leader tells of a request. lasts is counted from the moment at which
// the standing was found.
type entry struct {
	standing Standing
	lasts    time.Duration
}

// adopt adds a report and returns the request's standing. A request that an earlier leader
// quarantined is quarantined for as long again.
func (l *ledger) adopt(f Fingerprint, r report, now time.Time) Standing {
	if r.quarantined <= 0 || r.Answered || l.records[f] != nil {
		return l.add(f, r.Evidence, now)
	}
	l.add(f, Evidence{Lost: r.Lost, Weak: r.Weak}, now)
	if x := l.records[f]; x != nil {
		x.quarantineFor(min(r.quarantined, maxQuarantineTime), now)
	}
	s, _ := l.standing(f, now)
	return s
}

// byBytes returns the fingerprints in a fixed order, so that equal messages have equal bytes.
func byBytes[V any](m map[Fingerprint]V) []Fingerprint {
	return slices.SortedFunc(maps.Keys(m), func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
}

//nolint:gosec // Counts and durations are bounded and not negative.
func encodeReport(reports map[Fingerprint]report) []byte {
	m := &pb.QuarantineReport{}
	for _, f := range byBytes(reports) {
		r := reports[f]
		m.Evidence = append(m.Evidence, &pb.QuarantineEvidence{
			Fingerprint: f[:], CanaryLost: r.CanaryLost, Again: uint32(r.Again), Weak: r.Weak, Answered: r.Answered,
			QuarantinedMs: uint32(r.quarantined.Milliseconds()),
		})
		for _, t := range r.Lost {
			last := m.Evidence[len(m.Evidence)-1]
			last.Lost = append(last.Lost, uint64(t))
		}
	}
	return marshal(m)
}

func decodeReport(message []byte) (map[Fingerprint]report, bool) {
	m := &pb.QuarantineReport{}
	if proto.Unmarshal(message, m) != nil {
		return nil, false
	}
	out := make(map[Fingerprint]report)
	for _, e := range m.GetEvidence() {
		if len(e.GetFingerprint()) != fingerprintBytes {
			continue
		}
		r := report{
			Evidence:    Evidence{CanaryLost: e.GetCanaryLost(), Again: int(min(e.GetAgain(), maxTargets)), Weak: e.GetWeak(), Answered: e.GetAnswered()},
			quarantined: time.Duration(e.GetQuarantinedMs()) * time.Millisecond,
		}
		for _, t := range e.GetLost()[:min(len(e.GetLost()), maxTargets)] {
			r.Lost = append(r.Lost, Target(t))
		}
		out[Fingerprint(e.GetFingerprint())] = r
	}
	return out, true
}

//nolint:gosec // Durations are bounded and not negative.
func encodeState(leader time.Time, entries map[Fingerprint]entry) []byte {
	m := &pb.QuarantineState{Leader: uint64(leader.UnixNano())}
	for _, f := range byBytes(entries) {
		m.Entries = append(m.Entries, &pb.QuarantineEntry{
			Fingerprint: f[:], Standing: pb.QuarantineStanding(entries[f].standing), ForMs: uint32(entries[f].lasts.Milliseconds()),
		})
	}
	return marshal(m)
}

func decodeState(message []byte) (map[Fingerprint]entry, bool) {
	m := &pb.QuarantineState{}
	if proto.Unmarshal(message, m) != nil {
		return nil, false
	}
	out := make(map[Fingerprint]entry)
	for _, e := range m.GetEntries() {
		s := Standing(e.GetStanding()) //nolint:gosec // Checked below.
		if len(e.GetFingerprint()) == fingerprintBytes && s <= Quarantined {
			out[Fingerprint(e.GetFingerprint())] = entry{standing: s, lasts: time.Duration(e.GetForMs()) * time.Millisecond}
		}
	}
	return out, true
}

func marshal(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return out
}
