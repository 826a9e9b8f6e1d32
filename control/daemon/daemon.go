// Package daemon runs one member of control by its settings: it joins the
// replicated log of package consensus with the shared state above it.
package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/consensus"
	"github.com/peridotmux/peridotmux/consensus/group"
	"github.com/peridotmux/peridotmux/control"
	"github.com/peridotmux/peridotmux/control/admin"
	"github.com/peridotmux/peridotmux/control/server"
	"github.com/peridotmux/peridotmux/control/state"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/telemetry"
)

// ListenError says that a socket couldn't be opened.
type ListenError struct {
	Addr  string
	Cause error
}

// Error describes the failure.
func (e *ListenError) Error() string { return "can't listen on " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Run runs one member until ctx ends. Log lines go to w.
func Run(ctx context.Context, s *settings.Control, w io.Writer) error {
	rpcListener, err := listen(s.VM.RPC.String())
	if err != nil {
		return trace.Wrap(err)
	}
	httpListener, err := listen(s.VM.HTTP.String())
	if err != nil {
		return trace.Wrap(err)
	}
	return RunOnListeners(ctx, s, w, rpcListener, httpListener)
}

// RunOnListeners runs one member on sockets that are open already, and closes them.
func RunOnListeners(ctx context.Context, s *settings.Control, w io.Writer, rpcListener, httpListener net.Listener) error {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return trace.Wrap(err)
	}
	logs := telemetry.NewLogs(w, s.Log)
	return server.Run(ctx, server.Config{
		Member: memberID(s.Member),
		Peers:  peers(s),
		RPC:    rpcListener,
		HTTP:   httpListener,
		Limits: state.DefaultLimits(),
		Logger: logs.Logger(settings.PartControl),
		Bounds: s.Bounds,

		Metrics:         metrics.Control,
		FirstDeployment: s.Deployment,
		RegisterHTTP:    func(m *mux.Router, _ *state.State, _ control.Log) { m.Handle(api.PathMetrics, metrics.Handler()) },
		Group: func(_ context.Context, sm control.StateMachine) (*server.Group, error) {
			return openGroup(s, sm, logs.Logger(settings.PartConsensus))
		},
	})
}

func openGroup(s *settings.Control, sm control.StateMachine, log *slog.Logger) (*server.Group, error) {
	var members []group.Member
	for _, m := range s.Members {
		members = append(members, group.Member{ID: consensus.MemberID(m.Number), Name: string(m.Name), RPC: m.RPC})
	}
	g, err := group.Open(group.Config{
		ID:           consensus.MemberID(s.Member),
		GroupName:    string(s.Region),
		Members:      members,
		DataDir:      s.DataFolder,
		Bootstrap:    s.Bootstrap,
		StateMachine: sm,
		Logger:       log,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &server.Group{Log: g, Members: &membership{g}, RegisterRPC: g.Register, Run: g.Run}, nil
}

func memberID(n settings.MemberNumber) string { return strconv.FormatUint(uint64(n), 10) }

func peers(s *settings.Control) []admin.Peer {
	var out []admin.Peer
	for _, m := range s.Members {
		out = append(out, admin.Peer{ID: memberID(m.Number), RPC: m.RPC.String(), HTTP: m.HTTP.String()})
	}
	return out
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	return l, nil
}
