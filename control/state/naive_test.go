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

// naive is the state machine written with plain maps: it keeps everything for
// ever, and tells records as text.
type naive struct {
	index, base uint64
	winner      string
	now         time.Time
	version     uint64
	records     map[string]string
	written     map[string]uint64
	intents     map[string]*naiveIntent
	commands    map[string]string
	asked       map[string]string
	claims      map[string]*naiveClaim
}

type naiveIntent struct {
	id    string
	state api.IntentState
	at    time.Time
	plan  *api.Plan
	spec  api.IntentSpec
}

type naiveClaim struct {
	by      string
	hash    uint64
	token   uint64
	settled bool
	outcome string
}

func newNaive() *naive {
	return &naive{
		now: time.UnixMilli(0), records: map[string]string{}, written: map[string]uint64{},
		intents: map[string]*naiveIntent{}, commands: map[string]string{}, asked: map[string]string{},
		claims: map[string]*naiveClaim{},
	}
}

func (n *naive) put(key, value string) {
	n.records[key] = value
	n.written[key] = n.index
}

func (n *naive) remove(key string) {
	if _, ok := n.records[key]; ok {
		delete(n.records, key)
		n.written[key] = n.index
	}
}

// apply applies a command and tells the result as text. View is that of the
// state machine before the command; plans are made on it.
func (n *naive) apply(index uint64, c *state.Command, view *board.View) string {
	n.index = index
	if at := time.UnixMilli(c.AtUnixMS); at.After(n.now) {
		n.now = at
	}
	switch {
	case c.Submit != nil || c.Confirm != nil || c.Withdraw != nil:
		asked := fmt.Sprintf("%+v %+v %+v", c.Submit, c.Confirm, c.Withdraw)
		if first, ok := n.commands[c.Number]; ok {
			if n.asked[c.Number] != asked {
				return " command-reused"
			}
			return first
		}
		n.asked[c.Number] = asked
		n.commands[c.Number] = n.operator(c, view)
		return n.commands[c.Number]
	case c.Claims != nil:
		out := ""
		for i := range c.Claims {
			out += n.claim(&c.Claims[i]) + ";"
		}
		return out
	case c.Expire:
		for _, in := range n.intents {
			n.expire(in)
		}
	case c.Return:
		n.returnDue(view)
	case c.Router != nil:
		r := c.Router
		key := "router/" + string(r.VM)
		if n.records[key] != fmt.Sprintf("%d leaving true", r.Incarnation) || r.Leaving {
			n.put(key, fmt.Sprintf("%d leaving %t", r.Incarnation, r.Leaving))
		}
	case c.RouterLost != nil:
		key := "router/" + string(c.RouterLost.VM)
		if v := n.records[key]; v == fmt.Sprintf("%d leaving true", c.RouterLost.Incarnation) ||
			v == fmt.Sprintf("%d leaving false", c.RouterLost.Incarnation) {
			n.remove(key)
		}
	case c.Assign != nil:
		for _, a := range c.Assign {
			key := "assignment/" + string(a.Target)
			if view.Topology != nil && view.Topology.Target(a.Target) != nil && n.records[key] != string(a.Owner) {
				n.put(key, string(a.Owner))
			}
		}
	}
	return ""
}

func (n *naive) operator(c *state.Command, view *board.View) string {
	switch {
	case c.Submit != nil:
		in := &naiveIntent{id: fmt.Sprintf("i-%d", n.index), at: n.now, spec: c.Submit.Spec}
		in.plan = plan.Make(plan.Input{
			ID: fmt.Sprintf("p-%d", n.index), View: view, Base: n.base, Now: n.now, Spec: &c.Submit.Spec,
		})
		n.intents[in.plan.ID] = in
		if in.plan.Refused() {
			in.state = api.IntentRefused
			return in.id + " refused plan-refused"
		}
		in.state = api.IntentPlanned
		return in.id + " planned"
	case c.Confirm != nil:
		return n.confirm(c.Confirm)
	default:
		for _, in := range n.intents {
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

func (n *naive) expire(in *naiveIntent) {
	if in.state == api.IntentPlanned && n.now.Sub(in.at) > limits.PlanLifetime {
		in.state = api.IntentExpired
	}
}

func (n *naive) confirm(c *state.Confirm) string {
	in, ok := n.intents[c.Plan]
	if !ok {
		return " not-found"
	}
	n.expire(in)
	switch {
	case in.state == api.IntentExpired:
		return in.id + " expired expired"
	case in.state == api.IntentSuperseded || (in.state == api.IntentPlanned && (c.Base != in.plan.Base || c.Base != n.base)):
		return fmt.Sprintf("%s %s conflict %d %s", in.id, in.state, n.base, n.winner)
	case in.state != api.IntentPlanned:
		return in.id + " " + string(in.state) + " not-confirmable"
	}
	n.accept(in)
	return in.id + " confirmed"
}

func (n *naive) accept(in *naiveIntent) {
	p := in.plan
	for _, dc := range p.QuietDCs {
		n.put("quiet-dc/"+string(dc), in.id)
	}
	for _, t := range append(p.QuietTargets, p.LeavingTargets...) {
		n.put("quiet-target/"+string(t), in.id)
	}
	for _, dc := range p.ReturningDCs {
		n.endQuiet("quiet-dc/"+string(dc), api.IntentSuperseded)
	}
	for _, t := range p.ReturningTargets {
		n.endQuiet("quiet-target/"+string(t), api.IntentSuperseded)
	}
	for _, k := range p.NonIdempotent {
		n.put("non-idempotent/"+string(k), in.id)
	}
	for _, k := range p.Idempotent {
		n.remove("non-idempotent/" + string(k))
	}
	if in.spec.Deployment != nil {
		n.version++
		n.put("deployment/", fmt.Sprint(n.version, " ", in.spec.Deployment.HedgeBudget))
	}
	if d := in.spec.Deployment; d != nil {
		n.removeGone(d)
	}
	in.state = api.IntentConfirmed
	n.base, n.winner = n.index, in.id
	for _, other := range n.intents {
		if other.state == api.IntentPlanned {
			other.state = api.IntentSuperseded
		}
	}
}

// removeGone removes the records of targets that a deployment doesn't have.
func (n *naive) removeGone(d *topology.Deployment) {
	names := map[string]bool{}
	for _, t := range d.Targets {
		names[string(t.ID)] = true
	}
	for key := range maps.Clone(n.records) {
		prefix, name, _ := strings.Cut(key, "/")
		if (prefix == "quiet-target" || prefix == "assignment") && !names[name] {
			n.remove(key)
		}
	}
}

func (n *naive) endQuiet(key string, to api.IntentState) {
	id := n.records[key]
	n.remove(key)
	for k, v := range n.records {
		if v == id && (k[:6] == "quiet-") {
			return
		}
	}
	for _, in := range n.intents {
		if in.id == id && to != "" {
			in.state = to
		}
	}
}

func (n *naive) returnDue(view *board.View) {
	for _, key := range state.DueReturns(view, n.now) {
		n.winner = n.records[key]
		n.base = n.index
		n.endQuiet(key, "")
	}
}

func (n *naive) claim(q *state.Claim) string {
	by := fmt.Sprint(q.VM, q.Incarnation)
	c, ok := n.claims[q.Key]
	mine := ok && c.by == by && c.token == q.Token && c.hash == q.BodyHash
	switch {
	case q.Release:
		if ok && (!mine || c.settled) {
			return "CONFLICT"
		}
		delete(n.claims, q.Key)
		return "GRANTED"
	case q.Settle:
		if !mine {
			return "CONFLICT"
		}
		if !c.settled {
			c.settled, c.outcome = true, string(q.Outcome)
		}
		return "SETTLED " + c.outcome
	case !ok:
		n.claims[q.Key] = &naiveClaim{by: by, hash: q.BodyHash, token: q.Token}
		return "GRANTED"
	case c.hash != q.BodyHash:
		return "CONFLICT"
	case c.settled:
		return "SETTLED " + c.outcome
	case mine && q.Token != 0:
		return "GRANTED"
	default:
		return "HELD"
	}
}

// text tells a result of the state machine as the naive version does.
func text(result any) string {
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

// viewText tells a view as the naive records do.
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

// recordsText is the naive records without what viewText can't tell.
func (n *naive) recordsText() map[string]string {
	out := maps.Clone(n.records)
	for k := range out {
		if len(k) > 15 && k[:15] == "non-idempotent/" {
			out[k] = ""
		}
	}
	return out
}
