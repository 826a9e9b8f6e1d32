package state

import (
	"slices"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/plan"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// intentStore holds the intents by ID, by plan ID and in the order they were
// submitted.
type intentStore struct {
	byID    map[string]*api.Intent
	byPlan  map[string]*api.Intent
	ordered []*api.Intent
}

func newIntentStore() *intentStore {
	return &intentStore{byID: make(map[string]*api.Intent), byPlan: make(map[string]*api.Intent)}
}

func (s *intentStore) add(in *api.Intent) {
	s.byID[in.ID] = in
	if in.Plan != nil {
		s.byPlan[in.Plan.ID] = in
	}
	s.ordered = append(s.ordered, in)
}

// find returns an intent by its ID or the ID of its plan.
func (s *intentStore) find(id string) (*api.Intent, bool) {
	if in, ok := s.byID[id]; ok {
		return in, true
	}
	in, ok := s.byPlan[id]
	return in, ok
}

// list returns copies of the intents, newest first.
func (s *intentStore) list() []api.Intent {
	out := make([]api.Intent, 0, len(s.ordered))
	for _, in := range slices.Backward(s.ordered) {
		out = append(out, copyIntent(in))
	}
	return out
}

// planned returns the intents that await confirmation, oldest first.
func (s *intentStore) planned() []*api.Intent {
	var out []*api.Intent
	for _, in := range s.ordered {
		if in.State == api.IntentPlanned {
			out = append(out, in)
		}
	}
	return out
}

// prune removes the oldest finished intents beyond limit, except those that
// keep reports as still needed.
func (s *intentStore) prune(limit int, keep func(id string) bool) {
	excess := len(s.ordered) - limit
	s.ordered = slices.DeleteFunc(s.ordered, func(in *api.Intent) bool {
		if excess <= 0 || !finished(in.State) || keep(in.ID) {
			return false
		}
		excess--
		delete(s.byID, in.ID)
		if in.Plan != nil {
			delete(s.byPlan, in.Plan.ID)
		}
		return true
	})
}

// finished reports whether an intent in state s is only kept as history.
func finished(s api.IntentState) bool {
	switch s {
	case api.IntentSettled, api.IntentRefused, api.IntentExpired, api.IntentSuperseded, api.IntentWithdrawn:
		return true
	default:
		return false
	}
}

// copyIntent returns a copy of in that later entries don't modify.
func copyIntent(in *api.Intent) api.Intent {
	out := *in
	out.History = slices.Clone(in.History)
	return out
}

func refuse(code api.Code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Execution: api.NotRun}
}

// transition moves an intent to a state and records it in the intent's history.
func (s *State) transition(in *api.Intent, to api.IntentState) {
	in.State = to
	in.History = append(in.History, api.Transition{State: to, Index: s.index, At: s.now()})
	if finished(to) || to == api.IntentConfirmed {
		// From here on the deployment record holds the deployment.
		in.Spec.Deployment = nil
	}
}

func (s *State) result(in *api.Intent, refusal *api.Refusal) *Result {
	out := copyIntent(in)
	return &Result{Intent: &out, Refusal: refusal}
}

// submit stores an intent and its plan.
func (s *State) submit(c *Submit) *Result {
	number := strconv.FormatUint(s.index, 10)
	in := &api.Intent{ID: "i-" + number, Spec: c.Spec}
	s.transition(in, api.IntentSubmitted)
	in.Plan = plan.Make(plan.Input{
		ID: "p-" + number, View: s.view, Base: s.base, Now: s.now(), Loads: c.Loads, Spec: &c.Spec,
	})
	if len(s.intents.planned()) >= s.limits.Plans {
		in.Plan.Refusals = append(in.Plan.Refusals, api.PlanRefusal{
			Reason: api.PlanTooMany, Message: "too many plans wait for a confirmation; withdraw some",
		})
	}
	s.intents.add(in)
	s.intents.prune(s.limits.Intents, s.hasQuietRecords)
	if in.Plan.Refused() {
		s.transition(in, api.IntentRefused)
		return s.result(in, refuse(api.CodePlanRefused, "the plan is refused; its refusals say why"))
	}
	s.transition(in, api.IntentPlanned)
	return s.result(in, nil)
}

// confirm accepts a plan if nothing that it depends on has changed since.
func (s *State) confirm(c *Confirm) *Result {
	in, ok := s.intents.byPlan[c.Plan]
	if !ok {
		return &Result{Refusal: refuse(api.CodeNotFound, "there is no plan "+c.Plan)}
	}
	if in.State == api.IntentPlanned && s.planExpired(in) {
		s.transition(in, api.IntentExpired)
	}
	switch {
	case in.State == api.IntentExpired:
		return s.result(in, refuse(api.CodeExpired, "the plan is too old; state the intent again"))
	case in.State == api.IntentPlanned && c.Base == in.Plan.Base && c.Base == s.base:
		s.accept(in)
		return s.result(in, nil)
	case in.State == api.IntentPlanned || in.State == api.IntentSuperseded:
		return s.result(in, s.conflict("another change came first; state the intent again"))
	default:
		return s.result(in, refuse(api.CodeNotConfirmable, "the intent is "+string(in.State)))
	}
}

// conflict returns a refusal that names the intent behind the current base.
func (s *State) conflict(message string) *api.Refusal {
	r := refuse(api.CodeConflict, message)
	r.Conflict = &api.Conflict{Base: s.base, Intent: s.baseIntent}
	if latest, ok := s.intents.byID[s.baseIntent]; ok {
		r.Conflict.Kind = latest.Spec.Kind
		r.Conflict.State = latest.State
		if latest.Plan != nil {
			r.Conflict.Plan = latest.Plan.ID
		}
	}
	return r
}

// planExpired reports whether a planned intent is older than PlanLifetime.
func (s *State) planExpired(in *api.Intent) bool {
	planned := in.History[len(in.History)-1].At
	return s.now().Sub(planned) > s.limits.PlanLifetime
}

// accept writes a plan's changes as records and supersedes all other plans.
func (s *State) accept(in *api.Intent) {
	s.applyPlan(in)
	s.transition(in, api.IntentConfirmed)
	in.Outcome.AcceptedIndex = s.index
	s.advanceBase(in.ID)
	for _, other := range s.intents.planned() {
		other.Outcome.SupersededBy = in.ID
		s.transition(other, api.IntentSuperseded)
	}
}

// applyPlan writes a plan's changes as records.
func (s *State) applyPlan(in *api.Intent) {
	p := in.Plan
	quietRecord := func(leaving bool) *pb.QuietRecord {
		q := &pb.QuietRecord{Intent: in.ID, Leaving: leaving}
		if !p.ReturnAt.IsZero() {
			q.UntilUnixMs = p.ReturnAt.UnixMilli()
		}
		return q
	}
	for _, dc := range p.QuietDCs {
		s.put(&pb.Record{Key: rpc.KeyQuietDC + string(dc), Value: &pb.Record_QuietDc{QuietDc: quietRecord(false)}})
	}
	for _, t := range p.QuietTargets {
		s.put(&pb.Record{Key: rpc.KeyQuietTarget + string(t), Value: &pb.Record_QuietTarget{QuietTarget: quietRecord(false)}})
	}
	for _, t := range p.LeavingTargets {
		s.put(&pb.Record{Key: rpc.KeyQuietTarget + string(t), Value: &pb.Record_QuietTarget{QuietTarget: quietRecord(true)}})
	}
	for _, dc := range p.ReturningDCs {
		s.endQuiet(rpc.KeyQuietDC+string(dc), in.ID)
	}
	for _, t := range p.ReturningTargets {
		s.endQuiet(rpc.KeyQuietTarget+string(t), in.ID)
	}
	for _, k := range p.NonIdempotent {
		s.put(&pb.Record{Key: rpc.KeyNonIdempotent + string(k), Value: &pb.Record_NonIdempotent{
			NonIdempotent: &pb.NonIdempotentRecord{Intent: in.ID},
		}})
	}
	for _, k := range p.Idempotent {
		s.remove(rpc.KeyNonIdempotent + string(k))
	}
	if d := in.Spec.Deployment; d != nil {
		in.Outcome.ConfigVersion = s.deploy(d)
	}
}

// endQuiet removes a quiet record. When an intent's last quiet record is
// removed, its return time is recorded, and it is superseded by the intent
// named by by, unless that is empty.
func (s *State) endQuiet(key, by string) {
	rec, ok := s.records.records[key]
	if !ok || rec.GetDeleted() {
		return
	}
	id := rec.GetQuietDc().GetIntent() + rec.GetQuietTarget().GetIntent()
	s.remove(key)
	in, ok := s.intents.byID[id]
	if !ok || s.hasQuietRecords(id) {
		return
	}
	in.Outcome.ReturnedAt = s.now()
	if by != "" {
		in.Outcome.SupersededBy = by
		s.transition(in, api.IntentSuperseded)
	}
}

// hasQuietRecords reports whether a live quiet record belongs to the intent.
func (s *State) hasQuietRecords(id string) bool {
	for _, rec := range s.records.records {
		if rec.GetDeleted() {
			continue
		}
		if rec.GetQuietDc().GetIntent() == id || rec.GetQuietTarget().GetIntent() == id {
			return true
		}
	}
	return false
}

// deploy writes a deployment with the next version, removes records of data
// centres, targets and kinds that it no longer has, and returns the version.
func (s *State) deploy(d *topology.Deployment) uint64 {
	version := s.view.ConfigVersion + 1
	packed, err := rpc.PackDeployment(version, d)
	if err != nil {
		// The deployment was decoded from a log entry by the same codec.
		panic(err)
	}
	s.put(&pb.Record{Key: rpc.KeyDeployment, Value: &pb.Record_Deployment{Deployment: packed}})
	x := topology.NewIndex(d)
	for _, rec := range s.records.live() {
		if !s.inDeployment(x, rec.GetKey()) {
			s.remove(rec.GetKey())
		}
	}
	return version
}

// withdraw ends an intent that has not been confirmed.
func (s *State) withdraw(c *Withdraw) *Result {
	in, ok := s.intents.find(c.Intent)
	if !ok {
		return &Result{Refusal: refuse(api.CodeNotFound, "there is no intent "+c.Intent)}
	}
	if in.State != api.IntentPlanned {
		return s.result(in, refuse(api.CodeNotConfirmable, "the intent is "+string(in.State)))
	}
	s.transition(in, api.IntentWithdrawn)
	return s.result(in, nil)
}

// expirePlans ends the plans that are older than PlanLifetime.
func (s *State) expirePlans() {
	for _, in := range s.intents.planned() {
		if s.planExpired(in) {
			s.transition(in, api.IntentExpired)
		}
	}
}

// endDueQuiet removes the quiet records whose return time has passed.
func (s *State) endDueQuiet() {
	due := DueReturns(s.view, s.now())
	for _, key := range due {
		rec := s.records.records[key]
		intent := rec.GetQuietDc().GetIntent() + rec.GetQuietTarget().GetIntent()
		s.endQuiet(key, "")
		s.advanceBase(intent)
	}
}

// recordProgress records at which routers a confirmed intent is in force. The
// intent's state never moves backwards.
func (s *State) recordProgress(p *Progress) {
	in, ok := s.intents.byID[p.Intent]
	if !ok || (in.State != api.IntentConfirmed && in.State != api.IntentInForce) {
		return
	}
	in.Outcome.InForce = p.InForce
	in.Outcome.Pending = p.Pending
	switch {
	case p.Settled:
		s.transition(in, api.IntentSettled)
	case in.State == api.IntentConfirmed:
		s.transition(in, api.IntentInForce)
	}
}

// NextPlanExpiry returns when the oldest plan awaiting confirmation expires. It
// returns false if there is none.
func (s *State) NextPlanExpiry() (time.Time, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	planned := s.intents.planned()
	if len(planned) == 0 {
		return time.Time{}, false
	}
	h := planned[0].History
	return h[len(h)-1].At.Add(s.limits.PlanLifetime), true
}

// UnsettledIntents returns the confirmed intents that are not settled, oldest
// first.
func (s *State) UnsettledIntents() []api.Intent {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []api.Intent
	for _, in := range s.intents.ordered {
		if in.State == api.IntentConfirmed || in.State == api.IntentInForce {
			out = append(out, copyIntent(in))
		}
	}
	return out
}
