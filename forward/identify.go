package forward

import "net/http"

// unverifiedRetryAfter is when a caller may retry at a router that can't tell whether
// its key was withdrawn. Another router may be able to.
const unverifiedRetryAfter = minRetryAfter

// identify sets the request's workspace by its key if the configuration has
// workspaces. It returns a refusal if the key names none. A request of a public route
// needs no key; one that carries a known key belongs to its workspace all the same.
func (s *Server) identify(req *request) *refusal {
	if req.table.Workspaces == nil {
		return nil
	}
	w, err := req.table.Workspaces.Identify(req.header[s.cfg.Headers.Key])
	if req.route.Public {
		req.workspace = w
		return nil
	}
	if s.cfg.KeysConfirmed != nil && !s.cfg.KeysConfirmed(req.received) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnverified, retryAfter: unverifiedRetryAfter}
	}
	if err != nil {
		return &refusal{status: http.StatusUnauthorized, reason: reasonKey, cause: err}
	}
	req.workspace = w
	return nil
}
