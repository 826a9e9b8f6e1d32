package trial

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/peridotmux/peridotmux/control/daemon"
	"github.com/peridotmux/peridotmux/settings"
	"github.com/peridotmux/peridotmux/topology"
)

// folderMode is the mode of a member's data folder.
const folderMode = 0o700

// Member is a running control member.
type Member struct {
	Settings *settings.Control
	stop     context.CancelFunc
	done     chan error
}

// Stop ends the member and returns its failure, if any.
func (m *Member) Stop() error {
	m.stop()
	err := <-m.done
	m.done <- err
	return trace.Wrap(err)
}

func (s *System) startMembers() error {
	var members []settings.Member
	var rpcListeners, httpListeners []net.Listener
	for i := range s.cfg.Members {
		rpcListener, rpcAddr, err := listen()
		if err != nil {
			return trace.Wrap(err)
		}
		httpListener, httpAddr, err := listen()
		if err != nil {
			return trace.Wrap(err)
		}
		rpcListeners = append(rpcListeners, rpcListener)
		httpListeners = append(httpListeners, httpListener)
		members = append(members, settings.Member{
			Number: settings.MemberNumber(i + 1),
			Name:   topology.VMName("state-" + strconv.Itoa(i+1)),
			RPC:    rpcAddr,
			HTTP:   httpAddr,
		})
	}
	for i, m := range members {
		cfg, err := s.memberSettings(i, m, members)
		if err != nil {
			return trace.Wrap(err)
		}
		if s.cfg.ModifyMember != nil {
			s.cfg.ModifyMember(cfg)
		}
		s.Members = append(s.Members, s.runMember(cfg, rpcListeners[i], httpListeners[i]))
	}
	return nil
}

func (s *System) memberSettings(i int, m settings.Member, all []settings.Member) (*settings.Control, error) {
	folder := filepath.Join(s.cfg.DataDir, string(m.Name))
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, trace.Wrap(err)
	}
	return &settings.Control{
		VM: topology.VM{
			Name: m.Name, DataCentre: s.dataCentre(i), RPC: m.RPC, HTTP: m.HTTP,
		},
		Region:     s.cfg.Deployment.Region,
		Member:     m.Number,
		DataFolder: folder,
		Members:    all,
		Bootstrap:  true,
		Deployment: s.Deployment,
		Log:        s.cfg.Log,
		Bounds:     settings.DefaultBounds,
	}, nil
}

func (s *System) runMember(cfg *settings.Control, rpcListener, httpListener net.Listener) *Member {
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{Settings: cfg, stop: stop, done: make(chan error, 1)}
	go func() { m.done <- daemon.RunOnListeners(ctx, cfg, s.cfg.LogOutput, rpcListener, httpListener) }()
	return m
}
