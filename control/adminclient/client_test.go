package adminclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control/adminclient"
)

// member responds to each request with the next of its refusals, and with an
// intent once they are used up. It records the command numbers it receives.
type member struct {
	refusals []api.Refusal
	commands []string
}

func (m *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q api.Submission
	_ = json.NewDecoder(r.Body).Decode(&q)
	m.commands = append(m.commands, q.Command)
	if len(m.refusals) > 0 {
		f := m.refusals[0]
		m.refusals = m.refusals[1:]
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(&f)
		return
	}
	_ = json.NewEncoder(w).Encode(&api.Intent{ID: "i-1"})
}

func startMember(t *testing.T, m *member) string {
	t.Helper()
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// deadAddr returns an address on which nothing listens.
func deadAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// If a member can't be reached, is not the leader or reports an unknown
// outcome, the client must resend the command to the next member with the same
// number, or it could be executed twice.
func TestClientRetriesOtherMembersWithSameCommandNumber(t *testing.T) {
	notLeader := api.Refusal{Code: api.CodeNotLeader, Execution: api.NotRun}
	unknown := api.Refusal{Code: api.CodeUnknownOutcome, Execution: api.OutcomeUnknown}
	first := &member{refusals: []api.Refusal{notLeader, unknown}}
	second := &member{refusals: []api.Refusal{unknown}}
	c := adminclient.New([]string{deadAddr(t), startMember(t, first), startMember(t, second)})
	in, err := c.Submit(t.Context(), &api.Submission{Command: "once"})
	if err != nil || in.ID != "i-1" {
		t.Fatalf("got %v, %v", in, err)
	}
	if sent := slices.Concat(first.commands, second.commands); !slices.Equal(sent, []string{"once", "once", "once", "once"}) {
		t.Errorf("sent %v", sent)
	}
}

// A refusal that another member would repeat must be returned at once.
func TestClientDoesNotRetryFinalRefusal(t *testing.T) {
	m := &member{refusals: []api.Refusal{{Code: api.CodeConflict, Conflict: &api.Conflict{Intent: "i-9"}}}}
	_, err := adminclient.New([]string{startMember(t, m)}).Submit(t.Context(), &api.Submission{Command: "once"})
	var f *api.Refusal
	if !errors.As(err, &f) || f.Conflict == nil || f.Conflict.Intent != "i-9" || len(m.commands) != 1 {
		t.Errorf("got %v after %d attempts", err, len(m.commands))
	}
}

// An operator must learn whether a command that failed on all members may have
// been executed.
func TestClientReportsWhetherCommandMayHaveRun(t *testing.T) {
	unknown := &member{refusals: slices.Repeat([]api.Refusal{{Code: api.CodeUnknownOutcome, Execution: api.OutcomeUnknown}}, 100)}
	cases := []struct {
		name    string
		addr    string
		notSent bool
	}{
		{"no listener", deadAddr(t), true},
		{"outcome unknown", startMember(t, unknown), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := adminclient.New([]string{tc.addr}).Submit(ctx, &api.Submission{Command: "c"})
			var unreachable *adminclient.UnreachableError
			if !errors.As(err, &unreachable) || unreachable.NotSent != tc.notSent {
				t.Errorf("got %v", err)
			}
		})
	}
}
