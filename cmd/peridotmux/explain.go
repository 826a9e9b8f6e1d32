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
	// maxLogLine bounds one line of a log; longer ones are passed over.
	maxLogLine = 1 << 20
	// keyRequest is the attribute that names a line's request.
	keyRequest = "request"
)

// explainCommand prints a request's way through the logs of several processes.
type explainCommand struct {
	request string
	files   []string
}

func registerExplain(app *kingpin.Application, commands commandSet) {
	c := &explainCommand{}
	x := app.Command("explain", "Print a request's way and its cause of failure from logs.")
	x.Arg("request", "The request's id.").Required().StringVar(&c.request)
	x.Arg("logs", "Log files; standard input if none is named.").ExistingFilesVar(&c.files)
	commands[x.FullCommand()] = func() error { return c.run(os.Stdin, os.Stdout) }
}

// logLine is one line of a log.
type logLine struct {
	at     time.Time
	source string
	values map[string]any
}

func (l *logLine) text(key string) string {
	v, ok := l.values[key]
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
		_ = f.Close() // It was only read.
	}
	if len(lines) == 0 {
		return &noLinesError{request: c.request}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), compareAfter(a, b)) })
	printWay(out, lines)
	return nil
}

// compareAfter orders lines of one instant by the time since the request's start.
func compareAfter(a, b logLine) int {
	x, _ := a.values["after"].(float64)
	y, _ := b.values["after"].(float64)
	return cmp.Compare(x, y)
}

// noLinesError says that no log has a line of the request.
type noLinesError struct{ request string }

// Error describes the failure.
func (e *noLinesError) Error() string {
	return "no line of request " + e.request + ": it wasn't sampled, was left out under load (see \"request lines left out\"), or went elsewhere"
}

// readLines returns the lines of one request. Lines that are no JSON object, such
// as one that was cut, are passed over; what stands before the object is too.
func readLines(r io.Reader, source, request string) []logLine {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLogLine), maxLogLine)
	for s.Scan() {
		_, object, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		var values map[string]any
		if json.Unmarshal([]byte("{"+object), &values) != nil || values[keyRequest] != request {
			continue
		}
		at, _ := time.Parse(time.RFC3339Nano, fmt.Sprint(values["time"])) // A line without a time comes first.
		out = append(out, logLine{at: at, source: source, values: values})
	}
	return out
}

// hiddenKeys are attributes that every line has.
var hiddenKeys = []string{"time", "level", "msg", "part", keyRequest, "after"}

func printWay(out io.Writer, lines []logLine) {
	for _, l := range lines {
		after, _ := l.values["after"].(float64)
		_, _ = fmt.Fprintf(out, "%9.1f ms  %-22s", after/float64(time.Millisecond), l.text("msg"))
		for _, key := range sortedKeys(l.values) {
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

// cause says in a sentence what the last line and the attempts tell.
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
