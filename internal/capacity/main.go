// Command capacity measures how the parts' costs grow with their sizes, works
// out what they come to two years ahead, and writes docs/CAPACITY.md with its
// plots. Sizes measured are small; the page states the stretch of each.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	pagePath   = "docs/CAPACITY.md"
	plotFolder = "docs/capacity"
	// processors is the number of processors used, that of a small VM.
	processors = 2
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	runtime.GOMAXPROCS(processors)
	f := &figures{}
	for _, measure := range []func(*figures) error{
		fanOutSlopes, ownersSlopes, searchProcessor, wholePathSlope, streamMemory, targetMemory,
		renewalSlopes, deltaSlope, wholeSlopes, pushSlopes, placementSlopes, leaderIdle, memorySlopes,
		historySlopes,
	} {
		begun := time.Now()
		if err := measure(f); err != nil {
			return err
		}
		fmt.Println("measured in", time.Since(begun).Round(time.Millisecond))
	}
	if err := os.MkdirAll(plotFolder, 0o755); err != nil {
		return err
	}
	if err := drawAll(plotFolder, f.slopes()); err != nil {
		return err
	}
	var page bytes.Buffer
	if err := writePage(&page, work(f)); err != nil {
		return err
	}
	return os.WriteFile(filepath.FromSlash(pagePath), page.Bytes(), 0o600)
}
