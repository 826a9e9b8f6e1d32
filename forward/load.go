package forward

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/capacity"
)

const (
	// loadFields is the number of fields of a load report, maxLoadFields that of one
	// with a figure of the target's own.
	loadFields, maxLoadFields = 3, 4
	// usualFigure is the figure of a target that works as usual.
	usualFigure = 100
)

// Load is a target's report of its own load.
type Load struct {
	// Running and Waiting are numbers of requests, Slots is how many can run at
	// once.
	Running, Waiting, Slots int
	// At is when the report arrived, zero if never.
	At time.Time
	// Figure is how long work takes at the target relative to the usual, by its own
	// account. It is 0 if the report has none that can be used.
	Figure float64
	// FigureFault says what was wrong with the figure.
	FigureFault figureFault
}

// figureFault says what was wrong with a target's figure.
type figureFault uint8

// The faults of a figure.
const (
	figureFine figureFault = iota
	// figureAbsent means that the report has no figure.
	figureAbsent
	// figureMalformed means that it is no positive number.
	figureMalformed
	// figureBounded means that it was out of range and the bound is used.
	figureBounded
)

// String returns the fault's name in metrics.
func (f figureFault) String() string {
	switch f {
	case figureAbsent:
		return "absent"
	case figureMalformed:
		return "malformed"
	case figureBounded:
		return "bounded"
	default:
		return "fine"
	}
}

// parseLoad parses the load header. A malformed one gives the zero Load. A figure
// that is malformed is left out, and one that is out of range is bounded.
func parseLoad(text string, now time.Time) Load {
	fields := strings.Split(text, ",")
	if len(fields) != loadFields && len(fields) != maxLoadFields {
		return Load{}
	}
	var n [loadFields]int
	for i, f := range fields[:loadFields] {
		v, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || v < 0 {
			return Load{}
		}
		n[i] = v
	}
	l := Load{Running: n[0], Waiting: n[1], Slots: n[2], At: now, FigureFault: figureAbsent}
	if len(fields) == maxLoadFields {
		l.Figure, l.FigureFault = parseFigure(strings.TrimSpace(fields[loadFields]))
	}
	return l
}

// parseFigure returns a figure relative to the usual one, and what is wrong with it.
func parseFigure(text string) (float64, figureFault) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v <= 0 {
		return 0, figureMalformed
	}
	figure := v / usualFigure
	if bounded := min(max(figure, capacity.MinFigure), capacity.MaxFigure); bounded != figure {
		return bounded, figureBounded
	}
	return figure, figureFine
}
