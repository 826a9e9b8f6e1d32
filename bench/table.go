package bench

import "strconv"

// Table returns the report as rows of cells: a header row, then one row per
// measurement with a column for each measured policy.
func (r *Report) Table() [][]string {
	rows := [][]string{{""}}
	columns := []struct {
		name string
		m    *Measures
	}{{PolicyNaive, r.Naive}, {PolicyProduct, r.Product}, {PolicyStatic, r.Static}}
	for _, c := range columns {
		if c.m == nil {
			continue
		}
		cells := c.m.cells()
		rows[0] = append(rows[0], c.name)
		for i, cell := range cells {
			if len(rows) == i+1 {
				rows = append(rows, []string{cell.name})
			}
			rows[i+1] = append(rows[i+1], strconv.FormatFloat(cell.value, 'g', 5, 64))
		}
	}
	return rows
}

// cell is one measurement; name is its JSON key.
type cell struct {
	name  string
	value float64
}

func (m *Measures) cells() []cell {
	return []cell{
		{"p50_ms", m.P50MS},
		{"p99_ms", m.P99MS},
		{"p999_ms", m.P999MS},
		{"coverage", m.Coverage},
		{"complete", m.Complete},
		{"extra_load", m.ExtraLoad},
		{"refused", float64(m.Refused)},
		{"refused_not_run", float64(m.RefusedNotRun)},
		{"lying_refusals", float64(m.FalseRefusals)},
		{"lying_coverage", float64(m.FalseCoverage)},
		{"mixed_snapshots", float64(m.MixedSnapshots)},
		{"crossed", float64(m.MismatchedResults)},
		{"doubled", float64(m.DuplicateRuns)},
		{"lost", float64(m.Lost)},
		{"cold_overloads", float64(m.ColdOverloads)},
		{"quiet_violation_s", m.QuietViolationS},
		{"weighted_service", m.WeightedService},
		{"resent", float64(m.Resent)},
	}
}
