package daemon

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/quota"
	"github.com/peridotmux/peridotmux/workspace"
)

// newQuotas returns the server of the exchange of quotas. Until its Run, which the
// settings may not ask for, it only says that this member isn't the holder.
func (m *member) newQuotas() *quota.Server {
	q := m.settings.Quotas
	return quota.NewServer(quota.ServerConfig{
		Rules: quota.Rules{Window: q.Window, Overage: q.Overage, Slack: q.Slack}, Leadership: m.leadership,
		Logger: m.log, Metrics: m.metrics.Quota,
		Name: string(m.settings.VM.Name), Others: (&otherVoters{member: m}).get,
	})
}

// otherVotersAge is how old the list of other voters may be. A standby without a holder
// asks for it many times a second.
const otherVotersAge = time.Second

// otherVoters lists the rpc addresses of the other voters.
type otherVoters struct {
	member *member

	mu    sync.Mutex
	addrs []netip.AddrPort
	at    time.Time
}

func (o *otherVoters) get() []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.member.group == nil || time.Since(o.at) < otherVotersAge {
		return o.addrs
	}
	o.addrs = nil
	for _, a := range o.member.voterAddrs() {
		if addr, err := netip.ParseAddrPort(a); err == nil && addr != o.member.settings.VM.RPC {
			o.addrs = append(o.addrs, addr)
		}
	}
	o.at = time.Now()
	return o.addrs
}

// leadership returns this member's view of the leadership, none before the log is open.
func (m *member) leadership() control.Leadership {
	if m.group == nil {
		return control.Leadership{}
	}
	return m.group.Leadership()
}

// runQuotas hands out credits while this member leads, if the settings ask for it.
func (m *member) runQuotas(ctx context.Context, st *state.State, log control.Log) {
	if !m.settings.Quotas.Shared() {
		return
	}
	limits := &quotaLimits{member: m, state: st}
	m.quotas.Run(ctx, log, &quotaRecord{state: st, log: log}, limits.get)
}

// quotaRecord is what holders leave for their successors, in the replicated log.
type quotaRecord struct {
	state *state.State
	log   control.Log
}

// History implements quota.Record.
func (r *quotaRecord) History() quota.History {
	v := r.state.View()
	return quota.History{
		Granted: v.QuotasGranted, Settled: v.QuotasSettled,
		Restored: v.QuotasSettled && v.QuotasRestoredAt > v.QuotasSettledAt,
	}
}

// Set implements quota.Record.
func (r *quotaRecord) Set(ctx context.Context, mark quota.Mark) error {
	c := &state.Command{QuotasRestored: mark == quota.MarkRestored}
	if settled := mark == quota.MarkSettled; !c.QuotasRestored {
		c.QuotasSettled = &settled
	}
	_, err := r.log.Propose(ctx, c.Encode(time.Now()))
	return err
}

// quotaLimits reads the limits of workspaces from the newest route document.
type quotaLimits struct {
	member *member
	state  *state.State
	cached atomic.Pointer[cachedLimits]
}

type cachedLimits struct {
	document *board.RouteDocument
	limits   quota.Limits
}

// get returns the limits of the newest route document. If it can't be decoded, those
// before stay in force.
func (q *quotaLimits) get() quota.Limits {
	document, cached := q.state.View().Routes, q.cached.Load()
	switch {
	case document == nil:
		return quota.Limits{}
	case cached != nil && cached.document == document:
		return cached.limits
	}
	next := &cachedLimits{document: document, limits: quota.Limits{Version: document.Index}}
	table, err := q.member.cfg.Decode(document.Body)
	switch {
	case err != nil:
		q.member.log.Error("quotas not taken", "version", document.Version, "error", err)
		if cached != nil {
			next.limits.Of = cached.limits.Of
		}
	case table.Workspaces != nil:
		next.limits.Of = make(map[workspace.Name]quota.Limit, table.Workspaces.Len())
		for w := range table.Workspaces.All {
			next.limits.Of[w.Name] = quota.LimitOf(w)
		}
	}
	q.cached.Store(next)
	return next.limits
}
