// Command capacity measures how the parts' costs grow with their sizes, works
// out what they come to two years ahead, and writes docs/CAPACITY.md with its
// plots. Sizes measured are small; the page states the stretch of each.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	pagePath   = "docs/CAPACITY.md"
	plotFolder = "docs/capacity"
	pointsPath = plotFolder + "/figures.json"
	// renderOnly is the argument that leaves out the measuring.
	renderOnly = "render"
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
	if len(os.Args) > 1 && os.Args[1] == renderOnly {
		f, err := readFigures()
		if err != nil {
			return err
		}
		return render(f)
	}
	runtime.GOMAXPROCS(processors)
	f, err := measureAll()
	if err != nil {
		return err
	}
	if err := writeFigures(f); err != nil {
		return err
	}
	return render(f)
}

func measureAll() (*figures, error) {
	f := &figures{}
	for _, measure := range []func(*figures) error{
		fanOutSlopes, ownersSlopes, searchProcessor, wholePathSlope, streamMemory, targetMemory,
		renewalSlopes, deltaSlope, wholeSlopes, pushSlopes, placementSlopes, leaderIdle, memorySlopes,
		historySlopes, idleSlopes, confirmSlopes, proposeSlope, diskSlopes, wholeToday,
	} {
		begun := time.Now()
		if err := measure(f); err != nil {
			return nil, err
		}
		fmt.Println("measured in", time.Since(begun).Round(time.Millisecond))
	}
	return f, nil
}

func readFigures() (*figures, error) {
	data, err := os.ReadFile(filepath.FromSlash(pointsPath))
	if err != nil {
		return nil, err
	}
	f := &figures{}
	return f, json.Unmarshal(data, f)
}

func writeFigures(f *figures) error {
	if err := os.MkdirAll(plotFolder, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.FromSlash(pointsPath), data, 0o600)
}

// render draws the plots and writes the page.
func render(f *figures) error {
	if err := drawAll(plotFolder, f.slopes()); err != nil {
		return err
	}
	var page bytes.Buffer
	if err := writePage(&page, work(f)); err != nil {
		return err
	}
	return os.WriteFile(filepath.FromSlash(pagePath), page.Bytes(), 0o600)
}
