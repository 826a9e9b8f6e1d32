package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// table prints lines with tab-separated columns aligned. It records the first error
// and returns it from flush.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
}

func (t *table) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(t.w, format+"\n", args...); err != nil && t.err == nil {
		t.err = err
	}
}

// line prints a label and its text. It prints nothing if text is empty.
func (t *table) line(label, text string) {
	if text != "" {
		t.printf("%s\t%s", label, text)
	}
}

func (t *table) flush() error {
	if err := t.w.Flush(); t.err == nil {
		t.err = err
	}
	return t.err
}
