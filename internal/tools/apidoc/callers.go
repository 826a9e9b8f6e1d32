package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/lease"
)

// intro is the head of the page with the description of the callers' interface.
const intro = `# API

Two HTTP and JSON interfaces: routers answer callers, control members answer operators. Every example below was run by
` + "`go run ./internal/tools/apidoc`" + `, which prints this page; identifiers, times and versions differ from run to run.

Whatever isn't a success is a refusal with the fields

| field | meaning |
|---|---|
| code | the type; a program decides by it |
| message | the same for a person |
| execution | "not run": no target started the request. "outcome unknown": one may have |
| field | the field of the request that is wrong |
| retry_after_ms | after which time another try may help; also sent as Retry-After in seconds |

Every process has ` + "`/livez`, `/readyz` and `/metrics`" + `; a router also has ` + "`/v1/state`" + `.

# Callers

A query is POST /v1/query at any router.

| field | meaning |
|---|---|
| kind | a kind of the deployment; it gives the defaults |
| groups, shards | what is asked; all shards if both are absent |
| policy | "coverage" waits for every shard until the deadline, "latency" answers once the rest is late |
| min_coverage | share of shards, 0 to 1, under which the query is refused |
| idempotent | false for a request that may not run twice; a kind that isn't idempotent can't be loosened |
| request_key | names a non-idempotent request over all its resends, at any router |
| deadline_ms | 1 to 10000; the kind's if absent |
| body | JSON handed to each target as it is |

A shard that an answer doesn't cover has a reason: quiet, no-replica, no-version, late, overloaded, target-error,
owner-lost or bad-answer. All results come from the snapshot (index version) that the answer names.
`

// write writes the whole page.
func (p *page) write() {
	p.printf("%s", intro)
	p.answers()
	p.badRequests()
	p.operators()
	p.refusalsAfterLosses()
}

// query shows a POST of body to the first router's query path.
func (p *page) query(title, body string) {
	p.show(example{title, p.system.Routers[0].VM.HTTP.String(), http.MethodPost, api.PathQuery, body})
}

// answers shows queries that succeed.
func (p *page) answers() {
	p.printf("\n## Answers\n")
	p.query("All shards of a group", `{"kind":"price-sweep","groups":["prices"],"body":{"item":"urea"}}`)
	p.query("One shard, the faster policy", `{"kind":"price-sweep","shards":["prices/01"],"policy":"latency","deadline_ms":200}`)
	order := `{"kind":"order-confirmation","request_key":"order-17","shards":["prices/00"],"body":{"order":17}}`
	p.query("A non-idempotent request", order)
	p.query("The same, sent again: the recorded answer", order)
}

// badRequests shows the refusals of invalid requests.
func (p *page) badRequests() {
	p.printf("\n## Refusals of bad requests\n")
	p.query("Not JSON", `{"kind":`)
	p.query("An unknown field", `{"kind":"price-sweep","color":"blue"}`)
	p.query("An unknown kind", `{"kind":"price-swep"}`)
	p.query("An unknown group", `{"kind":"price-sweep","groups":["price"]}`)
	p.query("An unknown shard", `{"kind":"price-sweep","shards":["prices/99"]}`)
	p.query("A deadline out of bounds", `{"kind":"price-sweep","deadline_ms":60000}`)
	p.query("A bad policy", `{"kind":"price-sweep","policy":"fast"}`)
	p.query("Too large", `{"kind":"price-sweep","body":"`+strings.Repeat("x", api.MaxQueryBytes)+`"}`)
	p.query("No request key", `{"kind":"order-confirmation"}`)
	p.query("A request key used for another request", `{"kind":"order-confirmation","request_key":"order-17","body":{"order":18}}`)
	router := p.system.Routers[0].VM.HTTP.String()
	p.show(example{"An unknown path", router, http.MethodGet, "/v1/queries", ""})
	p.show(example{"Another method", router, http.MethodGet, api.PathQuery, ""})
}

// refusalsAfterLosses stops the targets of a shard and then all control
// members. It must run last, since the system doesn't recover.
func (p *page) refusalsAfterLosses() {
	p.printf("\n# Refusals after losses\n")
	for id, t := range p.system.Targets {
		if strings.HasPrefix(string(id), "prices/00") {
			t.Kill()
		}
	}
	p.query("A shard is lost; half of the shards are enough", `{"kind":"price-sweep"}`)
	p.query("A shard is lost; all are needed", `{"kind":"price-sweep","min_coverage":1}`)
	for _, m := range p.system.Members {
		_ = m.Stop()
	}
	p.query("Control is lost, the lease still runs: a key can't be claimed",
		`{"kind":"order-confirmation","request_key":"order-19","shards":["prices/01"],"deadline_ms":500}`)
	time.Sleep(lease.Duration)
	p.query("Control is lost and the lease has run out", `{"kind":"price-sweep"}`)
	p.show(example{"Readiness then", p.system.Routers[0].VM.HTTP.String(), http.MethodGet, api.PathReady, ""})
}
