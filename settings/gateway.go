package settings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	sectionGateway = "gateway"
	sectionBudget  = "extra arrivals"
	sectionList    = "target list"

	// maxPort is the highest port.
	maxPort = 1<<16 - 1
)

// Budget bounds the extra arrivals at a service, of all gateways together.
type Budget struct {
	// Ratio is the share of extra arrivals among a window's requests.
	Ratio float64
	// Slack is what a window may have besides.
	Slack  int
	Window time.Duration
}

// TargetList says where the platform's list of targets is and how fresh it is.
type TargetList struct {
	Addr netip.AddrPort
	// Lag is how far the list may be behind.
	Lag time.Duration
	// DrainTime is how soon a draining target must get no new work.
	DrainTime time.Duration
}

// Gateway holds the settings of one forwarding router.
type Gateway struct {
	VM topology.VM
	// Readiness is where the balancer asks whether the gateway takes requests.
	Readiness netip.AddrPort
	// Pages is where metrics and status pages are.
	Pages netip.AddrPort
	// Control lists the rpc addresses of some control members.
	Control    []netip.AddrPort
	Budget     Budget
	TargetList TargetList
	// Grace is the time between the request to end and the end.
	Grace time.Duration
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int
	// LinkMbps is the rate of the VM's network link in Mbit/s.
	LinkMbps float64
	Log      Log
	Bounds   Bounds
}

// LoadGateway reads a forwarding router's file. The error is a Faults.
func LoadGateway(path string) (*Gateway, error) {
	d := readDocument(path)
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	s := d.one(sectionGateway)
	g := &Gateway{
		VM:         readVM(s),
		Readiness:  required(s, "readiness", addrValue),
		Pages:      required(s, "pages", addrValue),
		Grace:      required(s, "grace", durationValue(time.Second, maxTimeout)),
		MemoryMB:   required(s, "memory_mb", countValue(maxMemoryMB)),
		LinkMbps:   required(s, "link_mbps", weightValue),
		Control:    readSeeds(s),
		Budget:     readBudget(d),
		TargetList: readTargetList(d),
		Log:        readLog(d),
		Bounds:     readBounds(d),
	}
	d.checkSections("[gateway], [extra arrivals], [target list], [log], [log levels] or [bounds]", func(name string) bool {
		return name == sectionGateway || name == sectionBudget || name == sectionList || isCommon(name)
	})
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return g, nil
}

// maxMemoryMB bounds the memory of a process.
const maxMemoryMB = 1 << 20

// readSeeds reads the control members by their HTTP addresses and the port at
// which all of them serve rpc.
func readSeeds(s *section) []netip.AddrPort {
	port := required(s, "control_rpc_port", countValue(maxPort))
	var out []netip.AddrPort
	for _, a := range list(s, "control", addrValue) {
		out = append(out, netip.AddrPortFrom(a.Addr(), uint16(port))) //nolint:gosec // Bounded by maxPort.
	}
	return out
}

func readBudget(d *document) Budget {
	s := d.one(sectionBudget)
	return Budget{
		Ratio:  required(s, "ratio", shareValue),
		Slack:  required(s, "slack", countValue(maxInFlight)),
		Window: required(s, "window", durationValue(time.Second, maxTimeout)),
	}
}

func readTargetList(d *document) TargetList {
	s := d.one(sectionList)
	return TargetList{
		Addr:      required(s, "address", addrValue),
		Lag:       required(s, "lag", durationValue(0, maxTimeout)),
		DrainTime: required(s, "drain_time", durationValue(time.Millisecond, maxTimeout)),
	}
}

// SelfFormingControl holds the settings of a control member whose group forms itself.
type SelfFormingControl struct {
	VM topology.VM
	// RPCListen is where the member listens if others reach it at VM.RPC over
	// something in between; VM.RPC otherwise.
	RPCListen netip.AddrPort
	Region    topology.Region
	// Seeds lists the rpc addresses of the first members, or of some members.
	Seeds []netip.AddrPort
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	DataFolder string
	TargetList TargetList
	MemoryMB   int
	Log        Log
	Bounds     Bounds
}

// LoadSelfFormingControl reads the file of a control member whose group forms itself.
// The error is a Faults.
func LoadSelfFormingControl(path string) (*SelfFormingControl, error) {
	d := readDocument(path)
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	s := d.one(sectionControl)
	c := &SelfFormingControl{
		VM:         readVM(s),
		Region:     required(s, "region", nameOf[topology.Region]()),
		FirstStart: required(s, "first_start", truthValue),
		DataFolder: required(s, "data_folder", folderValue(path)),
		MemoryMB:   required(s, "memory_mb", countValue(maxMemoryMB)),
		Seeds:      readSeeds(s),
		TargetList: readTargetList(d),
		Log:        readLog(d),
		Bounds:     readBounds(d),
	}
	c.RPCListen = optional(s, "rpc_listen", addrValue, c.VM.RPC)
	d.checkSections("[control], [target list], [log], [log levels] or [bounds]", func(name string) bool {
		return name == sectionControl || name == sectionList || isCommon(name)
	})
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return c, nil
}

// truthValue is a truth value as templates print it.
var truthValue = value[bool]{
	expected: "true or false",
	parse: func(s string) (bool, bool) {
		b, err := strconv.ParseBool(s)
		return b, err == nil
	},
}
