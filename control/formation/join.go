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
	// joinInterval is the time between two join requests.
	joinInterval = 300 * time.Millisecond
	// joinTimeout limits one join request.
	joinTimeout = changeTimeout + time.Second
	// leaderTimeout is how long a voter may have no leader before it checks
	// whether it is still a member by sending a join request.
	leaderTimeout = 3 * time.Second
)

// Self describes the local member.
type Self struct {
	ID   consensus.MemberID
	Name string
	Disk consensus.DiskID
	RPC  netip.AddrPort
}

// Joiner keeps the local member a voter of its group. All exported fields must
// be set before Run.
type Joiner struct {
	Self  Self
	Group Group
	// Seeds returns addresses of members to contact, in addition to those in
	// the log.
	Seeds func() []netip.AddrPort
	Log   *slog.Logger

	// lastConnected is when the member was last a voter with a known leader.
	lastConnected time.Time
}

// Run sends join requests while the member is not a voter with a leader. It
// returns when ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	j.lastConnected = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		status, err := j.Group.Status(ctx)
		if err == nil && j.shouldJoin(status, time.Now()) {
			j.requestJoin(ctx, status)
		}
	}
}

// shouldJoin reports whether the member has to send a join request.
func (j *Joiner) shouldJoin(s group.Status, now time.Time) bool {
	m, found := find(s, j.Self.ID)
	isVoter := found && !m.Learner && m.Disk == j.Self.Disk
	if isVoter && s.Leader != consensus.None {
		j.lastConnected = now
		return false
	}
	return !isVoter || now.Sub(j.lastConnected) >= leaderTimeout
}

// requestJoin sends a join request to the leader. It tries the known members in
// turn and follows their hints to the leader.
func (j *Joiner) requestJoin(ctx context.Context, s group.Status) {
	tried := make(map[string]bool)
	queue := j.candidateAddrs(s)
	for len(queue) > 0 && ctx.Err() == nil {
		addr := queue[0]
		queue = queue[1:]
		if tried[addr] || addr == j.Self.RPC.String() {
			continue
		}
		tried[addr] = true
		r, err := j.callJoin(ctx, addr)
		switch {
		case err != nil:
			j.Log.Debug("join request failed", "addr", addr, "error", err)
		case r.GetLeads():
			j.Log.Info("asked to vote", "leader", addr, "voter", r.GetVoter(), "cause", r.GetCause())
			return
		case r.GetLeaderAddr() != "":
			queue = append([]string{r.GetLeaderAddr()}, queue...)
		}
	}
}

// candidateAddrs returns the rpc addresses to try: the leader, the members and
// the seeds.
func (j *Joiner) candidateAddrs(s group.Status) []string {
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

// callJoin sends one join request to the member at addr.
func (j *Joiner) callJoin(ctx context.Context, addr string) (*pb.JoinResponse, error) {
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
