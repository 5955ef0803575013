package vmlink

import (
	"net"
	"syscall"
)

// Conn returns c with its bytes recorded.
func (l *Link) Conn(c net.Conn) net.Conn {
	if l == nil {
		return c
	}
	counted := &countedConn{Conn: c, link: l}
	if raw, ok := c.(syscall.Conn); ok {
		return &countedSocket{countedConn: counted, raw: raw}
	}
	return counted
}

// countedConn records the bytes of a connection.
type countedConn struct {
	net.Conn
	link *Link
}

// uncounted returns the connection that is counted.
func (c *countedConn) uncounted() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.Sent(n)
	return n, err
}

// countedSocket is a countedConn of which the socket can be reached.
type countedSocket struct {
	*countedConn
	raw syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *countedSocket) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Listener returns l with the bytes of all its connections recorded.
func (l *Link) Listener(lis net.Listener) net.Listener {
	return &countedListener{Listener: lis, link: l}
}

type countedListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}
