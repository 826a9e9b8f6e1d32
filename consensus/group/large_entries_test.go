package group_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against entries that pile up on the disk and in memory until a number of them
// is reached, whatever their size: a member with little memory and disk then ended by
// itself, and needed so long to start that gateways took an older configuration.
func TestLargeEntriesAreCompactedBySize(t *testing.T) {
	const (
		entries    = 60
		entryBytes = 700 << 10
		// maxFolderBytes is an eighth of the disk of the first users' control VMs.
		maxFolderBytes = 16 << 20
	)
	c := newCluster(t, 3)
	c.discard = true
	c.journal = true
	c.startAll()
	for i := range entries {
		c.propose(fmt.Sprint(i, ":") + string(bytes.Repeat([]byte("x"), entryBytes)))
		for _, m := range c.members {
			if size := journalBytes(t, c.dirs[m.ID]); size > maxFolderBytes {
				t.Fatalf("after %d entries of %d bytes, member %d has %d bytes on its disk", i+1, entryBytes, m.ID, size)
			}
		}
	}
	for _, m := range c.members {
		c.running[m.ID].stop()
	}
	began := time.Now()
	c.startAll()
	c.propose("after the restart")
	for id, p := range c.running {
		if got := p.machine.appliedCount(); got > entries/2 {
			t.Errorf("member %d applied %d entries again after a restart", id, got)
		}
	}
	t.Logf("committed %v after the start", time.Since(began))
}

// journalBytes returns the size of the files in a data folder.
func journalBytes(t *testing.T, dir string) int64 {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	for _, name := range names {
		// A file may be renamed meanwhile.
		if info, err := os.Stat(name); err == nil {
			total += info.Size()
		}
	}
	return total
}
