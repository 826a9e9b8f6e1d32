package state

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/api"
)

// commandOutcome is the first outcome of a command number.
type commandOutcome struct {
	Number string `json:"n"`
	// Hash is the hash of the command without its timestamp and loads.
	Hash    uint64          `json:"h"`
	Intent  string          `json:"i,omitempty"`
	State   api.IntentState `json:"s,omitempty"`
	Refusal *api.Refusal    `json:"r,omitempty"`
}

// commandOutcomes holds the first outcome of the most recent command numbers,
// up to limit.
type commandOutcomes struct {
	limit    int
	byNumber map[string]*commandOutcome
	ordered  []*commandOutcome
}

func newCommandOutcomes(limit int) *commandOutcomes {
	return &commandOutcomes{limit: limit, byNumber: make(map[string]*commandOutcome)}
}

// add stores an outcome and removes the oldest ones beyond the limit.
func (m *commandOutcomes) add(r *commandOutcome) {
	m.byNumber[r.Number] = r
	m.ordered = append(m.ordered, r)
	for len(m.ordered) > m.limit {
		delete(m.byNumber, m.ordered[0].Number)
		m.ordered = m.ordered[1:]
	}
}

// commandHash returns a hash that is equal for commands with the same
// operation. The timestamp and the loads reported with a submission are left
// out, since they don't come from the operator and differ between resends.
func commandHash(c *Command) uint64 {
	same := Command{Confirm: c.Confirm, Withdraw: c.Withdraw}
	if c.Submit != nil {
		same.Submit = &Submit{Spec: c.Submit.Spec}
	}
	data, err := json.Marshal(&same)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(data)
}

// applyNumbered applies an operator command, or returns the recorded outcome if
// its number has been used before.
func (s *State) applyNumbered(c *Command) *Result {
	if c.Number == "" {
		return s.applyOperator(c)
	}
	hash := commandHash(c)
	if r, ok := s.outcomes.byNumber[c.Number]; ok {
		return s.replay(r, hash)
	}
	result := s.applyOperator(c)
	r := &commandOutcome{Number: c.Number, Hash: hash, Refusal: result.Refusal}
	if result.Intent != nil {
		r.Intent = result.Intent.ID
		r.State = result.Intent.State
	}
	s.outcomes.add(r)
	return result
}

// replay returns a recorded outcome, or a refusal if the command differs from
// the one recorded.
func (s *State) replay(r *commandOutcome, hash uint64) *Result {
	if r.Hash != hash {
		return &Result{Refusal: refuse(api.CodeCommandReused,
			"the command number was used with another command; take a new one")}
	}
	result := &Result{Refusal: r.Refusal}
	if in, ok := s.intents.find(r.Intent); ok {
		first := copyIntent(in)
		first.State = r.State
		result.Intent = &first
	} else if r.Intent != "" {
		result.Intent = &api.Intent{ID: r.Intent, State: r.State}
	}
	return result
}

// applyOperator applies an operator command that has not been applied before.
func (s *State) applyOperator(c *Command) *Result {
	var result *Result
	switch {
	case c.Submit != nil:
		result = s.submit(c.Submit)
	case c.Confirm != nil:
		result = s.confirm(c.Confirm)
	default:
		result = s.withdraw(c.Withdraw)
	}
	result.FirstUse = true
	return result
}
