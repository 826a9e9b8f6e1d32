package state

import "time"

// Limits bound what the state keeps. All members of a group must use the same.
type Limits struct {
	// PlanLifetime is how long a plan can be confirmed.
	PlanLifetime time.Duration
	// Plans is the number of plans that may wait for a confirmation.
	Plans int
	// Intents is the number of finished intents that are kept.
	Intents int
	// Commands is the number of command numbers that are remembered.
	Commands int
	// Tombstones is the number of deletions that deltas can tell.
	Tombstones int
	// Keys is the number of request keys that are kept.
	Keys int
	// MinKeyAge is how long a key is kept at least. While all of Keys are
	// younger, new claims are refused.
	MinKeyAge time.Duration
	// OutcomeBytes bounds the recorded outcomes. The oldest are dropped first;
	// their keys stay, with the outcome unknown.
	OutcomeBytes int
}

// DefaultLimits are the limits of the product.
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
