// Package settings reads the INI files of the system's processes and of
// operators. A file is validated completely before a process starts: all of its
// faults are reported at once, each with its position and the expected value.
package settings

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1; it is 0 if the fault belongs to no line.
	Line    int
	Section string
	Key     string
	// Expected describes the valid values.
	Expected string
	// Got is the invalid value, empty if it is missing.
	Got string
}

// Error describes the fault in one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		b.WriteString(":" + strconv.Itoa(f.Line))
	}
	b.WriteString(": ")
	if f.Section != "" {
		b.WriteString("[" + f.Section + "] ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString("expected " + f.Expected)
	if f.Got == "" {
		b.WriteString(", found nothing")
		return b.String()
	}
	b.WriteString(", found " + strconv.Quote(f.Got))
	return b.String()
}

// Faults holds all errors in a settings file and in the files that it refers to.
type Faults []Fault

// Error lists the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults in place by file and line, and returns them.
func (fs Faults) sorted() Faults {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return fs
}
