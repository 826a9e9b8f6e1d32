package state

import (
	"github.com/peridotmux/peridotmux/rpc"
	"github.com/peridotmux/peridotmux/rpc/pb"
)

// quietOrderIntent is the intent recorded for data centres taken out by a
// QuietOrder.
const quietOrderIntent = "order"

// setRoutes stores a route document if its version is higher than the current
// one.
func (s *State) setRoutes(r *Routes) {
	if s.view.Routes != nil && r.Version <= s.view.Routes.Version {
		return
	}
	packed, err := r.record()
	if err != nil {
		// Writing to memory doesn't fail.
		panic(err)
	}
	s.put(&pb.Record{Key: rpc.KeyRoutes, Value: &pb.Record_Routes{Routes: packed}})
}

// applyQuietOrder takes a data centre out of service or brings it back. Taking
// out a data centre that is already quiet changes nothing.
func (s *State) applyQuietOrder(o *QuietOrder) {
	key := rpc.KeyQuietDC + string(o.DataCentre)
	if !o.Quiet {
		s.remove(key)
		return
	}
	if _, quiet := s.view.QuietDCs[o.DataCentre]; quiet {
		return
	}
	s.put(&pb.Record{Key: key, Value: &pb.Record_QuietDc{QuietDc: &pb.QuietRecord{Intent: quietOrderIntent}}})
}

// applyQuotasSettled records whether the holder of quotas is settled.
func (s *State) applyQuotasSettled(settled bool) {
	if !s.view.QuotasGranted {
		s.put(&pb.Record{Key: rpc.KeyQuotasGranted})
	}
	switch {
	case !settled:
		s.remove(rpc.KeyQuotasSettled)
		s.remove(rpc.KeyQuotasRestored)
	case !s.view.QuotasSettled:
		s.put(&pb.Record{Key: rpc.KeyQuotasSettled})
	}
}

// applyQuotasRestored records that the holder of quotas is restored, if it is settled.
func (s *State) applyQuotasRestored() {
	if s.view.QuotasSettled && s.view.QuotasRestoredAt <= s.view.QuotasSettledAt {
		s.put(&pb.Record{Key: rpc.KeyQuotasRestored})
	}
}
