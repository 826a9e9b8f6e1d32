package clientlimit

import (
	"cmp"
	"slices"
	"time"
)

// maxServed bounds the answered requests that count for a client.
const maxServed = 64

// Holder is what one client holds at a moment.
type Holder struct {
	Bytes int64
	// Waiting is the time since the client last completed a step: opened the connection,
	// began a head or a body, or took its answer.
	Waiting time.Duration
	// Served is the number of requests on the connection that were answered.
	Served int64
	// Closable means that closing the connection cuts no request that was handed on.
	Closable bool
}

// weight is what the client holds in relation to its progress: byte seconds for each
// answered request.
func (h *Holder) weight() float64 {
	return float64(h.Bytes) * h.Waiting.Seconds() / float64(1+min(h.Served, maxServed))
}

// Choice is which clients to close.
type Choice struct {
	// Victims are the places of the clients.
	Victims []int
	// Freed is how many bytes they hold.
	Freed int64
	// Refuse means that the client that asks for bytes has a greater weight than those that
	// would have to be closed next, and is refused.
	Refuse bool
}

// ChooseBytes chooses the clients of the greatest weight until most bytes are free, or
// until only the one at the place self, which asks for need of them, would be next. self is
// -1 if nobody asks.
func ChooseBytes(holders []Holder, self int, need, most int64) Choice {
	var c Choice
	for _, w := range byWeight(holders) {
		i := w.place
		if c.Freed >= most {
			break
		}
		if i == self {
			c.Refuse = c.Freed < need
			break
		}
		c.Victims = append(c.Victims, i)
		c.Freed += holders[i].Bytes
	}
	return c
}

// ChooseConnection returns the place of the client to close for a new connection, -1 if
// none may be closed.
func ChooseConnection(holders []Holder) int {
	best := -1
	for i := range holders {
		if holders[i].Closable && (best < 0 || holders[i].weight() > holders[best].weight()) {
			best = i
		}
	}
	return best
}

// weighted is a holder's place with its weight.
type weighted struct {
	place  int
	weight float64
}

// byWeight returns the places of the closable holders, the greatest weight first. Equal
// ones keep their order.
func byWeight(holders []Holder) []weighted {
	out := make([]weighted, 0, len(holders))
	for i := range holders {
		if holders[i].Closable {
			out = append(out, weighted{place: i, weight: holders[i].weight()})
		}
	}
	slices.SortStableFunc(out, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	return out
}
