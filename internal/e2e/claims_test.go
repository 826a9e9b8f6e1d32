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
	// claimsBound is the least number of claims acknowledged a second.
	claimsBound   = 1000
	claimCallers  = 256
	claimDuration = 2 * time.Second
)

// TestThreeProcessesAcknowledgeClaims claims keys at the leader from many
// callers at once. Each claim is synced on a majority first.
func TestThreeProcessesAcknowledgeClaims(t *testing.T) {
	c := startCluster(t)
	link := rpc.NewClaimLink(netip.MustParseAddrPort(c.rpc[c.leaderIndex(t)]))
	defer link.Close()
	ctx, cancel := context.WithTimeout(t.Context(), claimDuration)
	defer cancel()
	var granted atomic.Int64
	var all sync.WaitGroup
	for caller := range claimCallers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := &pb.ClaimRequest{Key: fmt.Sprintf("%d-%d", caller, n), Vm: "test", Token: 1}
				r, err := link.Call(ctx, q, nil)
				if err == nil && r.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
					granted.Add(1)
				}
			}
		})
	}
	all.Wait()
	rate := float64(granted.Load()) / claimDuration.Seconds()
	t.Logf("%.0f claims a second", rate)
	if rate < claimsBound {
		t.Errorf("%.0f claims a second, want %d", rate, claimsBound)
	}
}
