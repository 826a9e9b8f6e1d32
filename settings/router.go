package settings

import (
	"net/netip"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	sectionRouter = "router"

	// defaultBalancerLag is how long the platform's load balancer keeps sending
	// requests to a router whose readiness check fails.
	defaultBalancerLag = 3 * time.Second
)

// Router holds the settings of one router.
type Router struct {
	VM     topology.VM
	Region topology.Region
	// Control lists the rpc addresses of the control members.
	Control []netip.AddrPort
	// BalancerLag is the time from the first failed readiness check to the last new
	// request from the load balancer.
	BalancerLag time.Duration
	// Pprof enables profiles on the HTTP address.
	Pprof  bool
	Log    Log
	Bounds Bounds
}

// LoadRouter reads the settings file of a router. The error is a Faults.
func LoadRouter(path string) (*Router, error) {
	d := readDocument(path)
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	s := d.requiredSection(sectionRouter)
	r := &Router{
		VM:          readVM(s),
		Region:      required(s, "region", nameOf[topology.Region]()),
		Control:     list(s, "control", addrValue),
		BalancerLag: optional(s, "balancer_lag", durationValue(0, maxTimeout), defaultBalancerLag),
		Pprof:       optional(s, "pprof", boolValue, false),
		Log:         readLog(d),
		Bounds:      readBounds(d),
	}
	for _, a := range r.Control {
		if a == r.VM.RPC || a == r.VM.HTTP {
			s.fault("control", "addresses of other processes", a.String())
		}
	}
	d.checkSections("[router], [log], [log levels] or [bounds]", func(name string) bool {
		return name == sectionRouter || isCommon(name)
	})
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return r, nil
}

// isCommon reports whether name is a section that the files of all processes may
// have.
func isCommon(name string) bool {
	return name == sectionLog || name == sectionLevels || name == sectionBounds
}

// readVM reads the VM's name, data centre and addresses.
func readVM(s *section) topology.VM {
	vm := topology.VM{
		Name:       required(s, "vm", nameOf[topology.VMName]()),
		DataCentre: required(s, "data_centre", nameOf[topology.DataCentre]()),
		RPC:        required(s, "rpc", addrValue),
		HTTP:       required(s, "http", addrValue),
	}
	if vm.RPC == vm.HTTP && vm.RPC.IsValid() {
		s.fault("http", "another address than rpc", vm.HTTP.String())
	}
	return vm
}
