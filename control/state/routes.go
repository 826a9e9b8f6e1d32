package state

import (
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// orderIntent is the intent that records of orders name.
const orderIntent = "order"

// route puts a route document in force unless one of its version or a higher
// one is.
func (s *State) route(r *Routes) {
	if s.view.Routes != nil && r.Version <= s.view.Routes.Version {
		return
	}
	packed, err := rpc.PackRoutes(r.Version, r.Body)
	if err != nil {
		// Writing to memory doesn't fail.
		panic(err)
	}
	s.put(&pb.Record{Key: rpc.KeyRoutes, Value: &pb.Record_Routes{Routes: packed}})
}

// order takes a data centre out or brings it back.
func (s *State) order(o *QuietOrder) {
	key := rpc.KeyQuietDC + string(o.DataCentre)
	if !o.Quiet {
		s.remove(key)
		return
	}
	if _, quiet := s.view.QuietDCs[o.DataCentre]; quiet {
		return
	}
	s.put(&pb.Record{Key: key, Value: &pb.Record_QuietDc{QuietDc: &pb.QuietRecord{Intent: orderIntent}}})
}
