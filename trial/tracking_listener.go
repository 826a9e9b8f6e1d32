package trial

import (
	"net"
	"sync"
)

// trackingListener is a listener that can close all connections that it has
// accepted. It keeps closed connections too; mu guards conns.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newTrackingListener(inner net.Listener) *trackingListener {
	return &trackingListener{Listener: inner}
}

// Accept implements net.Listener.
func (s *trackingListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// closeAll closes the listener and every accepted connection.
func (s *trackingListener) closeAll() {
	_ = s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
