package capacity

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/peridotmux/peridotmux/rpc/pb"
)

// percent scales relative values to the percentages of the wire format.
const percent = 100

// encodeReport returns a report, nil if there is nothing to report.
//
//nolint:gosec // All values are bounded and not negative.
func encodeReport(places []place, values []sums) []byte {
	if len(places) == 0 {
		return nil
	}
	r := &pb.CapacityReport{}
	for i, p := range places {
		r.Keys = append(r.Keys, uint64(p.key))
		r.Slots = append(r.Slots, uint32(p.slots))
		r.Levels = append(r.Levels, uint32(p.level))
		r.Counts = append(r.Counts, uint32(values[i].count))
		r.TimePercent = append(r.TimePercent, uint32(values[i].time*percent))
		r.Figures = append(r.Figures, uint32(values[i].figures))
		r.FigurePercent = append(r.FigurePercent, uint32(values[i].figure*percent))
	}
	out, err := proto.Marshal(r)
	if err != nil {
		return nil
	}
	return out
}

// decodeReport calls add for each entry of a report. Malformed reports, and entries
// out of range, are ignored.
func decodeReport(report []byte, add func(place, sums)) {
	r := &pb.CapacityReport{}
	if proto.Unmarshal(report, r) != nil {
		return
	}
	n := len(r.GetKeys())
	for _, list := range [][]uint32{r.GetSlots(), r.GetLevels(), r.GetCounts(), r.GetTimePercent(), r.GetFigures(), r.GetFigurePercent()} {
		if len(list) != n {
			return
		}
	}
	for i, key := range r.GetKeys() {
		p := place{key: Key(key), slots: int(r.GetSlots()[i]), level: int(r.GetLevels()[i])}
		s := sums{
			count: float64(r.GetCounts()[i]), time: float64(r.GetTimePercent()[i]) / percent,
			figures: float64(r.GetFigures()[i]), figure: float64(r.GetFigurePercent()[i]) / percent,
		}
		if p.slots < 1 || p.slots > maxSlots || p.level >= numLevels || s.count < 1 || s.figures > s.count ||
			s.time > s.count*maxTime || s.figure > s.figures*MaxFigure {
			continue
		}
		add(p, s)
	}
}

// encodeState returns the state with the estimates, in the order of their keys so
// that equal states have equal bytes.
//
//nolint:gosec // All values are bounded and not negative.
func encodeState(estimates map[Key]Estimate, complete bool) []byte {
	keys := make([]Key, 0, len(estimates))
	for k := range estimates {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a, b) })
	s := &pb.CapacityState{Complete: complete}
	for _, k := range keys {
		e := estimates[k]
		s.Keys = append(s.Keys, uint64(k))
		s.SpeedPercent = append(s.SpeedPercent, uint32(e.Speed*percent))
		s.Limits = append(s.Limits, uint32(e.Limit))
		s.SharePercent = append(s.SharePercent, uint32(e.Share*percent))
		s.Reasons = append(s.Reasons, uint32(e.Reason))
	}
	out, err := proto.Marshal(s)
	if err != nil {
		return nil
	}
	return out
}

// decodeState returns the estimates of a state and whether it is complete. ok is
// false if the state is malformed.
func decodeState(state []byte) (estimates map[Key]Estimate, complete, ok bool) {
	s := &pb.CapacityState{}
	if proto.Unmarshal(state, s) != nil {
		return nil, false, false
	}
	n := len(s.GetKeys())
	for _, list := range [][]uint32{s.GetSpeedPercent(), s.GetLimits(), s.GetSharePercent(), s.GetReasons()} {
		if len(list) != n {
			return nil, false, false
		}
	}
	estimates = make(map[Key]Estimate, n)
	for i, k := range s.GetKeys() {
		estimates[Key(k)] = Estimate{
			Speed: min(max(float64(s.GetSpeedPercent()[i])/percent, MinFigure), MaxFigure),
			Limit: int(min(s.GetLimits()[i], maxSlots)), Share: min(float64(s.GetSharePercent()[i])/percent, 1),
			Reason: Reason(s.GetReasons()[i] & 0xff), //nolint:gosec // Masked.
		}
	}
	return estimates, s.GetComplete(), true
}
