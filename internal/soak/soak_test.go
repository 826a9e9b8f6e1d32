package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// built builds the real programs once.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		return "", err
	}
	for _, program := range []string{"peridotmux-gateway", "peridotmux-gateway-control"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, program), "github.com/peridotmux/peridotmux/cmd/"+program)
		if out, err := cmd.CombinedOutput(); err != nil {
			return string(out), err
		}
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := built(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

func soakFor(t *testing.T, seed uint64, d time.Duration, plant string) *Result {
	t.Helper()
	bin, err := built()
	if err != nil {
		t.Fatal(bin, err)
	}
	var out strings.Builder
	r, err := Run(context.Background(), Config{Seed: seed, Duration: d, BinDir: bin, WorkDir: t.TempDir(), Out: &out, Plant: plant})
	if err != nil {
		t.Fatal(err)
	}
	if plant == "" && len(r.Violations) > 0 {
		t.Fatalf("%d promises broken:\n%s", len(r.Violations), out.String())
	}
	return r
}

func TestShortSoak(t *testing.T) {
	r := soakFor(t, 171, 12*time.Second, "")
	if r.Served == 0 || r.Disruptions == 0 {
		t.Fatalf("%+v", r)
	}
}

// Each check finds a promise that is broken on purpose. Seed 53 takes a data
// centre out.
func TestChecksFindPlantedFaults(t *testing.T) {
	for plant, c := range map[string]struct {
		seed uint64
		want string
	}{
		"twice": {172, "ran "},
		"lost":  {173, "was acknowledged"},
		"late":  {53, "after it was taken out"},
	} {
		t.Run(plant, func(t *testing.T) {
			d := 8 * time.Second
			if plant == "late" {
				d = 30 * time.Second
			}
			for _, f := range soakFor(t, c.seed, d, plant).Violations {
				if strings.Contains(f, c.want) {
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
