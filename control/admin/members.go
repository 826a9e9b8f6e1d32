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

// memberStatus lists the members as the group knows them, or else the peers of
// the settings as far as they have reported.
func (h *Handler) memberStatus(now time.Time) []api.MemberStatus {
	lead := h.c.Log.Leadership()
	var out []api.MemberStatus
	if h.c.Members != nil {
		for _, m := range h.c.Members.Members() {
			out = append(out, api.MemberStatus{
				ID: m.ID, Addr: m.Addr, Learner: m.Learner, Applied: m.Match,
				Healthy: m.Active, Leader: m.ID == lead.LeaderID, SafeToLose: m.SafeToLose,
			})
		}
		return out
	}
	seen := h.c.Reports.Members(now)
	for _, p := range h.c.Peers {
		m := seen[p.ID]
		out = append(out, api.MemberStatus{
			ID: p.ID, Addr: p.RPC, Applied: m.Applied, Healthy: m.Healthy, Leader: p.RPC == lead.LeaderAddr,
		})
	}
	markSafe(out)
	return out
}

// markSafe marks the members without which a majority of the voters is still
// healthy.
func markSafe(members []api.MemberStatus) {
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
	if h.c.Members == nil {
		return nil, refusal(api.CodeInternal, "this member can't change the membership")
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	if f := h.applyMember(ctx, &q); f != nil {
		return nil, f
	}
	h.c.Logger.Info("membership changed", "action", q.Action, "member", q.ID, "addr", q.Addr)
	return &api.MemberList{Members: h.memberStatus(time.Now())}, nil
}

func (h *Handler) applyMember(ctx context.Context, q *api.MemberChange) *api.Refusal {
	var err error
	switch q.Action {
	case api.MemberAddLearner:
		err = h.c.Members.AddLearner(ctx, q.ID, q.Addr)
	case api.MemberPromote:
		err = h.c.Members.Promote(ctx, q.ID)
	case api.MemberRemove:
		err = h.c.Members.Remove(ctx, q.ID)
	default:
		f := refusal(api.CodeBadField, "the action is add-learner, promote or remove")
		f.Field = "action"
		return f
	}
	if err == nil {
		return nil
	}
	return h.memberFailed(err)
}

func (h *Handler) memberFailed(err error) *api.Refusal {
	var refused *control.MemberRefusedError
	if errors.As(err, &refused) {
		return refusal(api.CodeConflict, refused.Error())
	}
	return h.failed(err)
}
