package security

import (
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// TestHandshakeTimeout checks that the connection of a peer that sends nothing is closed.
func TestHandshakeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		c, err := NewListener(oneConn{conn: near}, &tls.Config{}).Accept()
		assert.NilError(t, err)
		begun := time.Now()
		_, err = c.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(begun), handshakeTimeout)
		_, err = far.Write([]byte("late"))
		assert.Assert(t, err != nil)
		_, writeErr := c.Write([]byte("x"))
		assert.Assert(t, writeErr != nil)
	})
}
