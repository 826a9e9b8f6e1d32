package forward

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// linesOf returns the messages and the attributes of a request's log lines.
func (f *testServer) linesOf(id string) (messages []string, all []map[string]any) {
	for _, text := range strings.Split(strings.TrimSpace(f.lines()), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == id {
			messages = append(messages, line["msg"].(string))
			all = append(all, line)
		}
	}
	return messages, all
}

// Every decision about a request with problems is logged with its inputs. Other
// requests are logged only if sampled.
func TestFailedRequestIsLoggedInFull(t *testing.T) {
	a, b := newFakeTarget(t, "t1", "one"), newFakeTarget(t, "t2", "one")
	lose := func(c net.Conn, _ *http.Request, _ []byte, _ int) { _ = c.Close() }
	a.answer, b.answer = lose, lose
	f := newTestServer(t, testTable(), a.entry(), b.entry())
	f.send(http.MethodGet, "/one/x", "", "troubled", 1000)
	got, all := f.linesOf("troubled")
	want := []string{msgStanding, msgTargetsLost, msgTargetChosen, msgAttemptEnded, msgTargetChosen, msgAttemptEnded, msgRefused}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Fatalf("lines %v, want %v", got, want)
	}
	for _, key := range []string{"in_flight", "load_age", "slowness", "failing", "cost"} {
		if _, ok := all[2][key]; !ok {
			t.Errorf("the choice lacks attribute %s: %v", key, all[2])
		}
	}
	for _, key := range []string{"fingerprint", "first", "hedges", "retries"} {
		if _, ok := all[1][key]; !ok {
			t.Errorf("the line about lost targets lacks attribute %s: %v", key, all[1])
		}
	}
	last := all[len(all)-1]
	for _, key := range []string{"reason", "status", "table", "list_age", "route"} {
		if _, ok := last[key]; !ok {
			t.Errorf("the refusal lacks attribute %s: %v", key, last)
		}
	}
}

// Of the requests without problems only a few must be logged, but those in full.
func TestSuccessfulRequestsAreSampled(t *testing.T) {
	s := newFakeTarget(t, "t1", "one")
	f := newTestServer(t, testTable(), s.entry())
	for i := range 300 {
		f.send(http.MethodGet, "/one/x", "", fmt.Sprint("id-", i), 1000)
	}
	with := 0
	for i := range 300 {
		if got, _ := f.linesOf(fmt.Sprint("id-", i)); len(got) > 0 {
			with++
			if len(got) < 3 {
				t.Fatalf("request %d has only the lines %v", i, got)
			}
		}
	}
	if with == 0 || with > 30 {
		t.Fatalf("%d of 300 requests were logged", with)
	}
}

// The log lines must be bounded when many requests have problems, and the requests
// left out must be counted.
func TestRequestLogIsBounded(t *testing.T) {
	var text strings.Builder
	w := newRequestLogger(slog.New(slog.NewJSONHandler(&text, nil)))
	written := 0
	for i := range 10_000 {
		if w.shouldLog(fmt.Sprint(i), true) {
			written++
		}
	}
	if written > loggedBurst+loggedPerSecond || w.suppressed.Load() != uint64(10_000-written) || !strings.Contains(text.String(), msgSuppressed) {
		t.Fatalf("%d written, %d left out, log %s", written, w.suppressed.Load(), text.String())
	}
}

// A request's decisions must be bounded, and those after the end are dropped.
func TestLateDecisionsAreDropped(t *testing.T) {
	var tr requestTrace
	for range 2 * maxDecisions {
		tr.add(decision{at: time.Now()})
	}
	if n := len(tr.close()); n != maxDecisions {
		t.Fatalf("%d decisions kept", n)
	}
	tr.add(decision{})
	if n := len(tr.close()); n != maxDecisions {
		t.Fatalf("%d decisions after close", n)
	}
}
