package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
)

// changeMember makes one membership change, and retries while it is refused.
func (c *cluster) changeMember(t *testing.T, action api.MemberAction, id, addr string) {
	t.Helper()
	q := &api.MemberChange{Action: action, ID: id, Addr: addr}
	eventually(t, startTimeout, string(action)+" "+id, func() bool {
		q.Command = adminclient.NewCommandNumber()
		_, err := c.client.ChangeMember(t.Context(), q)
		if err != nil {
			t.Logf("%s %s: %v", action, id, err)
		}
		return err == nil
	})
}

// startReplacement starts a new member with an empty data folder and returns its
// RPC address.
func (c *cluster) startReplacement(t *testing.T, id int) string {
	t.Helper()
	addrs := freeAddrs(t, 2)
	dataFolder := filepath.Join(c.dir, fmt.Sprintf("state-%d", id))
	if err := os.Mkdir(dataFolder, 0o700); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nvm = state-%d\nregion = one\ndata_centre = dc-a\nmember = %d\nrpc = %s\nhttp = %s\n",
		id, id, addrs[0], addrs[1])
	fmt.Fprintf(&b, "data_folder = %s\nbootstrap = no\n", dataFolder)
	for i := range members {
		fmt.Fprintf(&b, "[member %d]\nname = state-%d\nrpc = %s\nhttp = %s\n", i+1, i+1, c.rpcAddrs[i], c.httpAddrs[i])
	}
	fmt.Fprintf(&b, "[member %d]\nname = state-%d\nrpc = %s\nhttp = %s\n", id, id, addrs[0], addrs[1])
	file := c.writeFile(t, fmt.Sprintf("control-%d.ini", id), b.String())
	c.members = append(c.members, c.start(t, "control", addrs[1], "peridotmux-control", "--settings", file))
	c.client = adminclient.New(append(append([]string(nil), c.httpAddrs...), addrs[1]))
	return addrs[0]
}

// TestSecondLossRightAfterARepair guards against a replacement that does not count
// towards the quorum: a member is lost with its disk and replaced, and the leader
// is killed as soon as the new member is promoted.
func TestSecondLossRightAfterARepair(t *testing.T) {
	c := startCluster(t)
	c.accept(t, api.IntentSpec{Kind: api.IntentTakeOut, DataCentre: "dc-a"})
	lost := (c.leaderIndex(t) + 1) % members
	c.members[lost].signal(t, syscall.SIGKILL)
	_ = c.members[lost].wait(t, time.Second)
	if err := os.RemoveAll(filepath.Join(c.dir, fmt.Sprintf("state-%d", lost+1))); err != nil {
		t.Fatal(err)
	}
	const replacement = members + 1
	addr := c.startReplacement(t, replacement)
	c.changeMember(t, api.MemberRemove, fmt.Sprint(lost+1), "")
	c.changeMember(t, api.MemberAddLearner, fmt.Sprint(replacement), addr)
	c.changeMember(t, api.MemberPromote, fmt.Sprint(replacement), "")
	leader := c.leader(t)
	leader.signal(t, syscall.SIGKILL)
	_ = leader.wait(t, time.Second)
	killed := time.Now()
	c.accept(t, api.IntentSpec{Kind: api.IntentBringBack, DataCentre: "dc-a"})
	took := time.Since(killed)
	t.Logf("accepted %v after the second loss", took.Round(time.Millisecond))
	if took > intentBound {
		t.Errorf("accepted only after %v", took)
	}
	list, err := c.client.Intents(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	const wantIntents = 3 // The first deployment, the take-out, the return.
	if len(list.Intents) != wantIntents {
		t.Errorf("%d intents after the repair: %+v", len(list.Intents), list.Intents)
	}
}
