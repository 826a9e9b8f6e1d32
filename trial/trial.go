// Package trial runs a whole system in one process on loopback: stand-in targets,
// control members and routers, each with its own sockets. The trial command, the
// benchmark and tests use it.
package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/router"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/standin"
	"github.com/peridotmux/peridotmux/topology"
)

// readyPoll is the interval at which WaitReady queries a router.
const readyPoll = 50 * time.Millisecond

// Config describes the system to run.
type Config struct {
	// Deployment is the configuration. Its target addresses are replaced by those of
	// the stand-ins unless ExternalTargets is set; the value itself isn't modified.
	Deployment *topology.Deployment
	// ExternalTargets is true if the targets already run at the deployment's
	// addresses; no stand-ins are started then.
	ExternalTargets bool
	// Members and Routers are the numbers of control members and routers.
	Members, Routers int
	// DataDir is an existing folder. Each control member gets a data folder in it.
	DataDir string
	// LogOutput receives all log lines; if nil, they are discarded.
	LogOutput io.Writer
	Log       settings.Log
	// ModifyStandin, if set, adjusts the options of each stand-in before it starts.
	ModifyStandin func(t *topology.Target, o *standin.Options)
	// ModifyRouter, if set, adjusts the configuration of each router before it
	// starts.
	ModifyRouter func(c *router.Config)
	// ModifyMember, if set, adjusts the settings of each control member before it
	// starts.
	ModifyMember func(c *settings.Control)
}

// System is a running system.
type System struct {
	// Deployment is the configuration with the targets' actual addresses.
	Deployment *topology.Deployment
	// Targets holds the stand-ins; it is empty with ExternalTargets.
	Targets map[topology.TargetID]*standin.Target
	Members []*Member
	Routers []*Router

	cfg Config
}

// NotReadyError reports that the system wasn't ready before the context ended.
type NotReadyError struct {
	Cause error
}

// Error implements error.
func (e *NotReadyError) Error() string { return "the trial wasn't ready in time: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// Start starts a system; the caller must call Stop. It returns without waiting
// until the system is ready, see WaitReady. On an error it stops what it has
// started.
func Start(cfg Config) (*System, error) {
	if cfg.LogOutput == nil {
		cfg.LogOutput = io.Discard
	}
	s := &System{cfg: cfg, Targets: make(map[topology.TargetID]*standin.Target)}
	if cfg.ExternalTargets {
		s.Deployment = cfg.Deployment
	} else if err := s.startTargets(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	if err := s.startMembers(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	if err := s.startRouters(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// startTargets starts a stand-in for each target on a free port and sets
// s.Deployment to a copy of the configuration with these addresses.
func (s *System) startTargets() error {
	d := *s.cfg.Deployment
	d.Targets = append([]topology.Target(nil), d.Targets...)
	index := topology.NewIndex(s.cfg.Deployment)
	for i := range d.Targets {
		t := &d.Targets[i]
		o := standin.OptionsFor(t, index.GroupOf(t.Shard))
		o.Seed = uint64(i + 1)
		if s.cfg.ModifyStandin != nil {
			s.cfg.ModifyStandin(t, &o)
		}
		standIn := standin.New(o)
		if err := standIn.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return trace.Wrap(err)
		}
		t.Addr = standIn.Addr()
		s.Targets[t.ID] = standIn
	}
	s.Deployment = &d
	return nil
}

// WaitReady waits until each router has answered a query with results of all
// shards. It fails with a *NotReadyError when ctx ends.
func (s *System) WaitReady(ctx context.Context) error {
	for _, r := range s.Routers {
		for !s.answersAll(ctx, r) {
			select {
			case <-ctx.Done():
				return &NotReadyError{Cause: ctx.Err()}
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// answersAll sends a query to a router and reports whether the answer covers all
// shards.
func (s *System) answersAll(ctx context.Context, r *Router) bool {
	body, err := json.Marshal(&api.Query{Kind: s.idempotentKind()})
	if err != nil {
		return false
	}
	url := "http://" + r.VM.HTTP.String() + api.PathQuery
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	a := &api.Answer{}
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(a) == nil && a.Complete
}

// idempotentKind returns the deployment's first idempotent kind, "" if it has none.
func (s *System) idempotentKind() topology.KindName {
	for _, k := range s.Deployment.Kinds {
		if k.Idempotent {
			return k.Name
		}
	}
	return ""
}

// ControlHTTP returns the HTTP addresses of the control members, for operators.
func (s *System) ControlHTTP() []string {
	var out []string
	for _, m := range s.Members {
		out = append(out, m.Settings.VM.HTTP.String())
	}
	return out
}

// RouterHTTP returns the HTTP addresses of the routers, for callers.
func (s *System) RouterHTTP() []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range s.Routers {
		out = append(out, r.VM.HTTP)
	}
	return out
}

// Stop stops the routers, then the control members, then the targets, and returns
// the errors of all routers and members, joined.
func (s *System) Stop() error {
	var wg sync.WaitGroup
	errs := make([]error, len(s.Routers)+len(s.Members))
	for i, r := range s.Routers {
		wg.Go(func() { errs[i] = r.Stop() })
	}
	wg.Wait()
	for i, m := range s.Members {
		wg.Go(func() { errs[len(s.Routers)+i] = m.Stop() })
	}
	wg.Wait()
	for _, t := range s.Targets {
		t.Close()
	}
	return errors.Join(errs...)
}

// listen opens a TCP listener on a free loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, trace.Wrap(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String()), nil
}

// dataCentre returns the data centre of the i-th VM of a role; VMs are assigned
// round-robin.
func (s *System) dataCentre(i int) topology.DataCentre {
	dcs := s.cfg.Deployment.DataCentres
	return dcs[i%len(dcs)]
}
