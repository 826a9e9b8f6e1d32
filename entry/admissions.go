package entry

import (
	"sync"

	"github.com/peridotmux/peridotmux/query"
)

// admissions holds one admission control for each combination of groups that
// queries use, so that demand on one group doesn't cause refusals for the
// others.
type admissions struct {
	mu       sync.Mutex
	byGroups map[string]*query.Admission
}

// forRequest returns the admission control for the groups of r and creates it
// if necessary.
func (a *admissions) forRequest(r *request) *query.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	admission := a.byGroups[r.groupKey]
	if admission == nil {
		admission = query.NewAdmission()
		a.byGroups[r.groupKey] = admission
	}
	return admission
}
