package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Logs of two processes. The first has a prefix before a JSON object, a line that
// isn't JSON, a line of another request and a truncated line.
const (
	logOne = `  12.3 gateway-1 {"time":"2026-12-04T09:00:00.010Z","msg":"target chosen","request":"r1","after":1000000,"service":"s1","target":"t1"}
not json at all
{"time":"2026-12-04T09:00:00.010Z","msg":"target chosen","request":"r2","after":1000000}
{"time":"2026-12-04T09:00:00.200Z","msg":"request refused","request":"r1","after":200000000,"reason":"answer lost","status":502}
{"time":"2026-12-04T09:00:00.200Z","msg":"request refu`
	logTwo = `{"time":"2026-12-04T09:00:00.200Z","msg":"attempt ended","request":"r1","after":190000000,"target":"t1","verdict":"unknown","error":"EOF"}
`
)

func explain(t *testing.T, request string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	c := &explainCommand{request: request}
	for name, text := range map[string]string{"one": logOne, "two": logTwo} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.files = append(c.files, path)
	}
	var out strings.Builder
	err := c.run(strings.NewReader(""), &out)
	return out.String(), err
}

// Guards against lines of two processes out of time order, lines of other requests
// in the output, and a cause without the failed attempts.
func TestExplainPrintsTimelineAndCause(t *testing.T) {
	got, err := explain(t, "r1")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(got), "\n")
	if len(lines) != 4 || !strings.Contains(lines[0], "target chosen") || !strings.Contains(lines[1], "attempt ended") {
		t.Fatalf("got:\n%s", got)
	}
	if want := "cause: request refused: answer lost; attempts: t1 unknown EOF"; lines[3] != want {
		t.Fatalf("got %q, want %q", lines[3], want)
	}
}

// A request without log lines must give an error instead of an empty explanation.
func TestExplainFailsForUnknownRequest(t *testing.T) {
	_, err := explain(t, "nobody")
	var none *noLinesError
	if !errors.As(err, &none) {
		t.Fatal(err)
	}
}

// Lines of the gateway that the caller is connected to and of one that it handed
// shards to must form one timeline, with durations that a person can read, and a line
// of over 1 MiB must not end the search.
func TestExplainJoinsGateways(t *testing.T) {
	dir := t.TempDir()
	entry := `{"time":"2026-12-04T09:00:00.100Z","msg":"shards handed over","request":"r1","after":1000000,"helper":"gw2","shards":9}
{"time":"2026-12-04T09:00:00.100Z","msg":"helper failed","request":"r1","after":21000000,"helper":"gw2","took":20000000,"error":"no answer in time","then":"next helper"}
{"time":"2026-12-04T09:00:00.100Z","msg":"request answered","request":"r1","after":100000000,"late":true,"missing":0,"list_age":1470000000}
`
	other := strings.Repeat("x", maxLogLine+10) + `
{"time":"2026-12-04T09:00:00.080Z","msg":"parts served","request":"r1","after":50000000,"entry":"gw1","missing":0}
`
	c := &explainCommand{request: "r1"}
	for name, text := range map[string]string{"gw1": entry, "gw3": other} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.files = append(c.files, path)
	}
	var out strings.Builder
	if err := c.run(strings.NewReader(""), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 6 {
		t.Fatalf("got:\n%s", out.String())
	}
	for i, want := range []string{
		"shards handed over", "took=20ms", "80.0 ms", "list_age=1.47s",
		"cause: answered late; attempts: gw2 no answer in time, then next helper", "1 lines over 1048576 bytes",
	} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("line %d: %q, want %q", i, lines[i], want)
		}
	}
}
