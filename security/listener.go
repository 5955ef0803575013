package security

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// handshakeTimeout bounds the TLS handshake of an accepted connection.
const handshakeTimeout = 5 * time.Second

// NewListener returns l with TLS, or l itself when conf is nil. A connection
// whose peer does not complete the handshake in time is closed.
func NewListener(l net.Listener, conf *tls.Config) net.Listener {
	if conf == nil {
		return l
	}
	return &listener{Listener: l, conf: conf, timeout: handshakeTimeout}
}

type listener struct {
	net.Listener
	conf    *tls.Config
	timeout time.Duration
}

// Accept implements net.Listener. It does not perform the handshake, which takes
// place at the first Read or Write.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: tls.Server(c, l.conf), timeout: l.timeout}, nil
}

type conn struct {
	*tls.Conn
	timeout time.Duration
	once    sync.Once
	err     error
}

func (c *conn) handshake() error {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		if c.err = c.HandshakeContext(ctx); c.err != nil {
			_ = c.Close()
		}
	})
	return c.err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
