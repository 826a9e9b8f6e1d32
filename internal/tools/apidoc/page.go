package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/peridotmux/peridotmux/trial"
)

// maxBodyShown is the length in bytes above which a request body is shortened.
const maxBodyShown = 400

// page writes the document to w. It isn't safe for concurrent use.
type page struct {
	w      io.Writer
	system *trial.System
	// err is the first error of a write or a request.
	err error
}

// example is a request that is sent to addr and shown with its response.
type example struct {
	title  string
	addr   string
	method string
	path   string
	body   string
}

func (p *page) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(p.w, format, args...); err != nil && p.err == nil {
		p.err = err
	}
}

// show sends an example, writes the request and the response to the page, and
// returns the body of the response. It returns nil if the request couldn't be
// sent.
func (p *page) show(e example) []byte {
	status, header, answer, err := send(e)
	if err != nil {
		if p.err == nil {
			p.err = err
		}
		return nil
	}
	p.printf("\n**%s**\n\n    %s %s\n", e.title, e.method, e.path)
	if e.body != "" {
		p.printf("%s", block(shorten(e.body)))
	}
	p.printf("\n%d %s", status, http.StatusText(status))
	if retryAfter := header.Get("Retry-After"); retryAfter != "" {
		p.printf(", `Retry-After: %s`", retryAfter)
	}
	p.printf("\n\n%s", block(pretty(answer)))
	return answer
}

// send returns the status, header and body of the response.
func send(e example) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(e.method, "http://"+e.addr+e.path, strings.NewReader(e.body))
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}

// shorten returns s, or its first 40 bytes and its length if it is longer than
// maxBodyShown.
func shorten(s string) string {
	if len(s) <= maxBodyShown {
		return s
	}
	return s[:40] + fmt.Sprintf("... (%d bytes)", len(s))
}

// pretty indents a JSON document and returns anything else as it is.
func pretty(data []byte) string {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return string(data)
	}
	return out.String()
}

// block indents text by four spaces, as a Markdown code block.
func block(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text + "\n") {
		b.WriteString("    " + line)
	}
	return b.String()
}

// field returns the string or number at a path of keys in a JSON response. It
// returns "" if there is no such value.
func field(answer []byte, keys ...string) string {
	var v any
	if err := json.Unmarshal(answer, &v); err != nil {
		return ""
	}
	for _, k := range keys {
		m, ok := v.(map[string]any)
		if !ok {
			return ""
		}
		v = m[k]
	}
	if n, ok := v.(float64); ok {
		return fmt.Sprintf("%.0f", n)
	}
	s, _ := v.(string)
	return s
}
