package owner

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmux/peridotmux/topology"
)

// With every lane full, each kind must be served in proportion to its weight,
// and a kind of weight zero must not be starved.
func TestQueueServesKindsByWeight(t *testing.T) {
	weights := map[topology.KindName]float64{"a": 8, "b": 2, "c": 0}
	q := &fairQueue{}
	for kind, w := range weights {
		for range 10 {
			q.push(&job{kind: kind, weight: w})
		}
	}
	const rounds = 4000
	served := make(map[topology.KindName]int)
	for range rounds {
		j := q.take(func(*job) bool { return true })
		served[j.kind]++
		q.push(&job{kind: j.kind, weight: j.weight})
	}
	total := 8 + 2 + minWeight
	for kind, w := range weights {
		want := rounds * max(w, minWeight) / total
		if math.Abs(float64(served[kind])-want) > 2 {
			t.Errorf("%s was served %d times, want %.1f", kind, served[kind], want)
		}
	}
	if served["c"] == 0 {
		t.Error("a kind of weight zero was never served")
	}
}

// naiveQueue is a reference implementation: one list of jobs, oldest first.
type naiveQueue struct{ jobs []*job }

func (n *naiveQueue) drop(j *job) {
	for i, o := range n.jobs {
		if o == j {
			n.jobs = append(n.jobs[:i:i], n.jobs[i+1:]...)
			return
		}
	}
}

// first returns the oldest job of a kind for which accept returns true.
func (n *naiveQueue) first(kind topology.KindName, accept func(*job) bool) *job {
	for _, j := range n.jobs {
		if j.kind == kind && accept(j) {
			return j
		}
	}
	return nil
}

// Random pushes, removals and takes must never lose, repeat or reorder the jobs
// of a kind, compared with the naive queue.
func TestQueueMatchesNaiveQueue(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("same jobs, in order within a kind", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 2))
		q, n := &fairQueue{}, &naiveQueue{}
		kinds := []topology.KindName{"a", "b", "c"}
		for range 300 {
			if !sameStep(rng, q, n, kinds) || q.length != len(n.jobs) {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// sameStep applies one random operation to both queues and reports whether they
// agree.
func sameStep(rng *rand.Rand, q *fairQueue, n *naiveQueue, kinds []topology.KindName) bool {
	refused := rng.Float64()
	accept := func(j *job) bool { return j.weight > refused }
	switch rng.IntN(5) {
	case 0, 1:
		j := &job{kind: kinds[rng.IntN(len(kinds))], weight: rng.Float64()}
		q.push(j)
		n.jobs = append(n.jobs, j)
	case 2:
		if len(n.jobs) == 0 {
			return true
		}
		j := n.jobs[rng.IntN(len(n.jobs))]
		n.drop(j)
		return q.remove(j) && !q.remove(j)
	case 3:
		for _, j := range q.removeIf(accept) {
			n.drop(j)
		}
		for _, j := range n.jobs {
			if accept(j) {
				return false
			}
		}
	default:
		j := q.take(accept)
		if j == nil {
			return n.first("a", accept) == nil && n.first("b", accept) == nil && n.first("c", accept) == nil
		}
		same := n.first(j.kind, accept) == j
		n.drop(j)
		return same
	}
	return true
}
