package outlier

import (
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// percent scales fractions to the percentages of the wire format.
const percent = 100

//nolint:gosec // Counts and shares are small and not negative.
func encodeReport(self string, counts map[Incarnation]Counts) *pb.OutlierReport {
	r := &pb.OutlierReport{Reporter: self}
	for t, c := range counts {
		r.Counts = append(r.Counts, &pb.OutlierCounts{
			Target: string(t.ID), BornUnixMs: t.BornUnixMS,
			Good: uint32(c.Good), Slow: uint32(c.Slow), Failed: uint32(c.Failed), SlownessPercent: uint64(c.SlownessSum * percent),
		})
	}
	return r
}

func decodeCounts(c *pb.OutlierCounts) (Incarnation, Counts) {
	return Incarnation{ID: discovery.TargetID(c.GetTarget()), BornUnixMS: c.GetBornUnixMs()}, Counts{
		Good: int(c.GetGood()), Slow: int(c.GetSlow()), Failed: int(c.GetFailed()),
		SlownessSum: float64(c.GetSlownessPercent()) / percent,
	}
}

func encodeUpdate(c *change) *pb.OutlierUpdate {
	u := &pb.OutlierUpdate{}
	for t, o := range c.changed {
		u.Changed = append(u.Changed, &pb.Outlier{
			Target: string(t.ID), BornUnixMs: t.BornUnixMS,
			SlownessPercent: uint32(o.Slowness * percent), FailingPercent: uint32(o.FailureRate * percent),
		})
	}
	for _, t := range c.removed {
		u.Removed = append(u.Removed, &pb.Outlier{Target: string(t.ID), BornUnixMs: t.BornUnixMS})
	}
	return u
}

func decodeUpdate(u *pb.OutlierUpdate) change {
	c := change{changed: make(map[Incarnation]Outlier)}
	for _, o := range u.GetChanged() {
		c.changed[decodeIncarnation(o)] = Outlier{
			Slowness: float64(o.GetSlownessPercent()) / percent, FailureRate: float64(o.GetFailingPercent()) / percent,
		}
	}
	for _, o := range u.GetRemoved() {
		c.removed = append(c.removed, decodeIncarnation(o))
	}
	return c
}

func decodeIncarnation(o *pb.Outlier) Incarnation {
	return Incarnation{ID: discovery.TargetID(o.GetTarget()), BornUnixMS: o.GetBornUnixMs()}
}
