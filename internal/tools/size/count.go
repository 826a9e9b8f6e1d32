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

// lines counts the lines of one folder by sort.
type lines struct {
	code, test, generated int
}

func (l *lines) add(o lines) {
	l.code += o.code
	l.test += o.test
	l.generated += o.generated
}

// corePackages hold routing, limits, retries, membership, state and recovery.
var corePackages = []string{
	"board", "consensus", "control", "entry", "lease", "owner", "query", "router",
}

var generatedLine = regexp.MustCompile(`(?m)^// Code generated .* DO NOT EDIT\.$`)

// countTree counts the Go files under root by their folder.
func countTree(root string) (map[string]lines, error) {
	counts := make(map[string]lines)
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

func countFile(name, text string) lines {
	n := 0
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) != "" {
			n++
		}
	}
	switch {
	case generatedLine.MatchString(text):
		return lines{generated: n}
	case strings.HasSuffix(name, "_test.go"):
		return lines{test: n}
	default:
		return lines{code: n}
	}
}

func isCore(folder string) bool {
	top, _, _ := strings.Cut(folder, "/")
	return slices.Contains(corePackages, top)
}

// report prints the folders, the sum, and the two shares.
func report(counts map[string]lines) string {
	var folders []string
	var all, core lines
	for folder, l := range counts {
		folders = append(folders, folder)
		all.add(l)
		if isCore(folder) {
			core.add(l)
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

func writeRow(b *strings.Builder, name string, l lines) {
	fmt.Fprintf(b, "%-28s %8d %8d %10d\n", name, l.code, l.test, l.generated)
}

func percent(part, whole int) string {
	if whole == 0 {
		return "0.0 %"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(whole))
}
