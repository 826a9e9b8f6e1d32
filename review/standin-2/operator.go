package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders to the members of control.
type operator struct {
	c   *cluster
	rec *record
}

// order sends an order until it is acknowledged: again to the next node after a failure, a
// 5xx or a second without an answer. Redirects are followed twice.
func (o *operator) order(method, path string, body []byte, within time.Duration) error {
	until := time.Now().Add(within)
	backoff := 50 * time.Millisecond
	for i := 0; time.Now().Before(until); i++ {
		status, err := o.send(method, path, body, i%len(o.c.members))
		o.rec.line("operator %s %s at member %d: %d %v", method, path, i%len(o.c.members), status, err)
		if err == nil && status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 500*time.Millisecond)
	}
	return fmt.Errorf("%s %s not acknowledged", method, path)
}

func (o *operator) send(method, path string, body []byte, member int) (int, error) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	q, err := http.NewRequest(method, "http://"+o.c.net.addr(firstMember+member, o.c.net.ports.http)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// serviceSpec is a service of the configuration.
type serviceSpec struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"coldStartS"`
	ColdPerS   float64 `json:"coldPerS"`
}

// routeSpec is a route to one service.
type routeSpec struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	RouteKind       string `json:"routeKind"`
	TimeoutMS       int    `json:"timeoutMs"`
	TargetLatencyMS int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
}

// configuration returns a configuration with one route for each of the first services.
func configuration(version int, services []serviceSpec, routed int) []byte {
	var routes []routeSpec
	for _, s := range services[:routed] {
		routes = append(routes, routeSpec{
			Name: "r-" + s.Name, Host: host, PathPrefix: "/" + s.Name + "/", RouteKind: "idempotent", TimeoutMS: 2000, TargetLatencyMS: 200,
			Priority: 1, Service: s.Name, Attempts: 2,
		})
	}
	out, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return out
}

func service(name string) serviceSpec {
	return serviceSpec{Name: name, HealthPath: "/health", MaxConns: 48, Protocol: "h1", ColdStartS: coldStart.Seconds()}
}

// coldStart is the time of a cold start, and coldLimit the number of requests that a cold
// replica may get in one second: coldPerS (0) x coldOverage (1.5) + coldSlack (5).
const (
	coldStart = 3 * time.Second
	coldLimit = 5
)
