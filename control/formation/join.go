package formation

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// joinInterval is the time between two requests to vote.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request to vote.
	joinTimeout = changeTimeout + time.Second
	// leaderless is how long a voter may hear no leader before it asks whether
	// it is still a member.
	leaderless = 3 * time.Second
)

// Self is the member that wants to vote.
type Self struct {
	ID   consensus.MemberID
	Name string
	Disk consensus.DiskID
	RPC  netip.AddrPort
}

// Joiner keeps one member a voter of its group.
type Joiner struct {
	Self  Self
	Group Group
	// Seeds returns addresses of members to ask, besides those in the log.
	Seeds func() []netip.AddrPort
	Log   *slog.Logger

	// since is when the member last was a voter that hears a leader.
	since time.Time
}

// Run asks to vote whenever the member doesn't, until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	j.since = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		status, err := j.Group.Status(ctx)
		if err == nil && j.needed(status, time.Now()) {
			j.ask(ctx, status)
		}
	}
}

// needed reports whether the member has to ask.
func (j *Joiner) needed(s group.Status, now time.Time) bool {
	m, found := find(s, j.Self.ID)
	votes := found && !m.Learner && m.Disk == j.Self.Disk
	if votes && s.Leader != consensus.None {
		j.since = now
		return false
	}
	return !votes || now.Sub(j.since) >= leaderless
}

// ask asks the leader, starting with whoever may know it.
func (j *Joiner) ask(ctx context.Context, s group.Status) {
	asked := make(map[string]bool)
	queue := j.addrs(s)
	for len(queue) > 0 && ctx.Err() == nil {
		addr := queue[0]
		queue = queue[1:]
		if asked[addr] || addr == j.Self.RPC.String() {
			continue
		}
		asked[addr] = true
		r, err := j.call(ctx, addr)
		switch {
		case err != nil:
			j.Log.Debug("member not reached", "addr", addr, "error", err)
		case r.GetLeads():
			j.Log.Info("asked to vote", "leader", addr, "voter", r.GetVoter(), "cause", r.GetCause())
			return
		case r.GetLeaderAddr() != "":
			queue = append([]string{r.GetLeaderAddr()}, queue...)
		}
	}
}

func (j *Joiner) addrs(s group.Status) []string {
	var out []string
	if addr := leaderAddr(s); addr != "" {
		out = append(out, addr)
	}
	for _, m := range s.Members {
		out = append(out, m.Addr)
	}
	for _, a := range j.Seeds() {
		out = append(out, a.String())
	}
	return out
}

func (j *Joiner) call(ctx context.Context, addr string) (*pb.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, &group.ConfigError{Reason: "member address: " + err.Error()}
	}
	conn, err := rpc.Dial(ctx, at)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return pb.NewDRPCMemberClient(conn).Join(ctx, &pb.JoinRequest{
		Member: uint64(j.Self.ID), Disk: string(j.Self.Disk),
		Name: j.Self.Name, RpcAddr: j.Self.RPC.String(),
	})
}
