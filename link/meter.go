package link

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes of links at the TCP level, below TLS. It is safe for concurrent use.
type Meter struct {
	sent, received atomic.Int64
}

// Sent returns the bytes written so far.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the bytes read so far.
func (m *Meter) Received() int64 { return m.received.Load() }

// Conn returns c with its bytes counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Listener returns l with the bytes of all its connections counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredConn struct {
	net.Conn
	meter *Meter
}

// NetConn returns the wrapped connection, like tls.Conn.NetConn.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}
