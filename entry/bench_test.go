package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/entry"
	"github.com/peridotmux/peridotmux/internal/faketarget"
	"github.com/peridotmux/peridotmux/lease"
	"github.com/peridotmux/peridotmux/owner"
	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/target"
	"github.com/peridotmux/peridotmux/topology"
)

// instant answers each search at once.
type instant struct{ faketarget.Searcher }

func (*instant) Search(_ context.Context, s target.Search) target.Outcome {
	return target.Outcome{
		Status: target.OK, Process: 1, IndexVersion: s.IndexVersion, Versions: oneVersion,
		Body: bodyOfShard, ServiceTime: 20 * time.Millisecond, TargetDone: true,
	}
}

func (*instant) Health(context.Context, *topology.Target) (target.Health, error) {
	return target.Health{Process: 1, Versions: oneVersion}, nil
}

var (
	oneVersion  = []uint64{1}
	bodyOfShard = []byte(`{"hits":[{"id":1,"price":412.5},{"id":2,"price":398.0}]}`)
)

type localOwners map[topology.VMName]*owner.Owner

func (l localOwners) Call(ctx context.Context, vm topology.VMName, q *pb.SubRequest) (*pb.SubReply, error) {
	return l[vm].Do(ctx, q), nil
}

// BenchmarkSubRequest measures the path from the entry over the owner to a
// target that answers at once; its figures are for one sub-request.
func BenchmarkSubRequest(b *testing.B) {
	for _, fanOut := range []int{10, 25, 100, 210} {
		b.Run(fmt.Sprintf("fan-out=%d", fanOut), func(b *testing.B) {
			shape := faketarget.Shape{
				Shards: fanOut, Replicas: 3, Slots: 64, ColdLimit: 64, Owners: []topology.VMName{"r1", "r2", "r3", "r4"},
			}
			bd, le := board.New(), lease.New(time.Now())
			bd.Update(faketarget.View(shape))
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			owners := localOwners{}
			for _, vm := range shape.Owners {
				owners[vm] = owner.New(owner.Config{VM: vm, Board: bd, Lease: le, Searcher: &instant{}})
				go owners[vm].Run(ctx)
			}
			time.Sleep(100 * time.Millisecond)
			handler := entry.New(entry.Config{Board: bd, Lease: le, Owners: owners}).Handler()
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				left := 0
				for p.Next() {
					if left--; left > 0 {
						continue
					}
					left = fanOut
					le.Extend(time.Now(), 0)
					rec := httptest.NewRecorder()
					r := httptest.NewRequest(http.MethodPost, api.PathQuery, strings.NewReader(`{"kind":"wide","body":{"q":1}}`))
					handler.ServeHTTP(rec, r)
					if rec.Code != http.StatusOK {
						b.Errorf("status %d: %s", rec.Code, rec.Body)
						return
					}
				}
			})
		})
	}
}
