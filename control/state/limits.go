package state

import "time"

// Limits bounds what the state keeps. All members of a group must use the same
// limits, since they affect the result of applying an entry.
type Limits struct {
	// PlanLifetime is how long a plan can be confirmed.
	PlanLifetime time.Duration
	// Plans is the maximum number of plans awaiting confirmation.
	Plans int
	// Intents is the maximum number of intents; beyond it the oldest finished
	// ones are removed.
	Intents int
	// Commands is the maximum number of command numbers whose outcome is kept.
	Commands int
	// Tombstones is the maximum number of deletions kept for deltas.
	Tombstones int
	// Keys is the maximum number of request keys.
	Keys int
	// MinKeyAge is how long a request key is kept at least. While the store is
	// full of younger keys, new claims are refused.
	MinKeyAge time.Duration
	// OutcomeBytes is the maximum total size of recorded outcomes. The oldest
	// are dropped first; their keys stay claimed, with an unknown outcome.
	OutcomeBytes int
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		PlanLifetime: 10 * time.Minute,
		Plans:        64,
		Intents:      4096,
		Commands:     16_384,
		Tombstones:   8192,
		Keys:         100_000,
		MinKeyAge:    10 * time.Minute,
		OutcomeBytes: 32 << 20,
	}
}
