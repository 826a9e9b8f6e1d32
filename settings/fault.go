// Package settings reads the INI files of the system's processes and of
// operators. A file is checked whole before anything starts: all of its faults
// are listed at once, each with its place and what was expected there.
package settings

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	File string
	// Line counts from 1; it is 0 if the fault belongs to no line.
	Line     int
	Section  string
	Key      string
	Expected string
	// Got is what the file has in place of Expected, empty if it has nothing.
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

// Faults lists everything that is wrong in a settings file and in the files
// that it names.
type Faults []Fault

// Error lists the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults by file and line.
func (fs Faults) sorted() Faults {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return fs
}
