package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	sectionDeployment = "deployment"
	prefixGroup       = "group "
	prefixShard       = "shard "
	prefixKind        = "kind "

	// maxSlots is the maximum of a target's slots, cold limit and connections.
	maxSlots = 100_000
	// maxConnectCost is the maximum time to establish a connection.
	maxConnectCost = time.Minute
	// maxWarmAfter is the maximum service time after which a cold target is warm.
	maxWarmAfter = time.Hour
)

// LoadDeployment reads a deployment file. The error is a Faults.
func LoadDeployment(path string) (*topology.Deployment, error) {
	return readDeployment(readDocument(path))
}

// ParseDeployment parses a deployment file from data. Name is the file name in
// faults. The error is a Faults.
func ParseDeployment(name string, data []byte) (*topology.Deployment, error) {
	return readDeployment(parseDocument(name, data))
}

// deploymentReader builds a Deployment from a document.
type deploymentReader struct {
	doc    *document
	result *topology.Deployment
	// groups holds the index of each group in result.
	groups map[topology.GroupName]int
	dcs    map[topology.DataCentre]bool
	// ids and addrs hold the line of the target that uses the id or address.
	ids   map[topology.TargetID]int
	addrs map[netip.AddrPort]int
}

func readDeployment(d *document) (*topology.Deployment, error) {
	r := &deploymentReader{
		doc:    d,
		result: &topology.Deployment{},
		groups: make(map[topology.GroupName]int),
		dcs:    make(map[topology.DataCentre]bool),
		ids:    make(map[topology.TargetID]int),
		addrs:  make(map[netip.AddrPort]int),
	}
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	r.readHeader()
	r.readGroups()
	r.readShardsAndKinds()
	r.checkEmpty()
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return r.result, nil
}

func (r *deploymentReader) readHeader() {
	s := r.doc.requiredSection(sectionDeployment)
	r.result.Name = required(s, "name", nameOf[string]())
	r.result.Region = required(s, "region", nameOf[topology.Region]())
	r.result.DataCentres = list(s, "data_centres", nameOf[topology.DataCentre]())
	for _, dc := range r.result.DataCentres {
		r.dcs[dc] = true
	}
	r.result.HedgeBudget = required(s, "hedge_budget", shareValue)
	r.result.RetryBudget = required(s, "retry_budget", shareValue)
}

// readGroups reads the groups. It must run before shards are read, which refer to
// them.
func (r *deploymentReader) readGroups() {
	for _, s := range r.doc.sections {
		if name, ok := strings.CutPrefix(s.name, prefixGroup); ok {
			r.readGroup(s, name)
		}
	}
}

func (r *deploymentReader) readGroup(s *section, name string) {
	if !isName(name) {
		s.faultAt(s.line, "", nameOf[string]().expected, name)
	}
	g := topology.Group{
		Name:        topology.GroupName(name),
		Slots:       required(s, "slots", countValue(maxSlots)),
		Connections: required(s, "connections", countValue(maxSlots)),
		ConnectCost: required(s, "connect_cost", durationValue(0, maxConnectCost)),
		ColdLimit:   required(s, "cold_limit", countValue(maxSlots)),
		WarmAfter:   required(s, "warm_after", durationValue(0, maxWarmAfter)),
	}
	if g.Slots > g.Connections && g.Connections > 0 {
		s.fault("slots", "at most the connections, "+itoa(g.Connections), itoa(g.Slots))
	}
	if g.ColdLimit > g.Slots && g.Slots > 0 {
		s.fault("cold_limit", "at most the slots, "+itoa(g.Slots), itoa(g.ColdLimit))
	}
	r.groups[g.Name] = len(r.result.Groups)
	r.result.Groups = append(r.result.Groups, g)
}

// readShardsAndKinds reads the remaining sections and reports unknown ones.
func (r *deploymentReader) readShardsAndKinds() {
	for _, s := range r.doc.sections {
		switch {
		case s.name == sectionDeployment, strings.HasPrefix(s.name, prefixGroup):
		case strings.HasPrefix(s.name, prefixShard):
			r.readShard(s, strings.TrimPrefix(s.name, prefixShard))
		case strings.HasPrefix(s.name, prefixKind):
			r.readKind(s, strings.TrimPrefix(s.name, prefixKind))
		default:
			s.faultAt(s.line, "", "[deployment], [group NAME], [shard GROUP/NAME] or [kind NAME]", s.name)
			s.markAllUsed()
		}
	}
}

// markAllUsed marks all keys of an unknown section as used, so that they are not
// reported as further faults.
func (s *section) markAllUsed() {
	for _, e := range s.keys {
		e.used = true
	}
}

func (r *deploymentReader) readShard(s *section, name string) {
	group, local, ok := strings.Cut(name, "/")
	at, known := r.groups[topology.GroupName(group)]
	if !ok || !isName(local) || !known {
		s.faultAt(s.line, "", "[shard GROUP/NAME] with a group of this file", name)
		s.markAllUsed()
		return
	}
	g := &r.result.Groups[at]
	id := topology.ShardID(name)
	g.Shards = append(g.Shards, id)
	for _, v := range list(s, "replicas", replicaValue) {
		r.addTarget(s, id, g.Name, v)
	}
}

// replica is one item of a shard's list of replicas.
type replica struct {
	// name is the suffix of the target's id: "/" and the replica's name, or "@" and
	// its address if it has none.
	name string
	dc   topology.DataCentre
	addr netip.AddrPort
}

var replicaValue = value[replica]{
	expected: "DATA-CENTRE IP:PORT or DATA-CENTRE IP:PORT NAME",
	parse: func(s string) (replica, bool) {
		fields := strings.Fields(s)
		if len(fields) < 2 || len(fields) > 3 {
			return replica{}, false
		}
		addr, ok := addrValue.parse(fields[1])
		name := "@" + addr.String()
		if len(fields) == 3 {
			name = "/" + fields[2]
			ok = ok && isName(fields[2])
		}
		return replica{name, topology.DataCentre(fields[0]), addr}, ok
	},
}

// addTarget adds a target. Its id consists of the shard's id and the replica's
// name, or its address if it has no name, so that the id stays the same when other
// items of the list change.
func (r *deploymentReader) addTarget(s *section, shard topology.ShardID, g topology.GroupName, v replica) {
	const key = "replicas"
	t := topology.Target{
		ID: topology.TargetID(string(shard) + v.name), Shard: shard, Group: g, DataCentre: v.dc, Addr: v.addr,
	}
	if !r.dcs[v.dc] {
		s.fault(key, "a data centre of [deployment]", string(v.dc))
	}
	line := s.keys[key].line
	if first, ok := r.addrs[v.addr]; ok {
		s.fault(key, "an address of its own, this one is used in line "+itoa(first), v.addr.String())
	} else if first, ok := r.ids[t.ID]; ok {
		s.fault(key, "a name of its own, this one is used in line "+itoa(first), string(t.ID))
	}
	r.addrs[v.addr] = line
	r.ids[t.ID] = line
	r.result.Targets = append(r.result.Targets, t)
}

func (r *deploymentReader) readKind(s *section, name string) {
	if !isName(name) {
		s.faultAt(s.line, "", nameOf[string]().expected, name)
	}
	r.result.Kinds = append(r.result.Kinds, topology.Kind{
		Name:        topology.KindName(name),
		Weight:      required(s, "weight", weightValue),
		Policy:      required(s, "policy", policyValue),
		MinCoverage: required(s, "min_coverage", shareValue),
		Deadline:    required(s, "deadline", deadlineValue),
		Idempotent:  required(s, "idempotent", boolValue),
	})
}

// checkEmpty reports missing groups and kinds, and groups without shards.
func (r *deploymentReader) checkEmpty() {
	d := r.doc
	if len(r.result.Groups) == 0 {
		d.faults = append(d.faults, Fault{File: d.file, Expected: "at least one [group NAME]"})
	}
	if len(r.result.Kinds) == 0 {
		d.faults = append(d.faults, Fault{File: d.file, Expected: "at least one [kind NAME]"})
	}
	for _, s := range d.sections {
		name, ok := strings.CutPrefix(s.name, prefixGroup)
		if ok && len(r.result.Groups[r.groups[topology.GroupName(name)]].Shards) == 0 {
			s.faultAt(s.line, "", "at least one [shard "+name+"/NAME]", "")
		}
	}
}
