package daemon

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control"
)

// statusTimeout limits a request for the group's status.
const statusTimeout = time.Second

// membership implements control.Membership for a consensus group.
type membership struct {
	group *group.Group
}

// Members returns the members, or none if the group doesn't respond within
// statusTimeout.
func (m *membership) Members() []control.Member {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := m.group.Status(ctx)
	if err != nil {
		return nil
	}
	var out []control.Member
	for _, x := range status.Members {
		out = append(out, control.Member{
			ID:      strconv.FormatUint(uint64(x.ID), 10),
			Addr:    x.Addr,
			Learner: x.Learner,
			Match:   x.Match,
			Active:  x.Active,

			SafeToLose: x.SafeToLose,
		})
	}
	return out
}

// AddLearner adds a non-voting member.
func (m *membership) AddLearner(ctx context.Context, id, addr string) error {
	n, err := parseID(id)
	if err != nil {
		return err
	}
	member, err := group.ParseMember(n, id, addr)
	if err != nil {
		return &control.MemberRefusedError{ID: id, Reason: err.Error()}
	}
	return toMemberRefused(id, m.group.AddLearner(ctx, member))
}

// Promote turns a learner that holds every committed entry into a voter.
func (m *membership) Promote(ctx context.Context, id string) error {
	n, err := parseID(id)
	if err != nil {
		return err
	}
	return toMemberRefused(id, m.group.Promote(ctx, consensus.MemberID(n)))
}

// Remove removes a member from the group.
func (m *membership) Remove(ctx context.Context, id string) error {
	n, err := parseID(id)
	if err != nil {
		return err
	}
	return toMemberRefused(id, m.group.Remove(ctx, consensus.MemberID(n)))
}

// parseID parses a member ID, and returns a *control.MemberRefusedError if it
// is invalid.
func parseID(id string) (uint64, error) {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || n == 0 {
		return 0, &control.MemberRefusedError{ID: id, Reason: "a member's id is a whole number above 0"}
	}
	return n, nil
}

// toMemberRefused converts the group's refusals, after which nothing was
// changed, into a *control.MemberRefusedError. Other errors are returned
// unchanged.
func toMemberRefused(id string, err error) error {
	var membership *consensus.MembershipError
	var wrong *group.WrongMemberError
	switch {
	case errors.As(err, &membership):
		return &control.MemberRefusedError{ID: id, Reason: string(membership.Reason)}
	case errors.As(err, &wrong):
		return &control.MemberRefusedError{ID: id, Reason: wrong.Error()}
	default:
		return err
	}
}
