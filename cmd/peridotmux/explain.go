package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// maxLogLine is the longest log line that is read, in bytes. Reading of a log
	// stops at a longer line.
	maxLogLine = 1 << 20
	// keyRequest is the log attribute that holds the request id.
	keyRequest = "request"
)

// explainCommand prints the lines that several processes logged for one request,
// in time order, and the cause of a failure. With no files, it reads standard
// input.
type explainCommand struct {
	request string
	files   []string
}

func registerExplain(app *kingpin.Application, commands commandSet) {
	c := &explainCommand{}
	cmd := app.Command("explain", "Print a request's way and its cause of failure from logs.")
	cmd.Arg("request", "The request's id.").Required().StringVar(&c.request)
	cmd.Arg("logs", "Log files; standard input if none is named.").ExistingFilesVar(&c.files)
	commands[cmd.FullCommand()] = func() error { return c.run(os.Stdin, os.Stdout) }
}

// logLine is one JSON log line. source is the file that it comes from, "-" for
// standard input.
type logLine struct {
	at     time.Time
	source string
	attrs  map[string]any
}

// text returns the attribute as text, "" if it is absent or null.
func (l *logLine) text(key string) string {
	v, ok := l.attrs[key]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func (c *explainCommand) run(in io.Reader, out io.Writer) error {
	var lines []logLine
	if len(c.files) == 0 {
		lines = readLines(in, "-", c.request)
	}
	for _, name := range c.files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		lines = append(lines, readLines(f, name, c.request)...)
		_ = f.Close() // Opened for reading only.
	}
	if len(lines) == 0 {
		return &noLinesError{request: c.request}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), compareAfter(a, b)) })
	printTimeline(out, lines)
	return nil
}

// compareAfter orders lines with equal timestamps by the time since the request's
// start, in nanoseconds.
func compareAfter(a, b logLine) int {
	x, _ := a.attrs["after"].(float64)
	y, _ := b.attrs["after"].(float64)
	return cmp.Compare(x, y)
}

// noLinesError reports that no log contains a line of the request.
type noLinesError struct{ request string }

// Error implements error.
func (e *noLinesError) Error() string {
	return "no line of request " + e.request + ": it wasn't sampled, was left out under load (see \"request lines left out\"), or went elsewhere"
}

// readLines returns the lines of one request. It skips lines without a valid JSON
// object, such as truncated ones, and any prefix before the object.
func readLines(r io.Reader, source, request string) []logLine {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLogLine), maxLogLine)
	for s.Scan() {
		_, object, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		var attrs map[string]any
		if json.Unmarshal([]byte("{"+object), &attrs) != nil || attrs[keyRequest] != request {
			continue
		}
		at, _ := time.Parse(time.RFC3339Nano, fmt.Sprint(attrs["time"])) // A line without a valid time sorts first.
		out = append(out, logLine{at: at, source: source, attrs: attrs})
	}
	return out
}

// hiddenKeys are attributes of every line. They are left out of the attribute list;
// the message and the time since the start have columns of their own.
var hiddenKeys = []string{"time", "level", "msg", "part", keyRequest, "after"}

// printTimeline prints one row for each line, with the milliseconds since the
// request's start, the message and the other attributes, and the cause at the end.
func printTimeline(out io.Writer, lines []logLine) {
	for _, l := range lines {
		after, _ := l.attrs["after"].(float64)
		_, _ = fmt.Fprintf(out, "%9.1f ms  %-22s", after/float64(time.Millisecond), l.text("msg"))
		for _, key := range sortedKeys(l.attrs) {
			if text := l.text(key); text != "" && !slices.Contains(hiddenKeys, key) {
				_, _ = fmt.Fprintf(out, " %s=%s", key, text)
			}
		}
		_, _ = fmt.Fprintln(out)
	}
	_, _ = fmt.Fprintln(out, "cause:", cause(lines))
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// cause returns the outcome of the request, taken from the last line, followed by
// its failed attempts. lines must not be empty.
func cause(lines []logLine) string {
	last := lines[len(lines)-1]
	var failed []string
	for i := range lines {
		l := &lines[i]
		if l.text("msg") == "attempt ended" && l.text("verdict") != "answered" {
			failed = append(failed, l.text("target")+" "+l.text("verdict")+" "+l.text("error"))
		}
	}
	text := last.text("msg")
	switch {
	case text == "request answered" && last.text("late") == "true":
		text = "answered late"
	case text == "request answered" && last.text("missing") != "0":
		text = "answered without " + last.text("missing") + " shards: " + last.text("lacking")
	case text == "request answered":
		return "none; it was answered"
	default:
		text += ": " + last.text("reason")
	}
	if len(failed) > 0 {
		text += "; attempts: " + strings.Join(failed, ", ")
	}
	return text
}
