package ratelimit

import (
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// notice is what a target says of its limit: ended means that it has none any more.
type notice struct {
	limit Limit
	ended bool
}

// uses are the requests offered for a service, and the choices of a target for one.
type uses struct{ offered, choices uint32 }

// sums are what one or several gateways observed since the last report.
type sums struct {
	notices map[Key]notice
	uses    map[string]uses
}

// state is what the leader tells all gateways.
type state struct {
	notices map[Key]notice
	rates   map[string]rates
}

func newSums() *sums { return &sums{notices: make(map[Key]notice), uses: make(map[string]uses)} }

func (s *sums) empty() bool { return len(s.notices)+len(s.uses) == 0 }

// add adds the uses of a service.
func (s *sums) add(name string, u uses) {
	before, known := s.uses[name]
	if !known && len(s.uses) >= maxServices {
		return
	}
	s.uses[name] = uses{offered: before.offered + u.offered, choices: before.choices + u.choices}
}

// merge adds later observations.
func (s *sums) merge(o *sums) {
	for k, n := range o.notices {
		if _, known := s.notices[k]; known || len(s.notices) < maxTargets {
			s.notices[k] = n
		}
	}
	for name, u := range o.uses {
		s.add(name, u)
	}
}

func (s *sums) encode() []byte {
	m := &pb.RateLimitReport{}
	m.Keys, m.Limits = encodeNotices(s.notices)
	for _, name := range slices.Sorted(maps.Keys(s.uses)) {
		m.Services = append(m.Services, name)
		m.Offered = append(m.Offered, s.uses[name].offered)
		m.Choices = append(m.Choices, s.uses[name].choices)
	}
	return marshal(m)
}

// encode returns the state, in the order of keys and names so that equal states have equal
// bytes, nil if there is nothing to tell.
func (s *state) encode() []byte {
	if len(s.notices)+len(s.rates) == 0 {
		return nil
	}
	m := &pb.RateLimitState{}
	m.Keys, m.Limits = encodeNotices(s.notices)
	for _, name := range slices.Sorted(maps.Keys(s.rates)) {
		m.Services = append(m.Services, name)
		m.Offered = append(m.Offered, float32(s.rates[name].offered))
		m.Choices = append(m.Choices, float32(s.rates[name].choices))
		m.RecentChoices = append(m.RecentChoices, float32(s.rates[name].recent))
	}
	return marshal(m)
}

func marshal(m proto.Message) []byte {
	out, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return out
}

// endedLimit is the limit on the wire of a target that has none any more.
const endedLimit = -1

func encodeNotices(notices map[Key]notice) (keys []uint64, limits []float32) {
	for _, k := range slices.Sorted(maps.Keys(notices)) {
		limit := float32(notices[k].limit)
		if notices[k].ended {
			limit = endedLimit
		}
		keys = append(keys, uint64(k))
		limits = append(limits, limit)
	}
	return keys, limits
}

func decodeNotices(keys []uint64, limits []float32) map[Key]notice {
	out := make(map[Key]notice, len(keys))
	for i, k := range keys {
		l := float64(limits[i])
		switch {
		case math.IsNaN(l) || math.IsInf(l, 0):
		case l < 0:
			out[Key(k)] = notice{ended: true}
		default:
			out[Key(k)] = notice{limit: Limit(l)}
		}
	}
	return out
}

// decodeReport returns a report. ok is false if it is malformed.
func decodeReport(message []byte) (s *sums, ok bool) {
	m := &pb.RateLimitReport{}
	if proto.Unmarshal(message, m) != nil || len(m.GetKeys()) != len(m.GetLimits()) {
		return nil, false
	}
	n := len(m.GetServices())
	if len(m.GetOffered()) != n || len(m.GetChoices()) != n {
		return nil, false
	}
	s = newSums()
	s.notices = decodeNotices(m.GetKeys(), m.GetLimits())
	for i, name := range m.GetServices() {
		s.add(name, uses{offered: m.GetOffered()[i], choices: m.GetChoices()[i]})
	}
	return s, true
}

// decodeState returns a state. ok is false if it is malformed.
func decodeState(message []byte) (s *state, ok bool) {
	m := &pb.RateLimitState{}
	if proto.Unmarshal(message, m) != nil || len(m.GetKeys()) != len(m.GetLimits()) {
		return nil, false
	}
	n := len(m.GetServices())
	if len(m.GetOffered()) != n || len(m.GetChoices()) != n || len(m.GetRecentChoices()) != n {
		return nil, false
	}
	s = &state{notices: decodeNotices(m.GetKeys(), m.GetLimits()), rates: make(map[string]rates, n)}
	for i, name := range m.GetServices() {
		s.rates[name] = rates{
			offered: float64(m.GetOffered()[i]), choices: float64(m.GetChoices()[i]), recent: float64(m.GetRecentChoices()[i]),
		}
	}
	return s, true
}
