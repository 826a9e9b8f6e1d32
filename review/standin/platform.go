package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// config is a complete configuration as an operator sends it.
type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"pathPrefix"`
	RouteKind       string   `json:"routeKind"`
	TimeoutMS       int      `json:"timeoutMs"`
	TargetLatencyMS int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	Attempts        int      `json:"attempts"`
	TopK            int      `json:"topK,omitempty"`
	MinCoverage     float64  `json:"minCoverage,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

// newConfig returns a configuration of some routes and services, with the limits of
// the pages' example.
func newConfig(routes []route, services ...string) *config {
	c := &config{Version: 1, Routes: routes, Limits: limits{16384, 262144, 3000, 15000}}
	for _, name := range services {
		c.Services = append(c.Services, service{Name: name, HealthPath: "/health", MaxConns: 110, Protocol: "h1", ColdStartS: 3})
	}
	return c
}

// entry is one entry of the list of instances.
type entry struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version,omitempty"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMS float64 `json:"coldLeftMs"`
}

// platform serves the list of instances.
type platform struct {
	addr string

	mu      sync.Mutex
	entries []entry
}

func (p *platform) serve(l *lab) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.addr = ln.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(p.list)}
	go func() { _ = srv.Serve(ln) }()
	l.onEnd = append(l.onEnd, func() { _ = srv.Close() })
	return nil
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.entries, "nextToken": nil})
}

// add adds entries at the end of the list.
func (p *platform) add(e ...entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, e...)
}
