package admission

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/route"
)

// GroupID identifies a group among all routers.
type GroupID uint64

// Group is the set of shards that the queries of a route go to. It must not be modified.
type Group struct {
	ID       GroupID
	Services []route.ServiceName
	// MayLack is the number of shards that an answer may lack.
	MayLack int
}

// NewGroup returns a group whose id is a hash of its contents.
func NewGroup(services []route.ServiceName, mayLack int) *Group {
	h := xxhash.New()
	_, _ = h.WriteString(strconv.Itoa(mayLack))
	for _, s := range services {
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(string(s))
	}
	return &Group{ID: GroupID(h.Sum64()), Services: services, MayLack: mayLack}
}
