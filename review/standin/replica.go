package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica ran.
type run struct {
	id, service, replica string
	at                   time.Time
}

// runs collects what all replicas ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// fault is what a faulty replica does with one answer.
type fault int

const (
	faultNone fault = iota
	// faultBreakOff sends a part of the answer and closes the connection.
	faultBreakOff
	// faultLateCopy sends the answer, and a second copy of it late: where the next
	// answer on the connection is expected.
	faultLateCopy
)

// replica is one instance of a service.
type replica struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	body              func(stamp string) []byte
	// faultOf chooses what happens to an answer.
	faultOf func(health bool, status int) fault
	runs    *runs
	l       *lab

	listener net.Listener
	mu       sync.Mutex
	running  int
	waiting  int
	freed    *sync.Cond
	count    int
}

// serve starts the replica and returns its entry of the platform's list.
func (r *replica) serve(l *lab) (entry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return entry{}, err
	}
	r.listener, r.l = ln, l
	r.freed = sync.NewCond(&r.mu)
	l.onEnd = append(l.onEnd, func() { _ = ln.Close() })
	go r.accept()
	return entry{
		ID: r.id, Service: r.service, Address: ln.Addr().String(), Zone: r.zone, Version: "v1", Slots: r.slots, State: "ready",
	}, nil
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.converse(c)
	}
}

// converse answers the requests of one connection.
func (r *replica) converse(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id, health := req.Header.Get("X-Request-Id"), req.URL.Path == "/health"
		status, answer := r.answer(req, id, health)
		if late != nil {
			r.l.note("%s sends the late second copy of an earlier answer where that to %s is expected", r.id, describe(id, health))
			_, _ = c.Write(late)
			late = nil
		}
		switch r.faultOf(health, status) {
		case faultBreakOff:
			r.l.note("%s breaks off its answer to %s", r.id, describe(id, health))
			_, _ = c.Write(answer[:len(answer)*2/3])
			return
		case faultLateCopy:
			late = bytes.Clone(answer)
			first, _, _ := strings.Cut(string(answer), "\r\n")
			r.l.note("%s answers %s with %q and will send a second copy", r.id, describe(id, health), first)
		default:
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

func describe(id string, health bool) string {
	if health {
		return "a health check"
	}
	return "request " + id
}

// answer runs a request, or rejects it, and returns the answer's status and bytes.
func (r *replica) answer(req *http.Request, id string, health bool) (int, []byte) {
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		return r.format(http.StatusMisdirectedRequest, id, "", "X-Not-Executed: 1\r\n", nil)
	}
	if !r.enter() {
		return r.format(http.StatusServiceUnavailable, id, "", "X-Not-Executed: 1\r\n"+r.instance(health), nil)
	}
	defer r.leave()
	if health {
		time.Sleep(time.Millisecond)
		return r.format(http.StatusOK, id, "", r.instance(true), nil)
	}
	stamp := r.nextStamp()
	r.runs.add(run{id: id, service: r.service, replica: r.id, at: time.Now()})
	r.l.note("%s of %s runs request %s", r.id, r.service, id)
	time.Sleep(r.work())
	return r.format(http.StatusOK, id, stamp, "", r.body(stamp))
}

func (r *replica) instance(health bool) string {
	if !health {
		return ""
	}
	return "X-Instance: " + r.id + "\r\n"
}

// enter takes a slot, waits for one, or reports that the queue is full.
func (r *replica) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots && r.waiting >= r.queue {
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		r.freed.Wait()
	}
	r.waiting--
	r.running++
	return true
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.freed.Signal()
}

func (r *replica) nextStamp() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	return fmt.Sprintf("%s.%x", r.id, r.count)
}

// format returns an answer's status and bytes. It echoes the request's id, if there is one.
func (r *replica) format(status int, id, stamp, headers string, body []byte) (int, []byte) {
	r.mu.Lock()
	load := fmt.Sprintf("X-Server-Load: %d,%d,%d\r\n", r.running, r.waiting, r.slots)
	r.mu.Unlock()
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%s", status, http.StatusText(status), headers, load)
	if id != "" {
		out = fmt.Appendf(out, "X-Request-Id: %s\r\n", id)
	}
	if stamp != "" {
		out = fmt.Appendf(out, "X-Server-Stamp: %s\r\n", stamp)
	}
	out = fmt.Appendf(out, "Content-Length: %d\r\n\r\n", len(body))
	return status, append(out, body...)
}
