package forward

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/board/records"
	"github.com/peridotmux/peridotmux/discovery"
	"github.com/peridotmux/peridotmux/outlier"
	"github.com/peridotmux/peridotmux/route"
	"github.com/peridotmux/peridotmux/topology"
)

// plannedFleets returns the fleets of gateways that divide a gather of 36 shards with
// three targets each. Every second one doesn't know of the last gateway yet.
func plannedFleets(gateways int) ([]*fleet, []route.ServiceName) {
	var shards []route.ServiceName
	var targets []discovery.Target
	for i := range 36 {
		name := route.ServiceName(fmt.Sprint("s", i))
		shards = append(shards, name)
		for j := range 3 {
			targets = append(targets, discovery.Target{
				ID: discovery.TargetID(fmt.Sprint("t", i, "-", j)), Service: name, Slots: 3,
				Addr: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: dcOf(j),
			})
		}
	}
	table := testTable(shards...)
	list := discovery.NewInventory()
	list.Replace(targets, time.Now())
	views := []*board.View{viewOf(gateways), viewOf(gateways - 1)}
	var out []*fleet
	for i := range gateways {
		f := newFleet(gatewayName(i), dcOf(i), time.Second, outlier.NewCollector())
		view := views[i%2]
		if i == gateways-1 {
			view = views[0]
		}
		f.update(list.List(), view, table, time.Now())
		out = append(out, f)
	}
	return out, shards
}

func dcOf(i int) topology.DataCentre    { return topology.DataCentre(fmt.Sprint("dc-", i%3)) }
func gatewayName(i int) topology.VMName { return topology.VMName(fmt.Sprint("gateway-", i)) }
func gatewayAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, 1}), uint16(1000+i))
} //nolint:gosec // Few gateways.

func gatewayRouter(i int) board.Router {
	return board.Router{VM: topology.VM{Name: gatewayName(i), DataCentre: dcOf(i), RPC: gatewayAddr(i)}}
}

func viewOf(gateways int) *board.View {
	v := records.EmptyView()
	v.Routers = make(map[topology.VMName]board.Router)
	for i := range gateways {
		v.Routers[gatewayName(i)] = gatewayRouter(i)
	}
	return v
}

// All gateways together must not claim more than the whole of what they may use of a
// service, connections and extra arrivals, also while some don't know of a new gateway
// yet and so divide the gather in another way.
func TestSharesOfAllGatewaysStayWithinTheWhole(t *testing.T) {
	for _, gateways := range []int{6, 13, 30, 59, 84, 140} {
		fleets, shards := plannedFleets(gateways)
		for _, s := range shards {
			sum := 0.0
			for _, f := range fleets {
				sum += f.budgetShare(s, time.Now())
			}
			// A gateway more or less is one part of all.
			if most := 1 + 1.0/float64(gateways); sum > most+1e-9 {
				t.Errorf("%d gateways claim %.3f of %s", gateways, sum, s)
			}
		}
	}
}

// Every shard of a gather must be asked by this router or handed to another one, and
// never to this one.
func TestPlanCoversAllShards(t *testing.T) {
	fleets, shards := plannedFleets(84)
	for _, f := range fleets {
		plan := f.planFor(f.table.Routes[2].Gather)
		if plan == nil {
			t.Fatal("the gather isn't divided")
		}
		seen := make(map[int]bool)
		for _, c := range plan.cells {
			for _, shard := range c.shards {
				seen[shard] = true
			}
			for _, m := range c.helpers {
				if !c.own && m.vm == f.vm || !m.addr.IsValid() {
					t.Fatalf("%s hands shards to %v", f.vm, m)
				}
			}
		}
		if len(seen) != len(shards) {
			t.Fatalf("%d of %d shards planned", len(seen), len(shards))
		}
	}
}
