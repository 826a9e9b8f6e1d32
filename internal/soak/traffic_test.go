package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// The checks of arrivals must report what is over a limit, and only that.
func TestTrafficViolations(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		// extra arrivals come at once, each of another request, after requests sent in
		// the second before.
		requests, extra int
		// ranAt is at how many targets one more request ran.
		ranAt int
		want  string
	}{
		"nothing":           {want: ""},
		"within the slack":  {extra: 56, want: ""},
		"over the slack":    {extra: 57, want: "57 extra arrivals"},
		"within the ratio":  {requests: 100, extra: 76, want: ""},
		"over the ratio":    {requests: 100, extra: 77, want: "77 extra arrivals"},
		"two targets":       {ranAt: 2, want: ""},
		"one target more":   {ranAt: 3, want: "ran at [a b c]"},
		"rejected at three": {ranAt: -3, want: ""},
	} {
		x := newTraffic()
		for i := range c.requests {
			x.sent["s"] = append(x.sent["s"], at(i))
		}
		for i := range 2 * c.extra {
			x.arrivals["s"] = append(x.arrivals["s"], arrival{id: fmt.Sprint(i / 2), target: "a", at: at(1000 + i)})
		}
		for i := range max(c.ranAt, -c.ranAt) {
			x.arrivals["s"] = append(x.arrivals["s"], arrival{id: "many", target: string(rune('a' + i)), at: at(20_000 + i), ran: c.ranAt > 0})
		}
		got := strings.Join(x.violations(), "\n")
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
