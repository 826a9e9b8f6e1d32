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

// dataFolderMode is the file mode of a control member's data folder.
const dataFolderMode = 0o700

// Member is a running control member. done holds the result of its run.
type Member struct {
	Settings *settings.Control
	stop     context.CancelFunc
	done     chan error
}

// Stop stops the member, waits for it to end and returns its error, if any. It may
// be called more than once.
func (m *Member) Stop() error {
	m.stop()
	err := <-m.done
	m.done <- err
	return trace.Wrap(err)
}

// startMembers opens the listeners of all members before it starts the first one,
// as the settings of each member contain the addresses of all.
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

// memberSettings creates the data folder of the i-th member and returns its settings.
func (s *System) memberSettings(i int, m settings.Member, all []settings.Member) (*settings.Control, error) {
	folder := filepath.Join(s.cfg.DataDir, string(m.Name))
	if err := os.MkdirAll(folder, dataFolderMode); err != nil {
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
