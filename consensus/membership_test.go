package consensus_test

import (
	"errors"
	"testing"

	"github.com/peridotmux/peridotmux/consensus"
)

func TestInvalidMembershipChangesAreRejected(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	s.runTicks(20)
	learner := consensus.Member{ID: 4, Disk: "disk of 4"}
	if _, _, err := l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.AddLearner, Member: learner}); err != nil {
		t.Fatal(err)
	}
	pending := []consensus.MembershipChange{{Kind: consensus.Remove, Member: learner}}
	s.processes = append(s.processes, &simProcess{id: 4, disk: &simDisk{id: "unused"}})
	cases := []struct {
		name    string
		changes []consensus.MembershipChange
		want    consensus.MembershipReason
	}{
		{"another change is pending", pending, consensus.ChangePending},
		{"id in use", []consensus.MembershipChange{{Kind: consensus.AddLearner, Member: learner}}, consensus.MemberExists},
		{"no disk", []consensus.MembershipChange{{Kind: consensus.AddLearner, Member: consensus.Member{ID: 5}}}, consensus.MemberIncomplete},
		{"learner lacks entries", []consensus.MembershipChange{{Kind: consensus.Promote, Member: learner}}, consensus.LearnerBehind},
		{"promoting a voter", []consensus.MembershipChange{{Kind: consensus.Promote, Member: consensus.Member{ID: 1}}}, consensus.NoSuchLearner},
		{"unknown member", []consensus.MembershipChange{{Kind: consensus.Remove, Member: consensus.Member{ID: 9}}}, consensus.NoSuchMember},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, change := range c.changes {
				_, _, err := l.node.ProposeMembershipChange(change)
				var refused *consensus.MembershipError
				if !errors.As(err, &refused) || refused.Reason != c.want {
					t.Errorf("got %v, want %q", err, c.want)
				}
			}
		})
		s.runTicks(5)
	}
}

// Guards against a removal after which the group could not commit any more: one
// of three members is down, and the operator removes the wrong one.
func TestRemovalWithoutRemainingQuorumIsRejected(t *testing.T) {
	s := newFaultlessSim(3)
	l := s.waitForLeader(t)
	silent := s.follower()
	s.crash(silent)
	s.runTicks(3 * simElectionTicks)
	for _, p := range s.processes {
		if p == l || p == silent {
			continue
		}
		_, _, err := l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: p.id}})
		var refused *consensus.MembershipError
		if !errors.As(err, &refused) || refused.Reason != consensus.QuorumLost {
			t.Errorf("got %v, want %q", err, consensus.QuorumLost)
		}
	}
	if _, _, err := l.node.ProposeMembershipChange(consensus.MembershipChange{Kind: consensus.Remove, Member: consensus.Member{ID: silent.id}}); err != nil {
		t.Errorf("inactive member was not removed: %v", err)
	}
}
