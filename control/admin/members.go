package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control"
)

func (h *Handler) members(*http.Request, []byte) (any, *api.Refusal) {
	return &api.MemberList{Members: h.memberStatus(time.Now())}, nil
}

// memberStatus returns the members of the group, or, if the membership is fixed
// by the settings, the configured peers with their last reports.
func (h *Handler) memberStatus(now time.Time) []api.MemberStatus {
	lead := h.cfg.Log.Leadership()
	var out []api.MemberStatus
	if h.cfg.Members != nil {
		for _, m := range h.cfg.Members.Members() {
			out = append(out, api.MemberStatus{
				ID: m.ID, Addr: m.Addr, Learner: m.Learner, Applied: m.Match,
				Healthy: m.Active, Leader: m.ID == lead.LeaderID, SafeToLose: m.SafeToLose,
			})
		}
		return out
	}
	seen := h.cfg.Reports.Members(now)
	for _, p := range h.cfg.Peers {
		m := seen[p.ID]
		out = append(out, api.MemberStatus{
			ID: p.ID, Addr: p.RPC, Applied: m.Applied, Healthy: m.Healthy, Leader: p.RPC == lead.LeaderAddr,
		})
	}
	markSafeToLose(out)
	return out
}

// markSafeToLose marks the members without which the remaining healthy voters
// are still a majority.
func markSafeToLose(members []api.MemberStatus) {
	voters, healthy := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.Healthy {
			healthy++
		}
	}
	for i := range members {
		m := &members[i]
		left := healthy
		if m.Healthy && !m.Learner {
			left--
		}
		m.SafeToLose = m.Learner || left > voters/2
	}
}

func (h *Handler) changeMember(r *http.Request, body []byte) (any, *api.Refusal) {
	var q api.MemberChange
	if f := decode(body, &q); f != nil {
		return nil, f
	}
	if h.cfg.Members == nil {
		return nil, newRefusal(api.CodeInternal, "this member can't change the membership")
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	if f := h.applyMemberChange(ctx, &q); f != nil {
		return nil, f
	}
	h.cfg.Logger.Info("membership changed", "action", q.Action, "member", q.ID, "addr", q.Addr)
	return &api.MemberList{Members: h.memberStatus(time.Now())}, nil
}

func (h *Handler) applyMemberChange(ctx context.Context, q *api.MemberChange) *api.Refusal {
	var err error
	switch q.Action {
	case api.MemberAddLearner:
		err = h.cfg.Members.AddLearner(ctx, q.ID, q.Addr)
	case api.MemberPromote:
		err = h.cfg.Members.Promote(ctx, q.ID)
	case api.MemberRemove:
		err = h.cfg.Members.Remove(ctx, q.ID)
	default:
		f := newRefusal(api.CodeBadField, "the action is add-learner, promote or remove")
		f.Field = "action"
		return f
	}
	if err == nil {
		return nil
	}
	return h.membershipRefusal(err)
}

// membershipRefusal converts an error of a membership change into a refusal.
func (h *Handler) membershipRefusal(err error) *api.Refusal {
	var refused *control.MemberRefusedError
	if errors.As(err, &refused) {
		return newRefusal(api.CodeConflict, refused.Error())
	}
	return h.proposeRefusal(err)
}
