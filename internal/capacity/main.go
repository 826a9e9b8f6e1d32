// Command capacity measures how the costs of the system's parts grow with their
// sizes, extrapolates them linearly to the demand expected in two years, and
// writes docs/CAPACITY.md with a plot of each line. The measured sizes are
// small; the page states the factor of each extrapolation.
//
// With the argument "render" it writes the page and the plots from the stored
// measurements without measuring again. It must be run in the root of the
// repository.
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
	// measurementsPath is the file with the measurements of the last run, as JSON.
	measurementsPath = plotFolder + "/figures.json"
	// renderOnly is the argument that skips the measurements.
	renderOnly = "render"
	// maxProcs is the number of processors that the measurements use, that of a
	// small VM.
	maxProcs = 2
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures and renders, or only renders if the first argument is
// renderOnly.
func run() error {
	if len(os.Args) > 1 && os.Args[1] == renderOnly {
		m, err := readMeasurements()
		if err != nil {
			return err
		}
		return render(m)
	}
	runtime.GOMAXPROCS(maxProcs)
	m, err := measureAll()
	if err != nil {
		return err
	}
	if err := writeMeasurements(m); err != nil {
		return err
	}
	return render(m)
}

// measureAll runs all measurements one after another and prints how long each
// took.
func measureAll() (*measurements, error) {
	m := &measurements{}
	for _, measure := range []func(*measurements) error{
		fitFanOut, fitOwnerCount, fitSearch, fitWholePath, fitStreamMemory, fitConnectionMemory,
		fitRenewals, fitDelta, fitSnapshotSizes, fitPush, fitPlacement, fitLeaderIdle, fitStateMemory,
		fitHistory, fitIdleGroup, fitConfirmations, fitCommitTime, fitLogFiles, measureCurrentSystem,
	} {
		start := time.Now()
		if err := measure(m); err != nil {
			return nil, err
		}
		fmt.Println("measured in", time.Since(start).Round(time.Millisecond))
	}
	return m, nil
}

// readMeasurements reads the measurements of the last run.
func readMeasurements() (*measurements, error) {
	data, err := os.ReadFile(filepath.FromSlash(measurementsPath))
	if err != nil {
		return nil, err
	}
	m := &measurements{}
	return m, json.Unmarshal(data, m)
}

// writeMeasurements stores the measurements, and creates the folder if needed.
func writeMeasurements(m *measurements) error {
	if err := os.MkdirAll(plotFolder, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.FromSlash(measurementsPath), data, 0o600)
}

// render draws the plots and writes the page.
func render(m *measurements) error {
	if err := drawAll(plotFolder, m.slopes()); err != nil {
		return err
	}
	var page bytes.Buffer
	if err := writePage(&page, project(m)); err != nil {
		return err
	}
	return os.WriteFile(filepath.FromSlash(pagePath), page.Bytes(), 0o600)
}
