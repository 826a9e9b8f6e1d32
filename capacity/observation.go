package capacity

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// numLevels is the number of load levels that are told apart at one target.
	numLevels = 8
	// maxSlots bounds the slots that a target may state.
	maxSlots = 1 << 16
	// maxTime bounds one relative service time, so that a single response can't
	// dominate a mean.
	maxTime = 8
	// MinFigure is the lower bound of a target's own figure; 1 is usual.
	MinFigure = 0.1
	// MaxFigure is its upper bound.
	MaxFigure = 30.0
	// maxCollected bounds the entries that wait to be reported. More are dropped, so
	// that none waits for more than four reports.
	maxCollected = 4 * maxReported
	// maxReported bounds the entries of one report of a gateway, at about 16 bytes
	// each.
	maxReported = 32
	// maxRelayed bounds the entries of one report of a member to the leader.
	maxRelayed = 512
	// maxKept bounds the entries that a member keeps for its next report.
	maxKept = 4 * maxRelayed
)

// Key identifies one start of a target. Two of 10,000 targets have the same key with
// a probability below 1 in 10^11; they would share an estimate.
type Key uint64

// KeyOf returns the key of a target that started at a time in Unix milliseconds.
func KeyOf(id string, bornUnixMS int64) Key {
	b := append(make([]byte, 0, len(id)+8), id...)
	return Key(xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(bornUnixMS)))) //nolint:gosec // Only hashed.
}

// Sample is what one response tells about its target.
type Sample struct {
	// Slots is the number of requests that the target can run at once, and Load the
	// number that it ran or queued at the response.
	Slots, Load int
	// Time is the service time relative to the usual one.
	Time float64
	// Figure is how long work takes at the target by its own account, 1 as usual, 0
	// if it doesn't say.
	Figure float64
}

// place identifies a target's load level.
type place struct {
	key          Key
	slots, level int
}

// sums are totals over responses.
type sums struct {
	count, figures float64
	time, figure   float64
}

func (s sums) plus(o sums) sums {
	return sums{count: s.count + o.count, figures: s.figures + o.figures, time: s.time + o.time, figure: s.figure + o.figure}
}

func (s sums) times(weight float64) sums {
	return sums{count: s.count * weight, figures: s.figures * weight, time: s.time * weight, figure: s.figure * weight}
}

// levelOf returns the load level of a target with load requests. The last level means
// that requests wait. With up to numLevels-2 slots each number is a level of its own.
func levelOf(load, slots int) int {
	switch {
	case load > slots:
		return numLevels - 1
	case slots <= numLevels-2:
		return max(load, 0)
	default:
		return max(load, 0) * (numLevels - 2) / slots
	}
}

// lowestLoad returns the smallest load of a level.
func lowestLoad(level, slots int) int {
	if slots <= numLevels-2 {
		return level
	}
	return (level*slots + numLevels - 3) / (numLevels - 2)
}

// collector adds up samples until they are reported. It is safe for concurrent use.
type collector struct {
	most   int
	mu     sync.Mutex
	values map[place]sums
	// order lists the places in the order in which they came, so that each is reported
	// in turn if a report has no room for all.
	order []place
}

// newCollector returns a collector of at most most places.
func newCollector(most int) *collector { return &collector{most: most, values: make(map[place]sums)} }

func (c *collector) add(p place, s sums) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.values[p]
	if !known {
		if len(c.values) >= c.most {
			return
		}
		c.order = append(c.order, p)
	}
	c.values[p] = before.plus(s)
}

// take removes and returns up to n places with their sums, in the order of their
// first sample.
func (c *collector) take(n int) ([]place, []sums) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, len(c.order))
	if n == 0 {
		return nil, nil
	}
	places := append([]place(nil), c.order[:n]...)
	c.order = append(c.order[:0], c.order[n:]...)
	values := make([]sums, n)
	for i, p := range places {
		values[i] = c.values[p]
		delete(c.values, p)
	}
	return places, values
}

// sampleOf returns the place and sums of one sample, with its values bounded. It
// returns false if the sample makes no sense.
func sampleOf(key Key, s Sample) (place, sums, bool) {
	if s.Slots < 1 || s.Slots > maxSlots || s.Load < 0 || !(s.Time > 0) {
		return place{}, sums{}, false
	}
	out := sums{count: 1, time: min(s.Time, maxTime)}
	if s.Figure > 0 {
		out.figures, out.figure = 1, min(max(s.Figure, MinFigure), MaxFigure)
	}
	return place{key: key, slots: s.Slots, level: levelOf(s.Load, s.Slots)}, out, true
}
