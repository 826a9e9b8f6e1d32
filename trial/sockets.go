package trial

import (
	"net"
	"sync"
)

// sockets is a listener that can close all that it accepted.
type sockets struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newSockets(inner net.Listener) *sockets { return &sockets{Listener: inner} }

// Accept implements net.Listener.
func (s *sockets) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// closeAll closes the listener and every connection.
func (s *sockets) closeAll() {
	_ = s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
