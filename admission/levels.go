package admission

import (
	"cmp"
	"maps"
	"slices"

	"github.com/peridotmux/peridotmux/route"
)

// demandClass is the queries of one group and priority, of workspaces with the same
// ratio. They are all treated alike.
type demandClass struct {
	group    *Group
	priority int
	ratio    ratio
}

// demand is a load in objectives per objective, by class.
type demand map[demandClass]float64

// allocation is what allocate has found so far.
type allocation struct {
	// levels holds the levels of the scarce services.
	levels map[route.ServiceName]levels
	// left is the capacity that isn't used yet.
	left map[route.ServiceName]float64
}

// allocate divides the capacity of the scarce services, by priority and then in fair
// shares, and returns the levels of those that can't take all queries. It goes through
// the priorities in turn. What a query can't use of a service, since it isn't admitted or
// leaves the service out, is left to the lower priorities.
func allocate(d demand, capacity map[route.ServiceName]float64) map[route.ServiceName]levels {
	a := allocation{levels: make(map[route.ServiceName]levels, len(capacity)), left: maps.Clone(capacity)}
	for name := range capacity {
		a.levels[name] = nil
	}
	if len(capacity) == 0 {
		return a.levels
	}
	classes := d.sorted()
	reserved := false
	for first := 0; first < len(classes); {
		last := first
		for last < len(classes) && classes[last].priority == classes[first].priority {
			last++
		}
		if !reserved && (first > 0 || unequal(classes[first:last])) {
			reserved = true
			for name, c := range capacity {
				a.left[name] = max(0, a.left[name]-reserve*c)
			}
		}
		a.setLevels(d, classes[first:last])
		for i := range classes[first:last] {
			a.take(&classes[first+i], d[classes[first+i]])
		}
		first = last
	}
	return a.levels
}

// reserve is the part of a capacity that lower priorities, and workspaces that send more
// than usual, leave unused, so that they don't make the other queries wait.
const reserve = 0.12

// unequal reports whether some workspaces send more than usual, compared with others.
func unequal(classes []demandClass) bool {
	return slices.ContainsFunc(classes, func(c demandClass) bool { return c.ratio < 0 })
}

// sorted returns the classes by priority, and in the same order each time.
func (d demand) sorted() []demandClass {
	return slices.SortedFunc(maps.Keys(d), func(a, b demandClass) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.group.ID, b.group.ID), cmp.Compare(a.ratio, b.ratio))
	})
}

// setLevels sets the levels of a priority, given its classes.
func (a *allocation) setLevels(d demand, classes []demandClass) {
	byService := make(map[route.ServiceName][]classLoad)
	for _, c := range classes {
		for _, name := range c.group.Services {
			if _, scarce := a.left[name]; scarce {
				byService[name] = append(byService[name], classLoad{ratio: c.ratio.float(), load: d[c]})
			}
		}
	}
	for name, loads := range byService {
		if f, limited := fairFraction(loads, max(a.left[name], 0)); limited {
			a.levels[name] = append(a.levels[name], level{priority: classes[0].priority, fraction: f})
		}
	}
}

// take subtracts from the capacity that is left what the queries of a class use.
func (a *allocation) take(c *demandClass, load float64) {
	var names []route.ServiceName
	var shares []float64
	for _, name := range c.group.Services {
		if l, scarce := a.levels[name]; scarce {
			names = append(names, name)
			shares = append(shares, l.share(c.priority, c.ratio.float()))
		}
	}
	if len(names) == 0 {
		return
	}
	p := NewPlan(shares, len(c.group.Services), c.group.MayLack)
	for i, name := range names {
		a.left[name] = max(0, a.left[name]-p.Used(i)*load)
	}
}

// classLoad is the load of workspaces with the same ratio.
type classLoad struct{ ratio, load float64 }

// fairFraction returns the fraction f at which a capacity is used up if a class with the
// ratio r is admitted to the fraction f r, at most 1. It returns false if the capacity is
// enough for all.
func fairFraction(loads []classLoad, capacity float64) (float64, bool) {
	total := 0.0
	for _, l := range loads {
		total += l.load
	}
	if total <= capacity {
		return 0, false
	}
	// Classes are admitted in full in the order of their ratios, the highest first.
	slices.SortFunc(loads, func(a, b classLoad) int { return cmp.Compare(b.ratio, a.ratio) })
	weighted := 0.0
	for _, l := range loads {
		weighted += l.load * l.ratio
	}
	full := 0.0
	for _, l := range loads {
		f := (capacity - full) / weighted
		if f*l.ratio <= 1 {
			return max(f, 0), true
		}
		full += l.load
		weighted -= l.load * l.ratio
	}
	return 0, true
}
