package clientlimit

import "net"

// listener puts its connections on an account.
type listener struct {
	net.Listener
	account *Account
	class   Class
}

// Listen returns a listener whose connections are on the account.
func (a *Account) Listen(l net.Listener, class Class) net.Listener {
	return &listener{Listener: l, account: a, class: class}
}

// Accept implements net.Listener. A connection that finds no room is closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, account: l.account, class: l.class}
		c.since.Store(int64(l.account.now()))
		if !l.account.admit(c) {
			_ = inner.Close()
			continue
		}
		if tcp, ok := inner.(*net.TCPConn); ok && l.class == Callers {
			_ = tcp.SetReadBuffer(socketBuffer)  // Without it, the kernel's own bounds apply.
			_ = tcp.SetWriteBuffer(socketBuffer) // Likewise.
		}
		return c, nil
	}
}
