package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// queryTimeout bounds the time that the command waits for a router.
	queryTimeout = 15 * time.Second
	// maxShownBytes bounds the answer that the command reads.
	maxShownBytes = 64 << 20
	// maxShownBody is the number of bytes of a shard's result shown to a person.
	maxShownBody = 60
)

// UnexpectedAnswerError says that a router's answer can't be read.
type UnexpectedAnswerError struct {
	Status int
	Cause  error
}

// Error describes the failure.
func (e *UnexpectedAnswerError) Error() string {
	return "unexpected answer with status " + http.StatusText(e.Status) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnexpectedAnswerError) Unwrap() error { return e.Cause }

func registerQuery(app *kingpin.Application, commands commandSet) {
	cmd := app.Command("query", "Run one search.")
	addr := cmd.Flag("router", "HTTP address of a router.").Envar("PERIDOTMUX_ROUTER").Required().String()
	kind := cmd.Flag("kind", "Kind of query.").Required().String()
	groups := cmd.Flag("group", "Back-end group to ask; may be given several times.").Strings()
	shards := cmd.Flag("shard", "Shard to ask; may be given several times.").Strings()
	key := cmd.Flag("key", "Request key of a non-idempotent request.").String()
	deadline := cmd.Flag("deadline", "How long the answer is of use.").Duration()
	body := cmd.Flag("body", "JSON handed to each target.").Default("{}").String()
	asJSON := cmd.Flag("json", "Print the answer as JSON.").Bool()
	commands[cmd.FullCommand()] = func() error {
		q := &api.Query{
			Kind:       topology.KindName(*kind),
			Groups:     typed[topology.GroupName](*groups),
			Shards:     typed[topology.ShardID](*shards),
			RequestKey: *key,
			DeadlineMS: deadline.Milliseconds(),
			Body:       json.RawMessage(*body),
		}
		answer, err := runQuery(context.Background(), *addr, q)
		if err != nil {
			return trace.Wrap(err)
		}
		return printAnswer(os.Stdout, answer, *asJSON)
	}
}

func typed[T ~string](names []string) []T {
	out := make([]T, len(names))
	for i, n := range names {
		out[i] = T(n)
	}
	return out
}

// runQuery sends q to the router at addr. A refusal is an *api.Refusal.
func runQuery(ctx context.Context, addr string, q *api.Query) (*api.Answer, error) {
	data, err := json.Marshal(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+api.PathQuery, bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(resp.Body, maxShownBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return readAnswer(resp.StatusCode, read)
}

func readAnswer(status int, body []byte) (*api.Answer, error) {
	if status != http.StatusOK {
		r := &api.Refusal{Status: status}
		if err := json.Unmarshal(body, r); err != nil {
			return nil, &UnexpectedAnswerError{Status: status, Cause: err}
		}
		return nil, r
	}
	a := &api.Answer{}
	if err := json.Unmarshal(body, a); err != nil {
		return nil, &UnexpectedAnswerError{Status: status, Cause: err}
	}
	return a, nil
}

func printAnswer(w io.Writer, a *api.Answer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(a)
	}
	t := newTable(w)
	t.line("request", a.RequestID)
	t.printf("snapshot\t%d", a.Snapshot)
	t.printf("coverage\t%d of %d shards", a.Covered, a.Asked)
	for _, m := range a.Missing {
		t.printf("missing\t%s\t%s", m.Shard, m.Reason)
	}
	for _, r := range a.Results {
		t.printf("result\t%s\t%s", r.Shard, shorten(string(r.Body)))
	}
	return t.flush()
}

func shorten(s string) string {
	s = strings.TrimSpace(s)
	if len(s) <= maxShownBody {
		return s
	}
	return s[:maxShownBody] + "..."
}
