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

// maxShown bounds the body shown of a request.
const maxShown = 400

// page prints the document and keeps the first failure.
type page struct {
	w      io.Writer
	system *trial.System
	err    error
}

// example is one request to show.
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

// show sends an example, prints it with its answer, and returns the answer.
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
	if after := header.Get("Retry-After"); after != "" {
		p.printf(", `Retry-After: %s`", after)
	}
	p.printf("\n\n%s", block(pretty(answer)))
	return answer
}

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

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return s[:40] + fmt.Sprintf("... (%d bytes)", len(s))
}

func pretty(data []byte) string {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return string(data)
	}
	return out.String()
}

// block indents text as a block of code.
func block(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text + "\n") {
		b.WriteString("    " + line)
	}
	return b.String()
}

// field returns a string or number from an answer by the path of its keys.
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
