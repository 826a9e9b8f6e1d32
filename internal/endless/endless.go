// Package endless plays targets that send bytes without end instead of a response,
// or after one, until the connection is closed.
package endless

import (
	"io"
	"strconv"
	"strings"
	"time"
)

// Form is a way in which bytes come without end.
type Form string

// The forms.
const (
	StatusLine    Form = "status line"
	HeaderLine    Form = "header line"
	Headers       Form = "headers"
	Informational Form = "informational responses"
	Garbage       Form = "garbage"
	Body          Form = "body without length"
	Chunks        Form = "chunked body"
	Trailers      Form = "trailers"
	Surplus       Form = "bytes after the announced length"
	SlowHead      Form = "head, a byte at a time"
	SlowBody      Form = "body, a byte at a time"
)

// Forms lists all forms.
var Forms = []Form{
	StatusLine, HeaderLine, Headers, Informational, Garbage, Body, Chunks, Trailers, Surplus, SlowHead, SlowBody,
}

const (
	// blockBytes is the size of one write of the fast forms.
	blockBytes = 8 << 10
	// slowInterval is the time between two bytes of the slow forms.
	slowInterval = 20 * time.Millisecond
)

// script is what a form sends: a start, then a block again and again.
type script struct {
	start, block string
	pause        time.Duration
}

// Write sends bytes of form f to w until a write fails. header holds the header
// lines of the response, each with its line break; body is the body that Surplus
// announces and sends first.
func Write(w io.Writer, f Form, header, body string) {
	s := f.script(header, body)
	if _, err := io.WriteString(w, s.start); err != nil {
		return
	}
	block := []byte(s.block)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
		time.Sleep(s.pause)
	}
}

// repeat returns about blockBytes of a short line, so that sending them takes few
// calls.
func repeat(line string) string { return strings.Repeat(line, blockBytes/len(line)) }

func (f Form) script(header, body string) script {
	ok := "HTTP/1.1 200 OK\r\n" + header
	filler := strings.Repeat("x", blockBytes)
	switch f {
	case StatusLine:
		return script{start: "HTTP/1.1 200 ", block: filler}
	case HeaderLine:
		return script{start: ok + "Long: ", block: filler}
	case Headers:
		return script{start: ok, block: repeat("Name: value\r\n")}
	case Informational:
		return script{start: "", block: repeat("HTTP/1.1 103 Early Hints\r\n\r\n")}
	case Garbage:
		return script{start: "", block: repeat("\x00\xff\x16\x03no response\n")}
	case Body:
		return script{start: ok + "\r\n", block: filler}
	case Chunks:
		return script{start: ok + "Transfer-Encoding: chunked\r\n\r\n", block: "2000\r\n" + filler + "\r\n"}
	case Trailers:
		return script{start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", block: repeat("Name: value\r\n")}
	case SlowHead:
		return script{start: ok + "Long: ", block: "x", pause: slowInterval}
	case SlowBody:
		return script{start: ok + "\r\n", block: "x", pause: slowInterval}
	default:
		return script{start: ok + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body, block: filler}
	}
}
