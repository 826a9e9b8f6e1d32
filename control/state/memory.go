package state

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/api"
)

// remembered is the first outcome of a command number.
type remembered struct {
	Number string `json:"n"`
	// Hash is that of the command without its time.
	Hash    uint64          `json:"h"`
	Intent  string          `json:"i,omitempty"`
	State   api.IntentState `json:"s,omitempty"`
	Refusal *api.Refusal    `json:"r,omitempty"`
}

// commandMemory keeps the first outcomes of the last command numbers.
type commandMemory struct {
	limit   int
	byName  map[string]*remembered
	ordered []*remembered
}

func newCommandMemory(limit int) *commandMemory {
	return &commandMemory{limit: limit, byName: make(map[string]*remembered)}
}

func (m *commandMemory) add(r *remembered) {
	m.byName[r.Number] = r
	m.ordered = append(m.ordered, r)
	for len(m.ordered) > m.limit {
		delete(m.byName, m.ordered[0].Number)
		m.ordered = m.ordered[1:]
	}
}

// commandHash tells whether two commands ask for the same. The loads reported
// with a submission don't count, since they are not the operator's.
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

// applyNumbered applies an operator's command, or gives the first outcome if
// its number is known.
func (s *State) applyNumbered(c *Command) *Result {
	if c.Number == "" {
		return s.applyOperator(c)
	}
	hash := commandHash(c)
	if r, ok := s.memory.byName[c.Number]; ok {
		return s.recall(r, hash)
	}
	result := s.applyOperator(c)
	r := &remembered{Number: c.Number, Hash: hash, Refusal: result.Refusal}
	if result.Intent != nil {
		r.Intent = result.Intent.ID
		r.State = result.Intent.State
	}
	s.memory.add(r)
	return result
}

func (s *State) recall(r *remembered, hash uint64) *Result {
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
