package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotmux/peridotmux/api"
)

func registerMembers(app *kingpin.Application, commands commandSet) {
	group := app.Command("member", "Members of control.")
	list := group.Command("list", "List the members and which of them is safe to lose.")
	f := addControlFlags(list)
	commands[list.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		members, err := client.Members(ctx)
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f, members, writeMembers)
	}
	registerMemberChange(group, commands, "add-learner", "Add a member that doesn't vote yet.", api.MemberAddLearner)
	registerMemberChange(group, commands, "promote", "Let a learner vote.", api.MemberPromote)
	registerMemberChange(group, commands, "remove", "Take a member out of the group.", api.MemberRemove)
}

func registerMemberChange(
	group *kingpin.CmdClause, commands commandSet, name, help string, action api.MemberAction,
) {
	cmd := group.Command(name, help)
	id := cmd.Arg("id", "The member's number.").Required().String()
	addr := cmd.Flag("addr", "The rpc address of a new member.").String()
	f := addCommandFlags(cmd)
	commands[cmd.FullCommand()] = func() error {
		client, ctx, cancel := f.client()
		defer cancel()
		members, err := client.ChangeMember(ctx, &api.MemberChange{
			Command: f.commandNumber(), Action: action, ID: *id, Addr: *addr,
		})
		if err != nil {
			return f.printRefusal(err)
		}
		return show(f.controlFlags, members, writeMembers)
	}
}

func writeMembers(w *table, l *api.MemberList) {
	w.printf("\nMEMBER\tADDRESS\tROLE\tHEALTHY\tHOLDS\tSAFE TO LOSE")
	for _, m := range l.Members {
		w.printf("%s\t%s\t%s\t%s\t%d\t%s",
			m.ID, m.Addr, memberRole(&m), yesNo(m.Healthy), m.Applied, yesNo(m.SafeToLose))
	}
}

func memberRole(m *api.MemberStatus) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Learner:
		return "learner"
	default:
		return "follower"
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
