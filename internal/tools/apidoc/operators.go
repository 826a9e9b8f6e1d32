package main

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/peridotmux/peridotmux/api"
)

// operatorsIntro is the description of the operators' interface.
const operatorsIntro = `
# Operators

The administration API is served by each control member; one that doesn't lead passes requests on to the leader. Every
change carries a command number of the client's choice: sent again, it gets the first outcome, also after a change of
leader. An intent goes from submitted to planned (or refused) to confirmed, in force, settled; or it is withdrawn, expires
or is superseded. The plan names the base version it was made on, and a confirmation repeats it.

The status also lists the newest rollout of each service of the gateways, if there were any, in the field rollouts: service,
version, state ("running", "completed", "rolled_back"), phase ("canary", "ramp", "closing"), share of requests for the new
version, elapsed_ms at the last step, ramp_ms, and the reason of its end. Rollouts are ordered by the platform's operator.
`

// admin shows a request to the first control member.
func (p *page) admin(title, method, path, body string) []byte {
	return p.show(example{title, p.system.ControlHTTP()[0], method, path, body})
}

// submit shows the submission of an intent, given as JSON, under a command
// number.
func (p *page) submit(title, command, intent string) []byte {
	body := fmt.Sprintf(`{"command":%q,"intent":%s}`, command, intent)
	return p.admin(title, http.MethodPost, api.PathIntents, body)
}

// confirm shows the confirmation of a plan that was made on version base.
func (p *page) confirm(title, command, plan, base string) {
	path := strings.Replace(api.PathConfirm, "{plan}", plan, 1)
	p.admin(title, http.MethodPost, path, fmt.Sprintf(`{"command":%q,"base":%s}`, command, base))
}

// operators shows the administration API: intents, refusals, status and
// members. Later examples depend on the outcome of earlier ones.
func (p *page) operators() {
	p.printf("%s", operatorsIntro)
	p.printf("\n## Intents\n")
	first := p.submit("Take a data centre out", "c-1", `{"kind":"take-out","data_centre":"dc-a","operator":"ana"}`)
	second := p.submit("A second operator plans another change on the same base", "c-2",
		`{"kind":"take-out","targets":["prices/01/left"],"return_at":"2027-01-01T06:00:00Z","operator":"ben"}`)
	plan, base := field(first, "plan", "id"), field(first, "plan", "base")
	p.confirm("The first is confirmed", "c-3", plan, base)
	p.confirm("The same command sent again has the first outcome", "c-3", plan, base)
	p.confirm("The second lost the race", "c-4", field(second, "plan", "id"), field(second, "plan", "base"))
	p.query("A query with the data centre quiet", `{"kind":"price-sweep","shards":["prices/00"]}`)
	p.submit("A plan that would leave a shard without a replica is refused", "c-5",
		`{"kind":"take-out","data_centre":"dc-b"}`)
	p.submit("A kind declared non-idempotent", "c-6", `{"kind":"non-idempotent","kinds":["price-sweep"]}`)
	third := p.submit("A data centre brought back", "c-7", `{"kind":"bring-back","data_centre":"dc-a"}`)
	id := field(third, "id")
	p.admin("Withdrawn before it was confirmed", http.MethodPost,
		strings.Replace(api.PathWithdraw, "{id}", id, 1), `{"command":"c-8"}`)
	p.admin("One intent", http.MethodGet, strings.Replace(api.PathIntent, "{id}", id, 1), "")
	p.printf("\n## Refusals\n")
	p.admin("Not JSON", http.MethodPost, api.PathIntents, `{`)
	p.submit("An unknown data centre", "c-9", `{"kind":"take-out","data_centre":"dc-x"}`)
	p.submit("A command number used for another command", "c-1", `{"kind":"bring-back","data_centre":"dc-a"}`)
	p.admin("An unknown intent", http.MethodGet, strings.Replace(api.PathIntent, "{id}", "i-0", 1), "")
	p.printf("\n## Status and members\n")
	p.admin("Status", http.MethodGet, api.PathStatus, "")
	p.admin("Members", http.MethodGet, api.PathMembers, "")
	p.admin("A change of membership that can't be made", http.MethodPost, api.PathMembers,
		`{"command":"c-10","action":"promote","id":"9"}`)
}
