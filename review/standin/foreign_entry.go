package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForeignEntry lists one entry of another writer, which lacks the field version:
// it names a replica of the service "catalog" as one of "orders". Such an entry names
// no replica to use, so each request must be run by its own service.
func playForeignEntry(l *lab) ([]string, error) {
	ran, list := &runs{}, &platform{}
	var foreign entry
	for _, service := range []string{"orders", "catalog"} {
		for i := range 2 {
			r := &replica{
				id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zoneName(i), slots: 6, queue: 24, runs: ran,
				work:    func() time.Duration { return 5 * time.Millisecond },
				body:    func(stamp string) []byte { return []byte("answer of " + service + " " + stamp) },
				faultOf: func(bool, int) fault { return faultNone },
			}
			e, err := r.serve(l)
			if err != nil {
				return nil, err
			}
			list.add(e)
			if service == "catalog" && i == 0 {
				foreign = e
			}
		}
	}
	foreign.Service, foreign.Version = "orders", ""
	var routes []route
	for _, service := range []string{"orders", "catalog"} {
		routes = append(routes, route{
			Name: service, Host: "shop.example", PathPrefix: "/" + service + "/", RouteKind: "idempotent",
			TimeoutMS: 4000, TargetLatencyMS: 250, Priority: 1, Service: service, Attempts: 2,
		})
	}
	if err := l.startAll(2, newConfig(routes, "orders", "catalog"), list); err != nil {
		return nil, err
	}
	sent := make(map[string]string)
	client := newClient()
	for i := range 400 {
		if i == 100 && l.trouble {
			l.note("the list gets an entry of another writer without the field version: id %s, service %s", foreign.ID, foreign.Service)
			list.add(foreign)
		}
		service := []string{"orders", "catalog"}[i%2]
		id := newID()
		sent[id] = service
		l.note("request %s for %s is sent", id, service)
		a := l.send(client, l.gateways[i/2%2], http.MethodGet, "shop.example", "/"+service+"/1", id, 4*time.Second)
		l.note("request %s is answered %d %q by %s", id, a.status, a.body, a.gateway)
		time.Sleep(20 * time.Millisecond)
	}
	var breaks []string
	for _, x := range ran.list() {
		if want := sent[x.id]; x.service != want {
			breaks = append(breaks, fmt.Sprintf("ROUTE: request %s for %s was run by %s of %s", x.id, want, x.replica, x.service))
		}
	}
	return breaks, nil
}
