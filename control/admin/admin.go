package admin

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/clientlimit"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
)

// proposeTimeout limits the proposal of one operator command.
const proposeTimeout = 3 * time.Second

// Peer is a member of the control plane with its addresses (host:port).
type Peer struct {
	ID string
	// RPC is the address for other processes of the system, HTTP the one for
	// operators.
	RPC  string
	HTTP string
}

// Config configures a Handler.
type Config struct {
	State   *state.State
	Log     control.Log
	Reports *service.Reports
	// Peers lists the members to which requests can be forwarded.
	Peers []Peer
	// Members is nil if the membership can't be changed.
	Members control.Membership
	Logger  *slog.Logger
	// Client forwards requests. If it is nil, a default client is used.
	Client *http.Client
}

// Handler serves the administration API. It is safe for concurrent use.
type Handler struct {
	cfg    Config
	client *http.Client
	router *mux.Router
}

// New returns a handler for the API.
func New(c Config) *Handler {
	h := &Handler{cfg: c, client: c.Client, router: mux.NewRouter()}
	if h.client == nil {
		h.client = newClient()
	}
	h.handle(http.MethodPost, api.PathIntents, h.submit)
	h.handle(http.MethodGet, api.PathIntents, h.list)
	h.handle(http.MethodGet, api.PathIntent, h.show)
	h.handle(http.MethodPost, api.PathConfirm, h.confirm)
	h.handle(http.MethodPost, api.PathWithdraw, h.withdraw)
	h.handle(http.MethodGet, api.PathStatus, h.status)
	h.handle(http.MethodGet, api.PathMembers, h.members)
	h.handle(http.MethodPost, api.PathMembers, h.changeMember)
	notFound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, newRefusal(api.CodeNotFound, "there is no such path or method"))
	})
	h.router.NotFoundHandler, h.router.MethodNotAllowedHandler = notFound, notFound
	return h
}

// Register adds the API's paths to a router that also serves other paths.
func (h *Handler) Register(r *mux.Router) {
	r.PathPrefix("/v1/").Handler(h.router)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// endpoint handles one request. It returns a value to encode as JSON, or a
// refusal.
type endpoint func(r *http.Request, body []byte) (any, *api.Refusal)

// handle registers an endpoint for a method and path.
func (h *Handler) handle(method, path string, e endpoint) {
	h.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, e) }).Methods(method)
}

// serve runs an endpoint on the leader. A member that is not the leader
// forwards the request; if that is not possible, it serves reads from its own
// records.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, e endpoint) {
	body, err := clientlimit.ReadBody(r, api.MaxIntentBytes)
	if err != nil {
		h.refuse(w, r, bodyRefusal(err))
		return
	}
	lead := h.cfg.Log.Leadership()
	if !lead.Leads && h.forwardToLeader(w, r, body, lead.LeaderAddr) {
		return
	}
	answer, refusal := e(r, body)
	if refusal != nil {
		h.refuse(w, r, refusal)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// bodyRefusal returns the refusal for a request whose body can't be read.
func bodyRefusal(err error) *api.Refusal {
	switch clientlimit.StatusOf(err) {
	case http.StatusRequestEntityTooLarge:
		return newRefusal(api.CodeTooLarge, "the body is too large")
	case http.StatusServiceUnavailable:
		return newRefusal(api.CodeOverloaded, "clients hold too much memory")
	}
	return newRefusal(api.CodeMalformed, "the body can't be read")
}

// newRefusal returns a refusal of a request that was not executed.
func newRefusal(code api.Code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Execution: api.NotRun}
}

// refuse writes a refusal with the HTTP status of its code.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, f *api.Refusal) {
	h.cfg.Logger.Info("refused", "method", r.Method, "path", r.URL.Path,
		"code", f.Code, "execution", f.Execution, "message", f.Message)
	writeJSON(w, httpStatus(f.Code), f)
}

func httpStatus(code api.Code) int {
	switch code {
	case api.CodeMalformed, api.CodeBadField:
		return http.StatusBadRequest
	case api.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case api.CodeNotFound:
		return http.StatusNotFound
	case api.CodeConflict, api.CodeCommandReused, api.CodeNotConfirmable:
		return http.StatusConflict
	case api.CodePlanRefused:
		return http.StatusUnprocessableEntity
	case api.CodeExpired:
		return http.StatusGone
	case api.CodeNotLeader, api.CodeControlUnreachable, api.CodeOverloaded:
		return http.StatusServiceUnavailable
	case api.CodeUnknownOutcome:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller sees a failed write as a broken response.
	_ = json.NewEncoder(w).Encode(v)
}

func decode(body []byte, v any) *api.Refusal {
	if err := json.Unmarshal(body, v); err != nil {
		return newRefusal(api.CodeMalformed, err.Error())
	}
	return nil
}
