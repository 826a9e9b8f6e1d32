package target

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/topology"
)

// FuzzAnswer guards against arbitrary bytes that count as an answer. The outcome
// may be OK only if the answer echoes the attempt, the shard and the index
// version, and NotStarted only if the answer has HeaderStarted.
func FuzzAnswer(f *testing.F) {
	const echoes = "Peridot-Attempt: 42\r\nPeridot-Shard: g/00\r\nPeridot-Index-Version: 4\r\n"
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\n" + echoes + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + echoes + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\n" + echoes + "Peridot-Started: no\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 410 Gone\r\nPeridot-Started: no\r\n\r\n",
		"HTTP/1.1 200 OK\r\nPeridot-Attempt: 41\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"\x00\x01garbage",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := &connpool.Conn{}
		c.LimitedReader.R = bytes.NewReader(answer)
		c.Reader = bufio.NewReader(&c.LimitedReader)
		a := &attempt{number: "42", search: Search{
			Target: &topology.Target{Shard: "g/00"}, IndexVersion: 4, Deadline: time.Unix(1, 0),
		}}
		out, reusable := readAnswer(c, a)
		echoed := bytes.Contains(answer, []byte("42")) && bytes.Contains(answer, []byte("g/00"))
		if out.Status == OK && (!echoed || out.IndexVersion != 4) {
			t.Fatalf("%q was classified as OK", answer)
		}
		if out.Status == NotStarted && (!echoed || !bytes.Contains(bytes.ToLower(answer), []byte("peridot-started"))) {
			t.Fatalf("%q was classified as NotStarted", answer)
		}
		if out.Status == 0 || (reusable && !out.TargetDone) || len(out.Body) > MaxAnswerBytes {
			t.Fatalf("%q gave %+v", answer, out)
		}
	})
}
