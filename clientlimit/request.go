package clientlimit

import (
	"context"
	"net"
	"net/http"
)

// Begin begins a request whose head was read. hasBody means that it has a body, which
// ReadBody reads before the request is handed on. It reports false if the connection was
// closed meanwhile.
func (c *Conn) Begin(r *http.Request, hasBody bool) bool {
	if c == nil {
		return true
	}
	// In phaseOpen, nothing was read since the last answer: the request was there before.
	c.pipelined.Store(c.early.Swap(false) || phase(c.phase.Load()) == phaseOpen)
	c.wrote.Store(false)
	if read := c.head.Load(); read > freeHeadBytes {
		parsed := (read-freeHeadBytes)*parsedFactor + int64(len(r.Header))*fieldBytes
		if held := c.request.Load(); parsed < held {
			c.Give(held - parsed)
		}
	}
	if hasBody {
		return c.enter(phaseBody)
	}
	return c.move(phaseHandled)
}

// HandOn marks a request as one that must not be cut any more. It reports false if the
// connection was closed meanwhile, so that the request must not be handed on.
func (c *Conn) HandOn() bool {
	if c == nil {
		return true
	}
	c.wrote.Store(false)
	return c.move(phaseHandled)
}

// End ends a request whose handler returns, and returns all that it held.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.giveAll()
	if c.expected.Swap(false) {
		c.account.inProgress.Add(-1)
	}
	refused := c.refused.Swap(false)
	if phase(c.phase.Load()) == phaseBody {
		c.move(phaseRefused)
		return
	}
	if !refused {
		c.served.Add(1)
	}
	c.enter(phaseAfter)
}

// Refuse notes that the request in progress is refused, so that it doesn't count as an
// answered one when clients are compared.
func (c *Conn) Refuse() {
	if c != nil {
		c.refused.Store(true)
	}
}

// TakeRequest is like Take for the memory of a request before it is handed on. It also
// reports false if unread answers leave no room for the answers of further requests.
func (c *Conn) TakeRequest(n int64) bool {
	if c == nil {
		return true
	}
	if c.account.limitAnswers() && c.Take(n) {
		c.expected.Store(true)
		c.account.inProgress.Add(1)
		return true
	}
	c.report(causeMemory)
	return false
}

// IsPipelined reports whether the request in progress was sent before the answer to the one
// before it, or more requests after it. headBytes is the size of its head, and bodyBytes
// that of its body, -1 if unknown.
func (c *Conn) IsPipelined(headBytes int, bodyBytes int64) bool {
	if c == nil {
		return false
	}
	// As much again as the whole request can't be other ways to write the same head.
	behind := c.head.Load() - int64(headBytes) - bodyBytes
	return c.pipelined.Load() || bodyBytes >= 0 && behind > int64(headBytes)
}

// BeginPipelined reports whether another pipelined request may be in progress. If so,
// EndPipelined must follow.
func (c *Conn) BeginPipelined() bool {
	if c.account.pipelined.Add(1) > c.account.limits.Pipelined {
		c.account.pipelined.Add(-1)
		c.account.reports.add(c.class, causePipelined)
		return false
	}
	return true
}

// EndPipelined ends a pipelined request.
func (c *Conn) EndPipelined() { c.account.pipelined.Add(-1) }

// idle notes that the server waits for the next request.
func (c *Conn) idle() {
	c.head.Store(0)
	c.move(phaseOpen)
}

// contextKey is the context key of a request's *Conn.
type contextKey struct{}

// ConnContext is an http.Server's ConnContext for connections of an account's listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, own)
	}
	return ctx
}

// FromContext returns the connection of a request, nil if it isn't on an account.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// ConnState is an http.Server's ConnState for connections of an account's listener.
func ConnState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*Conn); ok && state == http.StateIdle {
		own.idle()
	}
}

// HasBody reports whether a request has a body to read.
func HasBody(r *http.Request) bool {
	return r.ContentLength != 0 && r.Body != nil && r.Body != http.NoBody
}

// Handler puts the requests of next on the account. next reads bodies by ReadBody.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if !c.Begin(r, HasBody(r)) {
			panic(http.ErrAbortHandler)
		}
		defer c.End()
		next.ServeHTTP(w, r)
	})
}

// Serve makes an http.Server's connections known to its handler and to the account.
func Serve(s *http.Server) *http.Server {
	s.ConnContext, s.ConnState, s.Handler = ConnContext, ConnState, Handler(s.Handler)
	return s
}
