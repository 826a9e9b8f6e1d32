package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// lineCounts holds the number of non-blank lines of a file or folder by kind.
type lineCounts struct {
	code, test, generated int
}

func (c *lineCounts) add(other lineCounts) {
	c.code += other.code
	c.test += other.test
	c.generated += other.generated
}

// corePackages lists the top-level folders that hold routing, limits, retries,
// membership, state and recovery.
var corePackages = []string{
	"board", "consensus", "control", "entry", "lease", "owner", "query", "router",
}

// generatedMarker matches the standard header of generated Go files.
var generatedMarker = regexp.MustCompile(`(?m)^// Code generated .* DO NOT EDIT\.$`)

// countTree counts the lines of the Go files below root. The keys are folders
// relative to root, with slashes. Folders whose name begins with a dot are
// skipped.
func countTree(root string) (map[string]lineCounts, error) {
	counts := make(map[string]lineCounts)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		sum := counts[filepath.ToSlash(folder)]
		sum.add(countFile(d.Name(), string(data)))
		counts[filepath.ToSlash(folder)] = sum
		return nil
	})
	return counts, err
}

// countFile counts the lines of one file. The header of generated code takes
// precedence over the file name.
func countFile(name, text string) lineCounts {
	n := 0
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) != "" {
			n++
		}
	}
	switch {
	case generatedMarker.MatchString(text):
		return lineCounts{generated: n}
	case strings.HasSuffix(name, "_test.go"):
		return lineCounts{test: n}
	default:
		return lineCounts{code: n}
	}
}

// isCore reports whether folder lies in a core package.
func isCore(folder string) bool {
	top, _, _ := strings.Cut(folder, "/")
	return slices.Contains(corePackages, top)
}

// report formats the counts of each folder, the totals of all and of the core
// packages, the core's share of the code, and the tests' share of code and
// tests.
func report(counts map[string]lineCounts) string {
	var folders []string
	var all, core lineCounts
	for folder, c := range counts {
		folders = append(folders, folder)
		all.add(c)
		if isCore(folder) {
			core.add(c)
		}
	}
	slices.Sort(folders)
	var b strings.Builder
	fmt.Fprintf(&b, "%-28s %8s %8s %10s\n", "folder", "code", "tests", "generated")
	for _, folder := range folders {
		writeRow(&b, folder, counts[folder])
	}
	writeRow(&b, "all", all)
	writeRow(&b, "core", core)
	fmt.Fprintf(&b, "core (%s): %s of the code\n", strings.Join(corePackages, ", "), percent(core.code, all.code))
	fmt.Fprintf(&b, "tests: %s of code and tests\n", percent(all.test, all.test+all.code))
	return b.String()
}

func writeRow(b *strings.Builder, name string, c lineCounts) {
	fmt.Fprintf(b, "%-28s %8d %8d %10d\n", name, c.code, c.test, c.generated)
}

// percent formats part as a percentage of whole, and as 0 if whole is 0.
func percent(part, whole int) string {
	if whole == 0 {
		return "0.0 %"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(whole))
}
