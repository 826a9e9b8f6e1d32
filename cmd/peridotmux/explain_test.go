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
