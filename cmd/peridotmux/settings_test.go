package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// The check must report every fault of a file, not only the first.
func TestSettingsCheckFailsOnFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.ini")
	if err := os.WriteFile(path, []byte("[router]\nvm = entry-1\nhttp = here:80\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var faulty *FaultyFileError
	// Five faults: region, data_centre, rpc and control are missing, and http isn't
	// an IP address with a port.
	if err := checkSettings(path); !errors.As(err, &faulty) || faulty.Faults != 5 {
		t.Fatalf("got %v", err)
	}
}

// Guards against example files that fall behind the settings that the programs
// accept.
func TestSettingsCheckPassesExamples(t *testing.T) {
	for _, name := range []string{"deployment.ini", "router-1.ini"} {
		if err := checkSettings(filepath.Join("..", "..", "examples", "brazos", name)); err != nil {
			t.Error(err)
		}
	}
}
