package settings

import (
	"slices"

	"github.com/peridotmux/peridotmux/route"
)

// sectionLearning is the optional section about learned capacity.
const sectionLearning = "learned capacity"

// Learning says for which services gateways learn how much load each target handles,
// besides those whose targets report it themselves.
type Learning struct {
	// All means every service.
	All      bool
	Services []route.ServiceName
}

// Asks reports whether the settings ask for learning at a service.
func (l *Learning) Asks(s route.ServiceName) bool { return l.All || slices.Contains(l.Services, s) }

// serviceValue is the name of a service in the platform's own spelling.
var serviceValue = value[route.ServiceName]{
	expected: "the name of a service",
	parse:    func(s string) (route.ServiceName, bool) { return route.ServiceName(s), s != "" },
}

func readLearning(d *document) Learning {
	s := d.sectionOrEmpty(sectionLearning)
	l := Learning{All: optional(s, "all_services", flagValue, false)}
	if _, ok := s.keys["services"]; ok {
		l.Services = list(s, "services", serviceValue)
	}
	return l
}
