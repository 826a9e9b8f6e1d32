package e2e

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

const (
	// minClaimsPerSecond is the minimum rate of granted claims.
	minClaimsPerSecond = 1000
	claimCallers       = 256
	claimDuration      = 2 * time.Second
)

// TestThreeProcessesAcknowledgeClaims guards against a low rate of granted claims.
// Many callers claim keys at the leader concurrently, and the leader grants a
// claim only after a majority of the processes has synced it to disk.
func TestThreeProcessesAcknowledgeClaims(t *testing.T) {
	c := startCluster(t)
	link := rpc.NewClaimLink(netip.MustParseAddrPort(c.rpcAddrs[c.leaderIndex(t)]))
	defer link.Close()
	ctx, cancel := context.WithTimeout(t.Context(), claimDuration)
	defer cancel()
	var granted atomic.Int64
	var wg sync.WaitGroup
	for caller := range claimCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := &pb.ClaimRequest{Key: fmt.Sprintf("%d-%d", caller, n), Vm: "test", Token: 1}
				r, err := link.Call(ctx, q, nil)
				if err == nil && r.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
					granted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	rate := float64(granted.Load()) / claimDuration.Seconds()
	t.Logf("%.0f claims per second", rate)
	if rate < minClaimsPerSecond {
		t.Errorf("%.0f claims per second, want at least %d", rate, minClaimsPerSecond)
	}
}
