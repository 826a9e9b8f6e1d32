package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/peridotmux/peridotmux/forward"
	"github.com/peridotmux/peridotmux/quota"
)

// quotasReadyWait is how long a new gateway isn't ready without an answer of the holder
// of quotas. Its callers' requests would be refused; without a holder, those of other
// gateways are, too.
const quotasReadyWait = 2 * time.Second

// newQuotas returns the client of the exchange of quotas, nil if the settings don't ask
// for it.
func (g *Gateway) newQuotas() *quota.Client {
	if !g.cfg.Settings.Quotas.Shared() {
		return nil
	}
	return quota.NewClient(quota.ClientConfig{
		Gateway:  string(g.cfg.Settings.VM.Name),
		Members:  g.knownMembers,
		Gateways: func() int { return len(g.board.View().Routers) },
		Needed:   g.quotasNeeded,
		Random:   rand.Float64,
		Log:      g.log,
		Metrics:  g.metrics.Quota,
	})
}

// quotasNeeded reports whether the route table in force has workspaces with a limit.
func (g *Gateway) quotasNeeded() bool {
	table := g.server.Table()
	if table == nil || table.Workspaces == nil {
		return false
	}
	for w := range table.Workspaces.All {
		if w.Limited() {
			return true
		}
	}
	return false
}

// forwardQuota returns the client as the server uses it.
func (g *Gateway) forwardQuota() forward.Quota {
	if g.quotas == nil {
		return nil
	}
	return g.quotas
}

func (g *Gateway) runQuotas(ctx context.Context) {
	if g.quotas != nil {
		g.quotas.Run(ctx)
	}
}

// quotasReady reports whether requests of workspaces with a limit can be decided, or
// have waited for that long enough.
func (g *Gateway) quotasReady() bool {
	return g.quotas == nil || g.quotas.Ready() || time.Since(g.started) > quotasReadyWait
}
