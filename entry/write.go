package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/peridotmux/peridotmux/api"
)

// answerOverhead is the size estimate, in bytes, of an answer's fields and of
// each shard's entry without its body.
const answerOverhead = 64

// writeAnswer writes an answer and copies the shards' bodies unchanged. They
// were checked to be valid JSON when they arrived.
func writeAnswer(w http.ResponseWriter, a *api.Answer) {
	b := appendAnswer(nil, a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

// appendAnswer appends the JSON encoding of a. It equals that of json.Marshal,
// apart from white space and escapes within the shards' bodies.
func appendAnswer(b []byte, a *api.Answer) []byte {
	size := answerOverhead * (4 + len(a.Results) + len(a.Missing))
	for i := range a.Results {
		size += len(a.Results[i].Body)
	}
	b = append(make([]byte, 0, len(b)+size), b...)
	b = append(b, `{"request_id":`...)
	b = appendString(b, a.RequestID)
	b = append(b, `,"snapshot":`...)
	b = strconv.AppendUint(b, a.Snapshot, 10)
	b = append(b, `,"complete":`...)
	b = strconv.AppendBool(b, a.Complete)
	b = append(b, `,"covered":`...)
	b = strconv.AppendInt(b, int64(a.Covered), 10)
	b = append(b, `,"asked":`...)
	b = strconv.AppendInt(b, int64(a.Asked), 10)
	b = appendResults(append(b, `,"results":[`...), a.Results)
	b = appendMissing(append(b, `],"missing":[`...), a.Missing)
	b = append(b, ']')
	if a.Recorded {
		b = append(b, `,"recorded":true`...)
	}
	return append(b, "}\n"...)
}

func appendResults(b []byte, results []api.ShardResult) []byte {
	for i := range results {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"shard":`...)
		b = appendString(b, string(results[i].Shard))
		b = append(b, `,"body":`...)
		if len(results[i].Body) == 0 {
			b = append(b, "null"...)
		}
		b = append(b, results[i].Body...)
		b = append(b, '}')
	}
	return b
}

func appendMissing(b []byte, missing []api.MissingShard) []byte {
	for i := range missing {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"shard":`...)
		b = appendString(b, string(missing[i].Shard))
		b = append(b, `,"reason":`...)
		b = appendString(b, string(missing[i].Reason))
		b = append(b, '}')
	}
	return b
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // A string always encodes.
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
