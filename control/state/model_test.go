package state_test

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control/plan"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// model is a reference implementation of the state machine with plain maps. It
// never drops anything and represents records and results as text.
type model struct {
	index, base uint64
	baseIntent  string
	now         time.Time
	version     uint64
	records     map[string]string
	// written holds the index of the last write of each record, including
	// deletions.
	written map[string]uint64
	intents map[string]*modelIntent
	// commands holds the first result of each command number, and requests the
	// command itself.
	commands map[string]string
	requests map[string]string
	claims   map[string]*modelClaim
}

type modelIntent struct {
	id    string
	state api.IntentState
	at    time.Time
	plan  *api.Plan
	spec  api.IntentSpec
}

type modelClaim struct {
	holder  string
	hash    uint64
	token   uint64
	settled bool
	outcome string
}

func newModel() *model {
	return &model{
		now: time.UnixMilli(0), records: map[string]string{}, written: map[string]uint64{},
		intents: map[string]*modelIntent{}, commands: map[string]string{}, requests: map[string]string{},
		claims: map[string]*modelClaim{},
	}
}

func (m *model) put(key, value string) {
	m.records[key] = value
	m.written[key] = m.index
}

func (m *model) remove(key string) {
	if _, ok := m.records[key]; ok {
		delete(m.records, key)
		m.written[key] = m.index
	}
}

// apply applies a command and returns the result as text. view is the view of
// the state machine before the command; plans are made on it.
func (m *model) apply(index uint64, c *state.Command, view *board.View) string {
	m.index = index
	if at := time.UnixMilli(c.AtUnixMS); at.After(m.now) {
		m.now = at
	}
	switch {
	case c.Submit != nil || c.Confirm != nil || c.Withdraw != nil:
		request := fmt.Sprintf("%+v %+v %+v", c.Submit, c.Confirm, c.Withdraw)
		if first, ok := m.commands[c.Number]; ok {
			if m.requests[c.Number] != request {
				return " command-reused"
			}
			return first
		}
		m.requests[c.Number] = request
		m.commands[c.Number] = m.operator(c, view)
		return m.commands[c.Number]
	case c.Claims != nil:
		out := ""
		for i := range c.Claims {
			out += m.claim(&c.Claims[i]) + ";"
		}
		return out
	case c.Expire:
		for _, in := range m.intents {
			m.expire(in)
		}
	case c.Return:
		m.returnDue(view)
	case c.Router != nil:
		r := c.Router
		key := "router/" + string(r.VM)
		if m.records[key] != fmt.Sprintf("%d leaving true", r.Incarnation) || r.Leaving {
			m.put(key, fmt.Sprintf("%d leaving %t", r.Incarnation, r.Leaving))
		}
	case c.RouterLost != nil:
		key := "router/" + string(c.RouterLost.VM)
		if v := m.records[key]; v == fmt.Sprintf("%d leaving true", c.RouterLost.Incarnation) ||
			v == fmt.Sprintf("%d leaving false", c.RouterLost.Incarnation) {
			m.remove(key)
		}
	case c.Assign != nil:
		for _, a := range c.Assign {
			key := "assignment/" + string(a.Target)
			if view.Topology != nil && view.Topology.Target(a.Target) != nil && m.records[key] != string(a.Owner) {
				m.put(key, string(a.Owner))
			}
		}
	}
	return ""
}

func (m *model) operator(c *state.Command, view *board.View) string {
	switch {
	case c.Submit != nil:
		in := &modelIntent{id: fmt.Sprintf("i-%d", m.index), at: m.now, spec: c.Submit.Spec}
		in.plan = plan.Make(plan.Input{
			ID: fmt.Sprintf("p-%d", m.index), View: view, Base: m.base, Now: m.now, Spec: &c.Submit.Spec,
		})
		m.intents[in.plan.ID] = in
		if in.plan.Refused() {
			in.state = api.IntentRefused
			return in.id + " refused plan-refused"
		}
		in.state = api.IntentPlanned
		return in.id + " planned"
	case c.Confirm != nil:
		return m.confirm(c.Confirm)
	default:
		for _, in := range m.intents {
			if in.id != c.Withdraw.Intent {
				continue
			}
			if in.state != api.IntentPlanned {
				return in.id + " " + string(in.state) + " not-confirmable"
			}
			in.state = api.IntentWithdrawn
			return in.id + " withdrawn"
		}
		return " not-found"
	}
}

func (m *model) expire(in *modelIntent) {
	if in.state == api.IntentPlanned && m.now.Sub(in.at) > limits.PlanLifetime {
		in.state = api.IntentExpired
	}
}

func (m *model) confirm(c *state.Confirm) string {
	in, ok := m.intents[c.Plan]
	if !ok {
		return " not-found"
	}
	m.expire(in)
	switch {
	case in.state == api.IntentExpired:
		return in.id + " expired expired"
	case in.state == api.IntentSuperseded || (in.state == api.IntentPlanned && (c.Base != in.plan.Base || c.Base != m.base)):
		return fmt.Sprintf("%s %s conflict %d %s", in.id, in.state, m.base, m.baseIntent)
	case in.state != api.IntentPlanned:
		return in.id + " " + string(in.state) + " not-confirmable"
	}
	m.accept(in)
	return in.id + " confirmed"
}

func (m *model) accept(in *modelIntent) {
	p := in.plan
	for _, dc := range p.QuietDCs {
		m.put("quiet-dc/"+string(dc), in.id)
	}
	for _, t := range append(p.QuietTargets, p.LeavingTargets...) {
		m.put("quiet-target/"+string(t), in.id)
	}
	for _, dc := range p.ReturningDCs {
		m.endQuiet("quiet-dc/"+string(dc), api.IntentSuperseded)
	}
	for _, t := range p.ReturningTargets {
		m.endQuiet("quiet-target/"+string(t), api.IntentSuperseded)
	}
	for _, k := range p.NonIdempotent {
		m.put("non-idempotent/"+string(k), in.id)
	}
	for _, k := range p.Idempotent {
		m.remove("non-idempotent/" + string(k))
	}
	if in.spec.Deployment != nil {
		m.version++
		m.put("deployment/", fmt.Sprint(m.version, " ", in.spec.Deployment.HedgeBudget))
	}
	if d := in.spec.Deployment; d != nil {
		m.removeUndeployed(d)
	}
	in.state = api.IntentConfirmed
	m.base, m.baseIntent = m.index, in.id
	for _, other := range m.intents {
		if other.state == api.IntentPlanned {
			other.state = api.IntentSuperseded
		}
	}
}

// removeUndeployed removes the records of targets that are not in the
// deployment.
func (m *model) removeUndeployed(d *topology.Deployment) {
	names := map[string]bool{}
	for _, t := range d.Targets {
		names[string(t.ID)] = true
	}
	for key := range maps.Clone(m.records) {
		prefix, name, _ := strings.Cut(key, "/")
		if (prefix == "quiet-target" || prefix == "assignment") && !names[name] {
			m.remove(key)
		}
	}
}

func (m *model) endQuiet(key string, to api.IntentState) {
	id := m.records[key]
	m.remove(key)
	for k, v := range m.records {
		if v == id && (k[:6] == "quiet-") {
			return
		}
	}
	for _, in := range m.intents {
		if in.id == id && to != "" {
			in.state = to
		}
	}
}

func (m *model) returnDue(view *board.View) {
	for _, key := range state.DueReturns(view, m.now) {
		m.baseIntent = m.records[key]
		m.base = m.index
		m.endQuiet(key, "")
	}
}

func (m *model) claim(q *state.Claim) string {
	holder := fmt.Sprint(q.VM, q.Incarnation)
	c, ok := m.claims[q.Key]
	held := ok && c.holder == holder && c.token == q.Token && c.hash == q.BodyHash
	switch {
	case q.Release:
		if ok && (!held || c.settled) {
			return "CONFLICT"
		}
		delete(m.claims, q.Key)
		return "GRANTED"
	case q.Settle:
		if !held {
			return "CONFLICT"
		}
		if !c.settled {
			c.settled, c.outcome = true, string(q.Outcome)
		}
		return "SETTLED " + c.outcome
	case !ok:
		m.claims[q.Key] = &modelClaim{holder: holder, hash: q.BodyHash, token: q.Token}
		return "GRANTED"
	case c.hash != q.BodyHash:
		return "CONFLICT"
	case c.settled:
		return "SETTLED " + c.outcome
	case held && q.Token != 0:
		return "GRANTED"
	default:
		return "HELD"
	}
}

// resultText formats a result of the state machine as the model does.
func resultText(result any) string {
	switch r := result.(type) {
	case *state.Result:
		out := ""
		if r.Intent != nil {
			out = r.Intent.ID + " " + string(r.Intent.State)
		}
		if f := r.Refusal; f != nil {
			out += " " + string(f.Code)
			if f.Conflict != nil {
				out += fmt.Sprintf(" %d %s", f.Conflict.Base, f.Conflict.Intent)
			}
		}
		return out
	case []*pb.ClaimReply:
		out := ""
		for _, c := range r {
			out += c.GetStatus().String()[len("CLAIM_STATUS_"):]
			if c.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_SETTLED {
				out += " " + string(c.GetOutcome())
			}
			out += ";"
		}
		return out
	case nil:
		return ""
	default:
		return fmt.Sprintf("%T", r)
	}
}

// viewText formats the records of a view as the model does.
func viewText(v *board.View) map[string]string {
	out := map[string]string{}
	for k, q := range v.QuietDCs {
		out["quiet-dc/"+string(k)] = q.Intent
	}
	for k, q := range v.QuietTargets {
		out["quiet-target/"+string(k)] = q.Intent
	}
	for k, r := range v.Routers {
		out["router/"+string(k)] = fmt.Sprintf("%d leaving %t", r.Incarnation, r.Leaving)
	}
	for k, a := range v.Assignments {
		out["assignment/"+string(k)] = string(a.Owner)
	}
	for k := range v.NonIdempotent {
		out["non-idempotent/"+string(k)] = ""
	}
	if v.Topology != nil {
		out["deployment/"] = fmt.Sprint(v.ConfigVersion, " ", v.Topology.Deployment.HedgeBudget)
	}
	return out
}

// recordsText returns the model's records without the parts that a view doesn't
// hold.
func (m *model) recordsText() map[string]string {
	out := maps.Clone(m.records)
	for k := range out {
		if len(k) > 15 && k[:15] == "non-idempotent/" {
			out[k] = ""
		}
	}
	return out
}
