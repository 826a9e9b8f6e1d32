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
	// queryTimeout bounds the whole exchange with a router.
	queryTimeout = 15 * time.Second
	// maxAnswerBytes bounds the part of a response body that is read.
	maxAnswerBytes = 64 << 20
	// maxShownBodyBytes bounds the part of a shard's result that is shown in text
	// output.
	maxShownBodyBytes = 60
)

// UnexpectedAnswerError reports a response body that can't be decoded. Status is the
// HTTP status code.
type UnexpectedAnswerError struct {
	Status int
	Cause  error
}

// Error implements error.
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
			Groups:     convertNames[topology.GroupName](*groups),
			Shards:     convertNames[topology.ShardID](*shards),
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

// convertNames converts flag values to names of type T.
func convertNames[T ~string](names []string) []T {
	out := make([]T, len(names))
	for i, n := range names {
		out[i] = T(n)
	}
	return out
}

// runQuery sends q to the router at addr. A refusal is returned as an *api.Refusal
// error.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeAnswer(resp.StatusCode, body)
}

// decodeAnswer decodes a response body: an answer for status 200, otherwise a
// refusal, which it returns as an *api.Refusal error.
func decodeAnswer(status int, body []byte) (*api.Answer, error) {
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

// shorten trims white space and truncates s to maxShownBodyBytes bytes.
func shorten(s string) string {
	s = strings.TrimSpace(s)
	if len(s) <= maxShownBodyBytes {
		return s
	}
	return s[:maxShownBodyBytes] + "..."
}
