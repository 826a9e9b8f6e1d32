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

func newTrackingListener(l net.Listener) *trackingListener {
	return &trackingListener{Listener: l}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// closeAll closes the listener and every accepted connection.
func (l *trackingListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}
