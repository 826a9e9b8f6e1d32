// Package trial runs a whole system in one process on loopback: stand-in
// targets, control members and routers, each on sockets of its own. Trials, the
// bench and tests start from it.
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

// readyPoll is the time between two looks whether the system is ready.
const readyPoll = 50 * time.Millisecond

// Config says what a trial consists of.
type Config struct {
	// Deployment is the configuration; its target addresses are replaced.
	Deployment *topology.Deployment
	// External says that the targets run elsewhere, at the deployment's
	// addresses.
	External bool
	// Members and Routers count the processes of each role.
	Members, Routers int
	// DataDir is an existing folder for the members' data folders.
	DataDir string
	// LogOutput takes all log lines; nil drops them.
	LogOutput io.Writer
	Log       settings.Log
	// Standin changes the options of a stand-in target; may be nil.
	Standin func(t *topology.Target, o *standin.Options)
	// Router changes the configuration of a router; may be nil.
	Router func(c *router.Config)
	// Member changes the settings of a control member; may be nil.
	Member func(c *settings.Control)
}

// System is a running trial.
type System struct {
	Deployment *topology.Deployment
	Targets    map[topology.TargetID]*standin.Target
	Members    []*Member
	Routers    []*Router

	cfg Config
}

// NotReadyError says that the system wasn't ready in time.
type NotReadyError struct {
	Cause error
}

// Error describes the failure.
func (e *NotReadyError) Error() string { return "the trial wasn't ready in time: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// Start starts a system. Stop ends it.
func Start(cfg Config) (*System, error) {
	if cfg.LogOutput == nil {
		cfg.LogOutput = io.Discard
	}
	s := &System{cfg: cfg, Targets: make(map[topology.TargetID]*standin.Target)}
	if cfg.External {
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

func (s *System) startTargets() error {
	d := *s.cfg.Deployment
	d.Targets = append([]topology.Target(nil), d.Targets...)
	index := topology.NewIndex(s.cfg.Deployment)
	for i := range d.Targets {
		t := &d.Targets[i]
		o := standin.OptionsFor(t, index.GroupOf(t.Shard))
		o.Seed = uint64(i + 1)
		if s.cfg.Standin != nil {
			s.cfg.Standin(t, &o)
		}
		stand := standin.New(o)
		if err := stand.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return trace.Wrap(err)
		}
		t.Addr = stand.Addr()
		s.Targets[t.ID] = stand
	}
	s.Deployment = &d
	return nil
}

// WaitReady waits until each router answers a query from every shard.
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

// answersAll reports whether a router answers a query from every shard.
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

func (s *System) idempotentKind() topology.KindName {
	for _, k := range s.Deployment.Kinds {
		if k.Idempotent {
			return k.Name
		}
	}
	return ""
}

// ControlHTTP lists the members' addresses for operators.
func (s *System) ControlHTTP() []string {
	var out []string
	for _, m := range s.Members {
		out = append(out, m.Settings.VM.HTTP.String())
	}
	return out
}

// RouterHTTP lists the routers' addresses for callers.
func (s *System) RouterHTTP() []netip.AddrPort {
	var out []netip.AddrPort
	for _, r := range s.Routers {
		out = append(out, r.VM.HTTP)
	}
	return out
}

// Stop ends everything at once and returns the failures met.
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

// listen opens a socket on a free port of loopback.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, trace.Wrap(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String()), nil
}

// dataCentre deals VMs out to the data centres in turn.
func (s *System) dataCentre(i int) topology.DataCentre {
	dcs := s.cfg.Deployment.DataCentres
	return dcs[i%len(dcs)]
}
