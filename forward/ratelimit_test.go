package forward

import (
	"net/http"
	"strings"
	"testing"
)

// A malformed limit must neither limit a target nor end the limit that it has.
func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   targetLimit
	}{
		{nil, targetLimit{notice: limitNone}},
		{[]string{"0.5"}, targetLimit{notice: limitStated, perSecond: 0.5}},
		{[]string{"0"}, targetLimit{notice: limitStated}},
		{[]string{"-1"}, targetLimit{}},
		{[]string{"NaN"}, targetLimit{}},
		{[]string{"Inf"}, targetLimit{}},
		{[]string{""}, targetLimit{}},
		{[]string{"1", "2"}, targetLimit{}},
	} {
		if got := parseLimit(c.values); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.values, got, c.want)
		}
	}
}

// The log must say since when a target limits its requests, once for each change.
func TestLimitsAreLogged(t *testing.T) {
	target := newFakeTarget(t, "t", "one")
	f := newTestServer(t, testTable(), target.entry())
	for _, lines := range []string{"", "Limit: 1000\r\n", "Limit: 1001\r\n", "Limit: 2000\r\n", "Limit: x\r\n", "", ""} {
		target.mu.Lock()
		target.answer = respond(http.StatusOK, lines)
		target.mu.Unlock()
		if got := f.get("/one/x"); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	if n := strings.Count(f.lines(), msgLimited); n != 2 {
		t.Errorf("%d lines about a limit, want 2", n)
	}
	if n := strings.Count(f.lines(), msgUnlimited); n != 1 {
		t.Errorf("%d lines about its end, want 1", n)
	}
}
