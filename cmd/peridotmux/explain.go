package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// maxLogLine is the longest log line that is read, in bytes. Longer ones are
	// skipped.
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

// logLine is one JSON log line of a process. The process is named by the file, and by
// the last word before the JSON object if there is one.
type logLine struct {
	at      time.Time
	process string
	attrs   map[string]any
}

// text returns the attribute as text, "" if it is absent or null.
func (l *logLine) text(key string) string {
	v, ok := l.attrs[key]
	if !ok || v == nil {
		return ""
	}
	if ns, isNumber := v.(float64); isNumber && slices.Contains(durationKeys, key) {
		return time.Duration(ns).Round(10 * time.Microsecond).String()
	}
	return fmt.Sprint(v)
}

// after returns the time since the process received the request.
func (l *logLine) after() time.Duration {
	ns, _ := l.attrs["after"].(float64)
	return time.Duration(ns)
}

func (c *explainCommand) run(in io.Reader, out io.Writer) error {
	found := &logSearch{request: c.request}
	if len(c.files) == 0 {
		found.read(in, "-")
	}
	for _, name := range c.files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		found.read(f, name)
		_ = f.Close() // Opened for reading only.
	}
	if len(found.lines) == 0 {
		return &noLinesError{request: c.request, skipped: found.skipped}
	}
	printTimeline(out, timeline(found.lines))
	for _, text := range found.skipped {
		_, _ = fmt.Fprintln(out, "skipped:", text)
	}
	return nil
}

// noLinesError reports that no log contains a line of the request. skipped says what
// wasn't read.
type noLinesError struct {
	request string
	skipped []string
}

// Error implements error.
func (e *noLinesError) Error() string {
	text := "no line of request " + e.request + ": it wasn't sampled, was left out under load (see \"request lines left out\"), or went elsewhere"
	if len(e.skipped) > 0 {
		text += "; skipped: " + strings.Join(e.skipped, ", ")
	}
	return text
}

// hiddenKeys are attributes of every line. They are left out of the attribute list;
// the message and the time since the start have columns of their own.
var hiddenKeys = []string{"time", "level", "msg", "part", keyRequest, "after"}

// printTimeline prints one row for each line, with the milliseconds since the first
// process received the request, the process if there are several, the message and the
// other attributes, and the cause at the end.
func printTimeline(out io.Writer, events []event) {
	several := false
	for _, e := range events {
		several = several || e.line.process != events[0].line.process
	}
	for _, e := range events {
		_, _ = fmt.Fprintf(out, "%9.1f ms  ", float64(e.since)/float64(time.Millisecond))
		if several {
			_, _ = fmt.Fprintf(out, "%-16s ", e.line.process)
		}
		_, _ = fmt.Fprintf(out, "%-22s", e.line.text("msg"))
		for _, key := range sortedKeys(e.line.attrs) {
			if text := e.line.text(key); text != "" && !slices.Contains(hiddenKeys, key) {
				_, _ = fmt.Fprintf(out, " %s=%s", key, text)
			}
		}
		_, _ = fmt.Fprintln(out)
	}
	_, _ = fmt.Fprintln(out, "cause:", cause(events))
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// finalMessages end a request at the process that the caller is connected to.
var finalMessages = []string{"request answered", "request refused", "request given up"}

// cause returns the outcome of the request, taken from the line that ends it,
// followed by its failed attempts and the helpers that didn't answer. events must not
// be empty.
func cause(events []event) string {
	last := events[len(events)-1].line
	var failed []string
	for _, e := range events {
		l := e.line
		switch msg := l.text("msg"); {
		case msg == "attempt ended" && l.text("verdict") != "answered":
			failed = append(failed, l.text("target")+" "+l.text("verdict")+" "+l.text("error"))
		case msg == "helper failed":
			failed = append(failed, l.text("helper")+" "+l.text("error")+", then "+l.text("then"))
		case slices.Contains(finalMessages, msg):
			last = l
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
	case !slices.Contains(finalMessages, text):
		text = "not in these logs; add those of the gateway that the caller was connected to (" + last.text("entry") + ")"
	default:
		text += ": " + last.text("reason")
	}
	if len(failed) > 0 {
		text += "; attempts: " + strings.Join(failed, ", ")
	}
	return text
}
