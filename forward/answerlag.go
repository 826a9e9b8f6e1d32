package forward

import (
	"sync"
	"time"
)

const (
	// lagGain and lagDeviationGain are the weights of a new sample in the mean and in the
	// deviation, as in RFC 6298.
	lagGain          = 0.125
	lagDeviationGain = 0.25
	// lagDeviations is the number of deviations that the estimate lies above the mean.
	lagDeviations = 2
	// maxLagShare bounds the estimate to a share of the objective, so that a busy VM
	// doesn't answer without parts that come in time.
	maxLagShare = 0.1
	// maxLag is the longest lag that counts. A longer one is a pause of the process, which
	// says nothing of the next answer.
	maxLag = 50 * time.Millisecond
)

// answerLag estimates how long after the planned time this VM gets to write an answer:
// on a busy VM with little processor time the timer of the objective is handled late. It
// is safe for concurrent use.
type answerLag struct {
	mu              sync.Mutex
	mean, deviation float64
}

// record adds the time between the planned moment and its handling.
func (l *answerLag) record(lag time.Duration) {
	if lag > maxLag {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	diff := float64(max(lag, 0)) - l.mean
	l.mean += lagGain * diff
	l.deviation += lagDeviationGain * (max(diff, -diff) - l.deviation)
}

// margin returns how much earlier an answer has to be planned to be written in time.
func (l *answerLag) margin(objective time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(time.Duration(l.mean+lagDeviations*l.deviation), time.Duration(maxLagShare*float64(objective)))
}
