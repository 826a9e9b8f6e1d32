package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/route"
)

// isListable reports whether a signature can be part of a comma-separated list.
func isListable(signature string) bool {
	return signature != "" && !strings.ContainsAny(signature, ", ")
}

// missingDetails describes the shards without a part, for the log.
func (g *gathering) missingDetails() []string {
	var out []string
	for i, service := range g.req.route.Gather.Shards {
		if g.signatures[i] != "" {
			continue
		}
		text := string(service)
		if slices.Contains(g.leaveOut, i) {
			text += " left out"
		}
		if h := g.handedOver[i]; h != nil {
			text += " helper=" + string(h.asked.vm)
		}
		if c := g.calls[i]; c != nil {
			text += " tried=" + strconv.Itoa(len(c.tried)) + " out=" + strconv.Itoa(c.inFlight) + " rejected=" + strconv.Itoa(c.rejections)
			if c.budgetDenied {
				text += " denied"
			}
		}
		out = append(out, text)
	}
	return out
}

func (g *gathering) missing() int { return len(g.signatures) - g.received }

// writeResponse merges the parts into one response.
func (g *gathering) writeResponse(w http.ResponseWriter) {
	d := &g.server.cfg.Headers
	signatures := make([]string, 0, g.received)
	for _, signature := range g.signatures {
		if signature != "" {
			signatures = append(signatures, signature)
		}
	}
	h := w.Header()
	h.Set(d.RequestID, g.req.id)
	h.Set(d.PartSignatures, strings.Join(signatures, ", "))
	h.Set(d.MissingParts, strconv.Itoa(g.missing()))
	h.Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(topRecords(g.bodies, g.req.route.Gather.TopK))
}

// refuse answers a request for which too few parts were received.
func (g *gathering) refuse(w http.ResponseWriter, r *http.Request, why reason) {
	f := &refusal{status: http.StatusBadGateway, reason: why, missing: g.missingDetails()}
	switch {
	case g.runs == 0 && !g.anyInFlight():
		f.status = http.StatusServiceUnavailable
		f.reason = reasonNoTarget
		f.retryAfter = g.server.fleet.timeUntilUsable(g.missingServices(), len(g.missingServices())-len(g.calls)+g.req.route.Gather.MinParts(), time.Now())
	case why == reasonDeadline || why == reasonDraining:
		f.status = http.StatusGatewayTimeout
	}
	g.server.refuse(w, r, g.req, f)
}

// missingServices lists the services without a part.
func (g *gathering) missingServices() []route.ServiceName {
	var out []route.ServiceName
	for i, service := range g.req.route.Gather.Shards {
		if g.signatures[i] == "" {
			out = append(out, service)
		}
	}
	return out
}
