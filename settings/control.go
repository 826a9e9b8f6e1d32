package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peridotmux/peridotmux/topology"
)

const (
	sectionControl = "control"
	prefixMember   = "member "

	// maxMembers is the maximum number of voting members of a control group.
	maxMembers = 7
)

// MemberNumber identifies a control member. Numbers are never reused.
type MemberNumber uint64

// Member is one entry of the list of control members.
type Member struct {
	Number MemberNumber
	Name   topology.VMName
	RPC    netip.AddrPort
	HTTP   netip.AddrPort
}

// Control holds the settings of one control member.
type Control struct {
	VM     topology.VM
	Region topology.Region
	Member MemberNumber
	// DataFolder is the path of the folder that holds all files of the process.
	DataFolder string
	// Members lists the initial members, including this one, sorted by number.
	Members []Member
	// Bootstrap allows a member with an empty data folder to create a new group with
	// Members.
	Bootstrap bool
	// Deployment is the first deployment, nil if the file does not refer to one.
	Deployment *topology.Deployment
	// Pprof enables profiles on the HTTP address.
	Pprof  bool
	Log    Log
	Bounds Bounds
}

// LoadControl reads the settings file of a control member and the deployment file
// that it refers to. Relative paths are relative to the settings file. The error is
// a Faults.
func LoadControl(path string) (*Control, error) {
	d := readDocument(path)
	if len(d.sections) == 0 && len(d.faults) > 0 {
		return nil, d.result()
	}
	s := d.requiredSection(sectionControl)
	c := &Control{
		VM:         readVM(s),
		Region:     required(s, "region", nameOf[topology.Region]()),
		Member:     MemberNumber(required(s, "member", countValue(maxMemberNumber))),
		DataFolder: required(s, "data_folder", folderValue(path)),
		Members:    readMembers(d),
		Bootstrap:  required(s, "bootstrap", boolValue),
		Pprof:      optional(s, "pprof", boolValue, false),
		Log:        readLog(d),
		Bounds:     readBounds(d),
	}
	c.Deployment = readFirstDeployment(s, path, c)
	checkMembers(s, c)
	d.checkSections("[control], [member NUMBER], [log], [log levels] or [bounds]", func(name string) bool {
		return name == sectionControl || strings.HasPrefix(name, prefixMember) || isCommon(name)
	})
	d.checkUsed()
	if err := d.result(); err != nil {
		return nil, err
	}
	return c, nil
}

// maxMemberNumber is the highest number of a control member.
const maxMemberNumber = 1 << 20

// pathValue returns the value type for paths, relative to the folder of file.
func pathValue(file string) value[string] {
	return value[string]{
		expected: "a path",
		parse: func(s string) (string, bool) {
			if s == "" || filepath.IsAbs(s) {
				return s, s != ""
			}
			return filepath.Join(filepath.Dir(file), s), true
		},
	}
}

// folderValue is like pathValue for folders that exist.
func folderValue(file string) value[string] {
	return value[string]{
		expected: "a folder that exists",
		parse: func(s string) (string, bool) {
			path, ok := pathValue(file).parse(s)
			if !ok {
				return "", false
			}
			info, err := os.Stat(path)
			return path, err == nil && info.IsDir()
		},
	}
}

// readMembers reads the sections of members and sorts them by number.
func readMembers(d *document) []Member {
	var members []Member
	for _, s := range d.sections {
		text, ok := strings.CutPrefix(s.name, prefixMember)
		if !ok {
			continue
		}
		number := countValue(maxMemberNumber)
		n, ok := number.parse(text)
		if !ok || text != itoa(n) {
			s.faultAt(s.line, "", "[member NUMBER], "+number.expected, text)
		}
		m := Member{
			Number: MemberNumber(n),
			Name:   required(s, "name", nameOf[topology.VMName]()),
			RPC:    required(s, "rpc", addrValue),
			HTTP:   required(s, "http", addrValue),
		}
		checkDistinct(s, members, m)
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return int(a.Number) - int(b.Number) })
	return members
}

// checkDistinct reports each name or address of m that an earlier member uses.
func checkDistinct(s *section, earlier []Member, m Member) {
	if m.RPC.IsValid() && m.RPC == m.HTTP {
		s.fault("http", "another address than rpc", m.HTTP.String())
	}
	for _, o := range earlier {
		if m.Name != "" && o.Name == m.Name {
			s.fault("name", "a name of its own", string(m.Name))
		}
		if m.RPC.IsValid() && (o.RPC == m.RPC || o.HTTP == m.RPC) {
			s.fault("rpc", "an address of its own", m.RPC.String())
		}
		if m.HTTP.IsValid() && (o.RPC == m.HTTP || o.HTTP == m.HTTP) {
			s.fault("http", "an address of its own", m.HTTP.String())
		}
	}
}

// checkMembers reports a list of members that is too long, lacks this member, or
// contradicts this member's own section.
func checkMembers(s *section, c *Control) {
	if len(c.Members) > maxMembers {
		s.faultAt(s.line, "", "at most "+itoa(maxMembers)+" sections [member NUMBER]", itoa(len(c.Members)))
	}
	at := slices.IndexFunc(c.Members, func(m Member) bool { return m.Number == c.Member })
	if at < 0 {
		s.fault("member", "the number of a section [member NUMBER]", itoa(int(c.Member)))
		return
	}
	own := c.Members[at]
	if own.Name != c.VM.Name {
		s.fault("vm", "the name in [member "+itoa(int(own.Number))+"], "+string(own.Name), string(c.VM.Name))
	}
	if own.RPC != c.VM.RPC {
		s.fault("rpc", "the address in [member "+itoa(int(own.Number))+"], "+own.RPC.String(), c.VM.RPC.String())
	}
	if own.HTTP != c.VM.HTTP {
		s.fault("http", "the address in [member "+itoa(int(own.Number))+"], "+own.HTTP.String(), c.VM.HTTP.String())
	}
}

// readFirstDeployment reads the deployment file, adds its faults to those of s, and
// checks that it matches the settings of the member.
func readFirstDeployment(s *section, file string, c *Control) *topology.Deployment {
	const key = "deployment"
	path := optional(s, key, pathValue(file), "")
	if path == "" {
		if c.Bootstrap {
			s.fault(key, "the first deployment's file, since bootstrap is yes", "")
		}
		return nil
	}
	first := readDocument(path)
	d, err := readDeployment(first)
	if err != nil {
		s.doc.faults = append(s.doc.faults, first.faults...)
		return nil
	}
	if d.Region != c.Region {
		s.fault(key, "a deployment of region "+string(c.Region), string(d.Region))
	}
	if !slices.Contains(d.DataCentres, c.VM.DataCentre) {
		s.fault("data_centre", "a data centre of the deployment", string(c.VM.DataCentre))
	}
	return d
}
