package entry

import (
	"sync"

	"github.com/peridotmux/peridotmux/query"
)

// admissions holds one admission for each set of groups that queries ask, so
// that demand on one group refuses nothing of the others.
type admissions struct {
	mu       sync.Mutex
	byGroups map[string]*query.Admission
}

// of returns the admission of a request's groups.
func (a *admissions) of(r *request) *query.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	admission := a.byGroups[r.groups]
	if admission == nil {
		admission = query.NewAdmission()
		a.byGroups[r.groups] = admission
	}
	return admission
}
