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
	sectionKeys    = "workspaces"
	sectionQuotas  = "quotas"

	// maxPort is the highest port number.
	maxPort = 1<<16 - 1
	// maxPlatformTime bounds the times that the platform states.
	maxPlatformTime = 30 * 24 * time.Hour
	// defaultGrace, defaultListLag and defaultDrainTime apply if the platform states
	// none.
	defaultGrace     = 6 * time.Second
	defaultListLag   = time.Second
	defaultDrainTime = 3 * time.Second
	// defaultRevocationTime applies if the platform states none.
	defaultRevocationTime = 5 * time.Second
)

// defaultBudget applies if the platform states no limits of its own. It is strict,
// since retries that no one limits can overload a service.
var defaultBudget = Budget{Ratio: 0.1, Slack: 10, Window: 10 * time.Second}

// Budget limits the extra arrivals at a service (retries and hedges), summed over
// all gateways.
type Budget struct {
	// Ratio is the allowed fraction of extra arrivals among the requests of a
	// window.
	Ratio float64
	// Slack is the number of extra arrivals that a window may have in addition. It
	// may be fractional.
	Slack  float64
	Window time.Duration
}

// TargetList holds the address of the platform's list of targets and its timing.
type TargetList struct {
	Addr netip.AddrPort
	// Lag is how far the list may lag behind the real state.
	Lag time.Duration
	// DrainTime is the time within which a draining target must stop receiving new
	// work.
	DrainTime time.Duration
}

// Revocation says what a gateway does with withdrawn keys of workspaces.
type Revocation struct {
	// Strict means that requests with keys are refused if control hasn't confirmed the
	// configuration for Time. Otherwise the gateway goes on with its last one.
	Strict bool
	Time   time.Duration
}

// Quotas bounds the requests of a workspace with a quota, summed over all gateways: in
// any Window, they stay within the quota and Overage, a share of it, and Slack, a number
// of requests.
type Quotas struct {
	// Window is 0 if gateways don't share quotas.
	Window         time.Duration
	Overage, Slack float64
}

// Shared reports whether gateways share quotas.
func (q Quotas) Shared() bool { return q.Window > 0 }

// Gateway holds the settings of one forwarding router.
type Gateway struct {
	VM topology.VM
	// Readiness is the address for readiness checks of the load balancer.
	Readiness netip.AddrPort
	// Pages is the address of the metrics and status pages.
	Pages netip.AddrPort
	// Control lists the rpc addresses of some control members.
	Control    []netip.AddrPort
	Budget     Budget
	TargetList TargetList
	Revocation Revocation
	Quotas     Quotas
	Rollouts   Rollouts
	Learning   Learning
	// Grace is the time between the termination signal and the forced exit.
	Grace time.Duration
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int
	// MaxFDs is the number of file descriptors that the process may use, 0 for the
	// operating system's limit.
	MaxFDs int
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s.
	LinkMbps float64
	Log      Log
	Bounds   Bounds
}

// LoadGateway reads the settings file of a forwarding router. The error is a
// Faults.
func LoadGateway(path string) (*Gateway, error) {
	d := readDocument(path)
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	s := d.requiredSection(sectionGateway)
	g := &Gateway{
		VM:         readVM(s),
		Readiness:  required(s, "readiness", addrValue),
		Pages:      required(s, "pages", addrValue),
		Grace:      optional(s, "grace", durationValue(0, maxPlatformTime), defaultGrace),
		MemoryMB:   required(s, "memory_mb", roundedDownValue(1, maxMemoryMB)),
		MaxFDs:     optional(s, "max_fds", roundedDownValue(0, maxFDs), 0),
		LinkMbps:   required(s, "link_mbps", weightValue),
		Control:    readSeeds(s),
		Budget:     readBudget(d),
		TargetList: readTargetList(d),
		Revocation: readRevocation(d),
		Quotas:     readQuotas(d),
		Rollouts:   readRollouts(d),
		Learning:   readLearning(d),
		Log:        readLog(d),
		Bounds:     readBounds(d),
	}
	d.checkSectionNames(sectionGateway, sectionBudget, sectionList, sectionKeys, sectionQuotas, sectionRollouts, sectionLearning)
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return g, nil
}

const (
	// defaultToleratedLosses applies if the platform states none, and
	// maxToleratedLosses bounds the number.
	defaultToleratedLosses = 1
	maxToleratedLosses     = 1 << 20
)

// maxMemoryMB bounds the memory of a process, in MiB.
const maxMemoryMB = 1 << 20

// maxFDs bounds the file descriptors of a process.
const maxFDs = 1 << 24

// readSeeds returns the rpc addresses of the control members. The file lists their
// HTTP addresses and the rpc port that all of them share.
func readSeeds(s *section) []netip.AddrPort {
	port := required(s, "control_rpc_port", countValue(maxPort))
	var out []netip.AddrPort
	for _, a := range list(s, "control", addrValue) {
		out = append(out, netip.AddrPortFrom(a.Addr(), uint16(port))) //nolint:gosec // Bounded by maxPort.
	}
	return out
}

func readBudget(d *document) Budget {
	s := d.requiredSection(sectionBudget)
	return Budget{
		Ratio:  optional(s, "ratio", amountValue, defaultBudget.Ratio),
		Slack:  optional(s, "slack", amountValue, defaultBudget.Slack),
		Window: optional(s, "window", durationValue(time.Millisecond, maxPlatformTime), defaultBudget.Window),
	}
}

func readRevocation(d *document) Revocation {
	s := d.sectionOrEmpty(sectionKeys)
	return Revocation{
		Strict: optional(s, "strict_revocation", flagValue, false),
		Time:   optional(s, "revocation_time", durationValue(0, maxPlatformTime), defaultRevocationTime),
	}
}

func readQuotas(d *document) Quotas {
	s := d.sectionOrEmpty(sectionQuotas)
	return Quotas{
		Window:  optional(s, "window", durationValue(0, maxPlatformTime), 0),
		Overage: optional(s, "overage", amountValue, 0),
		Slack:   optional(s, "slack", amountValue, 0),
	}
}

func readTargetList(d *document) TargetList {
	s := d.requiredSection(sectionList)
	return TargetList{
		Addr:      required(s, "address", addrValue),
		Lag:       optional(s, "lag", durationValue(0, maxPlatformTime), defaultListLag),
		DrainTime: optional(s, "drain_time", durationValue(0, maxPlatformTime), defaultDrainTime),
	}
}

// SelfFormingControl holds the settings of a control member whose group forms
// itself: members join through seeds instead of a fixed list of members.
type SelfFormingControl struct {
	VM topology.VM
	// RPCListen is the address on which the member listens, VM.RPC by default. It
	// differs if other members reach VM.RPC through a proxy or port mapping.
	RPCListen netip.AddrPort
	Region    topology.Region
	// Seeds lists the rpc addresses of the first members, or of some current
	// members.
	Seeds []netip.AddrPort
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	DataFolder string
	// ToleratedLosses is the number of members that may lose their disks at once.
	ToleratedLosses int
	TargetList      TargetList
	Quotas          Quotas
	Rollouts        Rollouts
	MemoryMB        int
	// MaxFDs is the number of file descriptors that the process may use, 0 for the
	// operating system's limit.
	MaxFDs int
	Log    Log
	Bounds Bounds
}

// LoadSelfFormingControl reads the settings file of a control member whose group
// forms itself. The error is a Faults.
func LoadSelfFormingControl(path string) (*SelfFormingControl, error) {
	d := readDocument(path)
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	s := d.requiredSection(sectionControl)
	c := &SelfFormingControl{
		VM:         readVM(s),
		Region:     required(s, "region", nameOf[topology.Region]()),
		FirstStart: required(s, "first_start", templateBoolValue),
		DataFolder: required(s, "data_folder", folderValue(path)),
		MemoryMB:   required(s, "memory_mb", roundedDownValue(1, maxMemoryMB)),
		MaxFDs:     optional(s, "max_fds", roundedDownValue(0, maxFDs), 0),
		Seeds:      readSeeds(s),
		TargetList: readTargetList(d),
		Quotas:     readQuotas(d),
		Rollouts:   readRollouts(d),
		Log:        readLog(d),
		Bounds:     readBounds(d),
	}
	c.ToleratedLosses = optional(s, "tolerated_losses", roundedDownValue(0, maxToleratedLosses), defaultToleratedLosses)
	c.RPCListen = optional(s, "rpc_listen", addrValue, c.VM.RPC)
	d.checkSectionNames(sectionControl, sectionList, sectionQuotas, sectionRollouts)
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return c, nil
}

// templateBoolValue is a boolean in the format that templates print. It accepts
// what strconv.ParseBool accepts.
var templateBoolValue = value[bool]{
	expected: "true or false",
	parse: func(s string) (bool, bool) {
		b, err := strconv.ParseBool(s)
		return b, err == nil
	},
}
