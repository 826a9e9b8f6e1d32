package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// entry is one entry of the platform's list.
type entry struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"coldLeftMs"`
}

// snapshot is the list at a moment.
type snapshot struct {
	at      time.Time
	entries []entry
}

// platform serves the list of replicas, which lags behind.
type platform struct {
	lag time.Duration

	mu       sync.Mutex
	replicas []*replica
	history  []snapshot
	// odd are entries of another writer. They stand behind the others.
	odd    []entry
	server *http.Server
}

// newPlatform serves the list at addr until close.
func newPlatform(addr string, replicas []*replica, lag time.Duration) (*platform, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &platform{replicas: replicas, lag: lag}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	p.record()
	go func() { _ = p.server.Serve(l) }()
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			p.record()
		}
	}()
	return p, nil
}

// record notes the state of all replicas.
func (p *platform) record() {
	s := snapshot{at: time.Now()}
	for _, r := range p.replicas {
		if e, listed := r.entry(s.at); listed {
			s.entries = append(s.entries, e)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, s)
	for len(p.history) > 1 && p.history[1].at.Before(s.at.Add(-p.lag)) {
		p.history = p.history[1:]
	}
}

// ServeHTTP answers GET /instances with all entries on one page.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	entries := p.history[0].entries
	p.mu.Unlock()
	zone := r.URL.Query().Get("zone")
	out := []entry{}
	for _, e := range slices.Concat(entries, p.oddEntries()) {
		if zone == "" || e.Zone == zone {
			out = append(out, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": out, "nextToken": nil})
}

// setOdd sets the entries of another writer.
func (p *platform) setOdd(odd []entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.odd = odd
}

func (p *platform) oddEntries() []entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.odd
}
