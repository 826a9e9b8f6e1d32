package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestSettingsCheckFailsOnFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.ini")
	if err := os.WriteFile(path, []byte("[router]\nvm = entry-1\nhttp = here:80\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var faulty *FaultyFileError
	// Missing: region, data_centre, rpc and control; http is no address.
	if err := checkSettings(path); !errors.As(err, &faulty) || faulty.Faults != 5 {
		t.Fatalf("got %v", err)
	}
}

func TestSettingsCheckPassesExamples(t *testing.T) {
	for _, name := range []string{"deployment.ini", "router-1.ini"} {
		if err := checkSettings(filepath.Join("..", "..", "examples", "brazos", name)); err != nil {
			t.Error(err)
		}
	}
}
