package topology

// Index provides lookups over one Deployment. It is immutable and safe for
// concurrent use.
type Index struct {
	Deployment *Deployment
	groups     map[GroupName]*Group
	kinds      map[KindName]*Kind
	targets    map[TargetID]*Target
	byShard    map[ShardID][]*Target
	groupOf    map[ShardID]*Group
	shards     []ShardID
}

// NewIndex builds the lookup tables of d, which must not be modified afterwards.
func NewIndex(d *Deployment) *Index {
	x := &Index{
		Deployment: d,
		groups:     make(map[GroupName]*Group, len(d.Groups)),
		kinds:      make(map[KindName]*Kind, len(d.Kinds)),
		targets:    make(map[TargetID]*Target, len(d.Targets)),
		byShard:    make(map[ShardID][]*Target),
		groupOf:    make(map[ShardID]*Group),
	}
	for i := range d.Groups {
		x.addGroup(&d.Groups[i])
	}
	for i := range d.Kinds {
		x.kinds[d.Kinds[i].Name] = &d.Kinds[i]
	}
	for i := range d.Targets {
		t := &d.Targets[i]
		x.targets[t.ID] = t
		x.byShard[t.Shard] = append(x.byShard[t.Shard], t)
	}
	return x
}

func (x *Index) addGroup(g *Group) {
	x.groups[g.Name] = g
	for _, s := range g.Shards {
		x.groupOf[s] = g
		x.shards = append(x.shards, s)
	}
}

// Shards returns all shards in the order of the deployment. The slice must not be
// modified.
func (x *Index) Shards() []ShardID { return x.shards }

// Group returns the named group, or nil.
func (x *Index) Group(name GroupName) *Group { return x.groups[name] }

// Kind returns the named kind, or nil.
func (x *Index) Kind(name KindName) *Kind { return x.kinds[name] }

// Target returns the target with the given id, or nil.
func (x *Index) Target(id TargetID) *Target { return x.targets[id] }

// Replicas returns the targets of shard s in the order of the deployment. The
// slice must not be modified.
func (x *Index) Replicas(s ShardID) []*Target { return x.byShard[s] }

// GroupOf returns the group of shard s, or nil if there is no such shard.
func (x *Index) GroupOf(s ShardID) *Group { return x.groupOf[s] }
