package settings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
)

const deploymentText = `; A small deployment.
[deployment]
name = small
region = here
data_centres = dc-a, dc-b
hedge_budget = 0.02
retry_budget = 0.1

[group desk]
slots = 3
connections = 30
connect_cost = 6ms
cold_limit = 1
warm_after = 5s

[kind sweep]
weight = 2
policy = coverage
min_coverage = 0.9
deadline = 500ms
idempotent = no

[shard desk/00]
replicas = dc-a 127.0.0.1:21000, dc-b 127.0.0.1:21001 second
`

// TestParseDeployment guards against a valid deployment whose values end up in the
// wrong fields, and against changed ids of targets.
func TestParseDeployment(t *testing.T) {
	d, err := settings.ParseDeployment("small.ini", []byte(deploymentText))
	if err != nil {
		t.Fatal(err)
	}
	g := d.Groups[0]
	if g.Slots != 3 || g.ConnectCost != 6*time.Millisecond || g.Shards[0] != "desk/00" {
		t.Errorf("group: %+v", g)
	}
	if d.Targets[0].ID != "desk/00@127.0.0.1:21000" || d.Targets[1].ID != "desk/00/second" {
		t.Errorf("targets: %+v", d.Targets)
	}
	if k := d.Kinds[0]; k.Idempotent || k.Policy != topology.PolicyCoverage || k.MinCoverage != 0.9 {
		t.Errorf("kind: %+v", k)
	}
}

// edit is a change that makes a file invalid in one place, and the expected fault.
type edit struct {
	name, old, new string
	line           int
	key, got       string
}

// TestDeploymentFaults guards against invalid deployments that are accepted, and
// against faults at the wrong line or key.
func TestDeploymentFaults(t *testing.T) {
	for _, e := range []edit{
		{"unknown key", "slots = 3", "slots = 3\nslotz = 4", 11, "slotz", "slotz"},
		{"unknown section", "[kind sweep]", "[sort sweep]", 16, "", "sort sweep"},
		{"wrong unit", "connect_cost = 6ms", "connect_cost = 6", 12, "connect_cost", "6"},
		{"unknown unit", "warm_after = 5s", "warm_after = 5 min", 14, "warm_after", "5 min"},
		{"host name", "127.0.0.1:21000", "localhost:21000", 24, "replicas", "dc-a localhost:21000"},
		{"no port", "127.0.0.1:21000", "127.0.0.1", 24, "replicas", "dc-a 127.0.0.1"},
		{"one address twice", "127.0.0.1:21001", "127.0.0.1:21000", 24, "replicas", "127.0.0.1:21000"},
		{
			"one name twice", "127.0.0.1:21000", "127.0.0.1:21000 second", 24,
			"replicas", "desk/00/second",
		},
		{"unknown data centre", "dc-b 127", "dc-c 127", 24, "replicas", "dc-c"},
		{"slots over connections", "slots = 3", "slots = 31", 10, "slots", "31"},
		{"cold limit over slots", "cold_limit = 1", "cold_limit = 4", 13, "cold_limit", "4"},
		{"weight zero", "weight = 2", "weight = 0", 17, "weight", "0"},
		{"weight not a number", "weight = 2", "weight = NaN", 17, "weight", "NaN"},
		{"share over one", "min_coverage = 0.9", "min_coverage = 1.1", 19, "min_coverage", "1.1"},
		{"key missing", "name = small\n", "", 2, "name", ""},
		{"key twice", "name = small", "name = small\nname = big", 4, "name", "name = big"},
		{"section twice", "[kind sweep]", "[group desk]", 16, "", "[group desk]"},
		{"no such group", "[shard desk/00]", "[shard desks/00]", 23, "", "desks/00"},
		{"group without shards", "[kind sweep]", "[group lone]", 16, "", ""},
		{"not an INI line", "slots = 3", "slots: 3", 10, "", "slots: 3"},
	} {
		t.Run(e.name, func(t *testing.T) {
			text := strings.Replace(deploymentText, e.old, e.new, 1)
			_, err := settings.ParseDeployment("f.ini", []byte(text))
			requireFault(t, err, e.line, e.key, e.got)
		})
	}
}

func requireFault(t *testing.T, err error, line int, key, got string) {
	t.Helper()
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want Faults", err)
	}
	for _, f := range faults {
		if f.Line == line && f.Key == key && f.Got == got && f.Expected != "" {
			return
		}
	}
	t.Fatalf("no fault in line %d, key %q, got %q:\n%v", line, key, got, err)
}

// TestAllFaultsAreReportedAtOnce guards against reading that stops at the first
// fault.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer("slots = 3", "slots = 0", "6ms", "6", "weight = 2", "weight = -1",
		"0.02", "2").Replace(deploymentText)
	_, err := settings.ParseDeployment("f.ini", []byte(text))
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != 4 {
		t.Fatalf("got %v, want 4 faults", err)
	}
}

// copyExamples copies the files of one example to a temporary folder, creates its
// data folders, and returns the path of the folder.
func copyExamples(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join("..", "examples", name, "*.ini"))
	if err != nil || len(files) != 12 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		write(t, filepath.Join(dir, filepath.Base(f)), string(data))
	}
	for _, n := range []string{"1", "2", "3"} {
		if err := os.MkdirAll(filepath.Join(dir, "data", "state-"+n), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestExamplesHaveExpectedSizes guards against examples that are invalid or whose
// numbers of data centres, shards and targets change by accident.
func TestExamplesHaveExpectedSizes(t *testing.T) {
	for name, want := range map[string]struct{ dcs, shards, targets int }{
		"duenger": {3, 27, 89},
		"brazos":  {4, 27, 83},
	} {
		t.Run(name, func(t *testing.T) {
			dir := copyExamples(t, name)
			d, err := settings.LoadDeployment(filepath.Join(dir, "deployment.ini"))
			if err != nil {
				t.Fatal(err)
			}
			shards := len(topology.NewIndex(d).Shards())
			if len(d.DataCentres) != want.dcs || shards != want.shards || len(d.Targets) != want.targets {
				t.Errorf("%d data centres, %d shards, %d targets", len(d.DataCentres), shards, len(d.Targets))
			}
			files, _ := filepath.Glob(filepath.Join(dir, "*.ini"))
			for _, f := range files {
				if err := settings.Check(f); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// TestControlFaults guards against control settings that contradict the list of
// members or the deployment, and against faults at the wrong line or key.
func TestControlFaults(t *testing.T) {
	for _, e := range []edit{
		{"data folder missing", "data/state-1", "data/none", 9, "data_folder", "data/none"},
		{"not in the member list", "member = 1", "member = 4", 5, "member", "4"},
		{"other name in the member list", "vm = state-1", "vm = state-9", 2, "vm", "state-9"},
		{"two members with one name", "name = state-2", "name = state-1", 19, "name", "state-1"},
		{"two members with one address", "rpc = 127.0.0.1:22202", "rpc = 127.0.0.1:22203", 25, "rpc", "127.0.0.1:22203"},
		{"no first deployment", "deployment = deployment.ini", "", 1, "deployment", ""},
		{"other region", "region = ch-mittelland", "region = elsewhere", 11, "deployment", "ch-mittelland"},
		{"not a member number", "[member 2]", "[member two]", 18, "", "two"},
	} {
		t.Run(e.name, func(t *testing.T) {
			path := filepath.Join(copyExamples(t, "duenger"), "control-1.ini")
			data, _ := os.ReadFile(path)
			write(t, path, strings.Replace(string(data), e.old, e.new, 1))
			_, err := settings.LoadControl(path)
			requireFault(t, err, e.line, e.key, e.got)
		})
	}
}

// TestRouterFaults guards against invalid router settings that are accepted, and
// against faults at the wrong line or key.
func TestRouterFaults(t *testing.T) {
	for _, e := range []edit{
		{"own address in the control list", "22201,", "22101,", 7, "control", "127.0.0.1:22101"},
		{"same address for rpc and http", "rpc = 127.0.0.1:22101", "rpc = 127.0.0.1:22001", 5, "http", "127.0.0.1:22001"},
		{"unspecified address", "127.0.0.1:22001", "0.0.0.0:22001", 5, "http", "0.0.0.0:22001"},
		{"lag without unit", "balancer_lag = 3s", "balancer_lag = 3", 8, "balancer_lag", "3"},
		{"unknown level", "level = info", "level = loud", 12, "level", "loud"},
		{"unknown part", "level = info", "[log levels]\nengine = info", 13, "engine", "engine"},
	} {
		t.Run(e.name, func(t *testing.T) {
			path := filepath.Join(copyExamples(t, "duenger"), "router-1.ini")
			data, _ := os.ReadFile(path)
			write(t, path, strings.Replace(string(data), e.old, e.new, 1))
			_, err := settings.LoadRouter(path)
			requireFault(t, err, e.line, e.key, e.got)
		})
	}
}

// FuzzParseDeployment guards against input that panics, fails with another error
// than Faults, or is accepted as an inconsistent deployment.
func FuzzParseDeployment(f *testing.F) {
	f.Add([]byte(deploymentText))
	f.Add([]byte("[deployment]\nname = `a\nb`\n[DEFAULT]\nx = %(x)s"))
	f.Add([]byte("a = 1\n[group x\n[shard x/y]\nreplicas = ,,\n\"\"\"=\\"))
	f.Add([]byte("\xef\xbb\xbf[kind a]\nweight = 1e400\ndeadline = -1ns\n- = 2"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := settings.ParseDeployment("fuzz.ini", data)
		if err != nil {
			var faults settings.Faults
			if !errors.As(err, &faults) || len(faults) == 0 || d != nil {
				t.Fatalf("got %v, want Faults and no deployment", err)
			}
			return
		}
		checkInvariants(t, d)
	})
}

// checkInvariants checks the invariants of an accepted deployment: unique ids and
// addresses, consistent limits, replicas for each shard, and a JSON encoding that
// preserves all values.
func checkInvariants(t *testing.T, d *topology.Deployment) {
	t.Helper()
	x := topology.NewIndex(d)
	seen := make(map[any]bool)
	for i := range d.Targets {
		target := &d.Targets[i]
		g := x.GroupOf(target.Shard)
		if g == nil || g.Name != target.Group || seen[target.ID] || seen[target.Addr] {
			t.Fatalf("unsound target %+v", target)
		}
		seen[target.ID], seen[target.Addr] = true, true
		if g.ColdLimit < 1 || g.ColdLimit > g.Slots || g.Slots > g.Connections {
			t.Fatalf("unsound group %+v", g)
		}
	}
	for _, s := range x.Shards() {
		if len(x.Replicas(s)) == 0 {
			t.Fatalf("shard %s has no replicas", s)
		}
	}
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var back topology.Deployment
	if err := json.Unmarshal(data, &back); err != nil || !reflect.DeepEqual(*d, back) {
		t.Fatalf("JSON changes the deployment: %v", err)
	}
}
