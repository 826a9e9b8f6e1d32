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

// linesOf returns the messages of a request's lines.
func (f *front) linesOf(id string) (messages []string, all []map[string]any) {
	for _, text := range strings.Split(strings.TrimSpace(f.lines()), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == id {
			messages = append(messages, line["msg"].(string))
			all = append(all, line)
		}
	}
	return messages, all
}

// A troubled request has a line for each decision, with what it rested on; an
// untroubled one has none, unless it is sampled.
func TestTroubledRequestHasAllOfItsLines(t *testing.T) {
	a, b := newStandin(t, "t1", "one"), newStandin(t, "t2", "one")
	lose := func(c net.Conn, _ *http.Request, _ []byte, _ int) { _ = c.Close() }
	a.answer, b.answer = lose, lose
	f := newFront(t, testTable(), a.entry(), b.entry())
	f.send(http.MethodGet, "/one/x", "", "troubled", 1000)
	got, all := f.linesOf("troubled")
	want := []string{lineChosen, lineEnded, lineChosen, lineEnded, lineRefused}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Fatalf("lines %v, want %v", got, want)
	}
	for _, key := range []string{"in_flight", "load_age", "slowness", "failing", "cost"} {
		if _, ok := all[0][key]; !ok {
			t.Errorf("the choice doesn't tell %s: %v", key, all[0])
		}
	}
	last := all[len(all)-1]
	for _, key := range []string{"reason", "status", "table", "list_age", "route"} {
		if _, ok := last[key]; !ok {
			t.Errorf("the refusal doesn't tell %s: %v", key, last)
		}
	}
}

func TestUntroubledRequestsAreSampled(t *testing.T) {
	s := newStandin(t, "t1", "one")
	f := newFront(t, testTable(), s.entry())
	for i := range 300 {
		f.send(http.MethodGet, "/one/x", "", fmt.Sprint("id-", i), 1000)
	}
	with := 0
	for i := range 300 {
		if got, _ := f.linesOf(fmt.Sprint("id-", i)); len(got) > 0 {
			with++
			if len(got) < 3 {
				t.Fatalf("request %d has only %v", i, got)
			}
		}
	}
	if with == 0 || with > 30 {
		t.Fatalf("%d of 300 requests have lines", with)
	}
}

// However many requests are in trouble, the lines are bounded, and what is left
// out is counted.
func TestLinesAreBounded(t *testing.T) {
	var text strings.Builder
	w := newLineWriter(slog.New(slog.NewJSONHandler(&text, nil)))
	written := 0
	for i := range 10_000 {
		if w.wanted(fmt.Sprint(i), true) {
			written++
		}
	}
	if written > tracedBurst+tracedPerSecond || w.leftOut.Load() != uint64(10_000-written) || !strings.Contains(text.String(), lineLeftOut) {
		t.Fatalf("%d written, %d left out, log %s", written, w.leftOut.Load(), text.String())
	}
}

func TestLateDecisionsAreDropped(t *testing.T) {
	var tr trail
	for range 2 * maxDecisions {
		tr.add(decision{at: time.Now()})
	}
	if n := len(tr.close()); n != maxDecisions {
		t.Fatalf("%d decisions kept", n)
	}
	tr.add(decision{})
	if n := len(tr.close()); n != maxDecisions {
		t.Fatalf("%d decisions after the end", n)
	}
}
