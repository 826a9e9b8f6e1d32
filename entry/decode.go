package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/board"
	"github.com/peridotmux/peridotmux/topology"
)

const (
	// maxKeyBytes is the maximum length of a request key.
	maxKeyBytes = 256
	// answerMarginShare is the share of the caller's deadline that is reserved
	// for sending the answer, up to maxAnswerMargin.
	answerMarginShare = 0.05
	maxAnswerMargin   = 10 * time.Millisecond
)

// request is a validated query with its parameters resolved.
type request struct {
	id     string
	kind   *topology.Kind
	shards []topology.ShardID
	// groupKey is the sorted names of the shards' groups, separated by NUL
	// bytes.
	groupKey    string
	policy      topology.Policy
	minCoverage float64
	atMostOnce  bool
	key         string
	start       time.Time
	// timeout is the time from start to the deadline.
	timeout time.Duration
	body    []byte
	// hash covers everything that a resend with the same key must repeat.
	hash uint64
}

func (r *request) deadline() time.Time { return r.start.Add(r.timeout) }

// readQuery reads the body of an HTTP request, at most api.MaxQueryBytes.
func readQuery(w http.ResponseWriter, r *http.Request) ([]byte, *api.Refusal) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxQueryBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(api.CodeTooLarge, "the query is larger than "+strconv.Itoa(api.MaxQueryBytes)+" bytes")
	case err != nil:
		return nil, refuse(api.CodeMalformed, "the query couldn't be read whole")
	}
	return raw, nil
}

// decode parses a query strictly: it refuses unknown fields and data after the
// query.
func decode(raw []byte) (*api.Query, *api.Refusal) {
	q := &api.Query{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(q); err != nil {
		return nil, refuseMalformed(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, refuse(api.CodeMalformed, "something follows the query")
	}
	return q, nil
}

// refuseMalformed returns the refusal for a JSON decoding error.
func refuseMalformed(err error) *api.Refusal {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return refuseField(api.CodeBadField, wrongType.Field, "wrong type: "+wrongType.Value)
	}
	return refuse(api.CodeMalformed, "not a query in JSON: "+err.Error())
}

// validate checks a query against a view and resolves its parameters.
func validate(q *api.Query, v *board.View) (*request, *api.Refusal) {
	kind := v.Topology.Kind(q.Kind)
	if kind == nil {
		return nil, refuseField(api.CodeUnknownKind, "kind", "no such kind")
	}
	r := &request{kind: kind, policy: kind.Policy, minCoverage: kind.MinCoverage, key: q.RequestKey, body: q.Body}
	checks := []func(*api.Query, *board.View) *api.Refusal{
		r.setShards, r.setDeadline, r.setPolicy, r.setAtMostOnce,
	}
	for _, c := range checks {
		if refusal := c(q, v); refusal != nil {
			return nil, refusal
		}
	}
	if r.atMostOnce {
		r.hash = hashQuery(q)
	}
	return r, nil
}

// setShards resolves groups and shards to a list of shards without duplicates;
// without either, all shards.
func (r *request) setShards(q *api.Query, v *board.View) *api.Refusal {
	if len(q.Groups)+len(q.Shards) > api.MaxShards {
		return refuseField(api.CodeBadField, "shards", "too many")
	}
	seen := make(map[topology.ShardID]bool)
	add := func(s topology.ShardID) {
		if !seen[s] {
			seen[s] = true
			r.shards = append(r.shards, s)
		}
	}
	for _, name := range q.Groups {
		g := v.Topology.Group(name)
		if g == nil {
			return refuseField(api.CodeUnknownGroup, "groups", "no such group: "+clip(string(name)))
		}
		for _, s := range g.Shards {
			add(s)
		}
	}
	for _, s := range q.Shards {
		if v.Topology.GroupOf(s) == nil {
			return refuseField(api.CodeUnknownShard, "shards", "no such shard: "+clip(string(s)))
		}
		add(s)
	}
	if len(r.shards) == 0 {
		r.shards = v.Topology.Shards()
	}
	if len(r.shards) == 0 || len(r.shards) > api.MaxShards {
		return refuseField(api.CodeBadField, "shards", "no shard or too many shards asked")
	}
	r.groupKey = groupKeyOf(r.shards, v)
	return nil
}

// groupKeyOf returns the sorted names of the shards' groups, separated by NUL
// bytes.
func groupKeyOf(shards []topology.ShardID, v *board.View) string {
	names := make([]string, 0, 1)
	for _, s := range shards {
		name := string(v.Topology.GroupOf(s).Name)
		if len(names) == 0 || names[len(names)-1] != name && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, "\x00")
}

// setDeadline sets the timeout to the query's deadline, or else its kind's,
// less the margin for the answer.
func (r *request) setDeadline(q *api.Query, _ *board.View) *api.Refusal {
	if q.DeadlineMS < 0 || q.DeadlineMS > api.MaxDeadlineMS {
		return refuseField(api.CodeBadDeadline, "deadline_ms", "must lie between 1 and "+strconv.Itoa(api.MaxDeadlineMS))
	}
	total := r.kind.Deadline
	if q.DeadlineMS > 0 {
		total = time.Duration(q.DeadlineMS) * time.Millisecond
	}
	if total <= 0 {
		return refuseField(api.CodeBadDeadline, "deadline_ms", "the kind has no default")
	}
	r.timeout = total - min(maxAnswerMargin, time.Duration(answerMarginShare*float64(total)))
	return nil
}

// setPolicy applies the query's policy and minimum coverage over its kind's.
func (r *request) setPolicy(q *api.Query, _ *board.View) *api.Refusal {
	switch q.Policy {
	case "":
	case topology.PolicyCoverage, topology.PolicyLatency:
		r.policy = q.Policy
	default:
		return refuseField(api.CodeBadField, "policy", "must be coverage or latency")
	}
	if q.MinCoverage == nil {
		return nil
	}
	if *q.MinCoverage < 0 || *q.MinCoverage > 1 {
		return refuseField(api.CodeBadField, "min_coverage", "must lie between 0 and 1")
	}
	r.minCoverage = *q.MinCoverage
	return nil
}

// setAtMostOnce determines whether the request must run at most once. The
// caller can make it stricter than the operators declared but not looser.
func (r *request) setAtMostOnce(q *api.Query, v *board.View) *api.Refusal {
	r.atMostOnce = !r.kind.Idempotent || v.NonIdempotent[r.kind.Name]
	if q.Idempotent != nil && !*q.Idempotent {
		r.atMostOnce = true
	}
	if len(q.RequestKey) > maxKeyBytes {
		return refuseField(api.CodeBadField, "request_key", "too long")
	}
	if r.atMostOnce && q.RequestKey == "" {
		return refuseField(api.CodeKeyMissing, "request_key", "a non-idempotent request needs a key")
	}
	return nil
}

// hashQuery hashes what a resend must repeat: kind, groups, shards and body, as
// they were sent.
func hashQuery(q *api.Query) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(q.Kind))
	for _, g := range q.Groups {
		_, _ = h.WriteString("\x00" + string(g))
	}
	_, _ = h.WriteString("\x01")
	for _, s := range q.Shards {
		_, _ = h.WriteString("\x00" + string(s))
	}
	_, _ = h.WriteString("\x02")
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// maxClipBytes is the maximum length of caller input that is repeated in a
// message.
const maxClipBytes = 64

// clip shortens caller input before it is repeated in a message.
func clip(s string) string {
	if len(s) > maxClipBytes {
		return s[:maxClipBytes] + "..."
	}
	return s
}
