package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// durationKeys are the attributes that hold durations, in nanoseconds.
var durationKeys = []string{
	"took", "list_age", "oldest", "load_age", "cost", "objective", "allowance", "time_left", "retry_after", "for",
}

// logSearch collects the lines of one request.
type logSearch struct {
	request string
	lines   []logLine
	// skipped says what wasn't read.
	skipped []string
}

// read adds the request's lines of one log. It skips lines without a valid JSON
// object, such as truncated ones, and any prefix before the object.
func (s *logSearch) read(r io.Reader, source string) {
	reader := bufio.NewReaderSize(r, maxLogLine)
	number, tooLong := 0, 0
	for {
		line, err := reader.ReadSlice('\n')
		number++
		if errors.Is(err, bufio.ErrBufferFull) {
			tooLong++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = reader.ReadSlice('\n')
			}
		} else {
			s.add(line, source)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.skipped = append(s.skipped, fmt.Sprintf("%s after line %d: %v", source, number, err))
			}
			break
		}
	}
	if tooLong > 0 {
		s.skipped = append(s.skipped, fmt.Sprintf("%s: %d lines over %d bytes", source, tooLong, maxLogLine))
	}
}

// add keeps a line if it is one of the request.
func (s *logSearch) add(line []byte, source string) {
	if !bytes.Contains(line, []byte(s.request)) {
		return
	}
	prefix, object, found := strings.Cut(string(line), "{")
	if !found {
		return
	}
	var attrs map[string]any
	if json.Unmarshal([]byte("{"+object), &attrs) != nil || attrs[keyRequest] != s.request {
		return
	}
	at, _ := time.Parse(time.RFC3339Nano, fmt.Sprint(attrs["time"])) // A line without a valid time sorts first.
	process := filepath.Base(source)
	if words := strings.Fields(prefix); len(words) > 0 {
		process = words[len(words)-1]
	}
	s.lines = append(s.lines, logLine{at: at, process: process, attrs: attrs})
}

// event is a line at its place in the request's way.
type event struct {
	line *logLine
	// since is the time since the first process received the request.
	since time.Duration
}

// timeline orders the lines of all processes. A process writes all lines of a request
// at its end, so a line's place follows from when the process received the request.
// The clocks of different processes may differ.
func timeline(lines []logLine) []event {
	received := make(map[string]time.Time)
	for i := range lines {
		l := &lines[i]
		at := l.at.Add(-l.after())
		if known, ok := received[l.process]; !ok || at.Before(known) {
			received[l.process] = at
		}
	}
	var first time.Time
	for _, at := range received {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	out := make([]event, len(lines))
	for i := range lines {
		l := &lines[i]
		out[i] = event{line: l, since: received[l.process].Sub(first) + l.after()}
	}
	slices.SortStableFunc(out, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.rank(), b.rank()))
	})
	return out
}

// rank orders events of the same time: those that end a request come last.
func (e *event) rank() int { return slices.Index(finalMessages, e.line.text("msg")) }
