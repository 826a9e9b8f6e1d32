package admin

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/service"
	"github.com/peridotmux/peridotmux/control/state"
)

// proposeTimeout bounds the time that the log takes for an operator's command.
const proposeTimeout = 3 * time.Second

// Peer is a member of control with its addresses.
type Peer struct {
	ID string
	// RPC is the address for the system's own processes, HTTP the one for
	// operators.
	RPC  string
	HTTP string
}

// Config is what the API needs.
type Config struct {
	State   *state.State
	Log     control.Log
	Reports *service.Reports
	// Peers lists the members that requests can be passed on to.
	Peers []Peer
	// Members is nil if membership can't be changed.
	Members control.Membership
	Logger  *slog.Logger
	// Client passes requests on; nil for a default.
	Client *http.Client
}

// Handler serves the administration API.
type Handler struct {
	c      Config
	client *http.Client
	router *mux.Router
}

// New returns the API's handler.
func New(c Config) *Handler {
	h := &Handler{c: c, client: c.Client, router: mux.NewRouter()}
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
	unknown := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, refusal(api.CodeNotFound, "there is no such path or method"))
	})
	h.router.NotFoundHandler, h.router.MethodNotAllowedHandler = unknown, unknown
	return h
}

// Register adds the API's paths to a router that serves other paths, too.
func (h *Handler) Register(r *mux.Router) {
	r.PathPrefix("/v1/").Handler(h.router)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// endpoint answers one request with a value to encode or a refusal.
type endpoint func(r *http.Request, body []byte) (any, *api.Refusal)

func (h *Handler) handle(method, path string, e endpoint) {
	h.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, e) }).Methods(method)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, e endpoint) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxIntentBytes))
	if err != nil {
		h.refuse(w, r, badBody(err))
		return
	}
	lead := h.c.Log.Leadership()
	if !lead.Leads && h.passOn(w, r, body, lead.LeaderAddr) {
		return
	}
	answer, refusal := e(r, body)
	if refusal != nil {
		h.refuse(w, r, refusal)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func badBody(err error) *api.Refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refusal(api.CodeTooLarge, "the body is too large")
	}
	return refusal(api.CodeMalformed, "the body can't be read")
}

func refusal(code api.Code, message string) *api.Refusal {
	return &api.Refusal{Code: code, Message: message, Execution: api.NotRun}
}

// refuse writes a refusal with the status of its code.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, f *api.Refusal) {
	h.c.Logger.Info("refused", "method", r.Method, "path", r.URL.Path,
		"code", f.Code, "execution", f.Execution, "message", f.Message)
	writeJSON(w, statusOf(f.Code), f)
}

func statusOf(code api.Code) int {
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
	case api.CodeNotLeader, api.CodeControlUnreachable:
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
	// A failed write shows at the caller's end.
	_ = json.NewEncoder(w).Encode(v)
}

func decode(body []byte, v any) *api.Refusal {
	if err := json.Unmarshal(body, v); err != nil {
		return refusal(api.CodeMalformed, err.Error())
	}
	return nil
}
