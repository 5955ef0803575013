package peer

import (
	"context"

	"storj.io/drpc/drpcconn"

	"github.com/hibiscusspur/hibiscusspur/link"
)

// peerConn is a connection to another gateway, opened on demand. It is used by one goroutine only.
type peerConn struct{ *drpcconn.Conn }

// open connects unless a connection is open already. m counts its bytes.
func (c *peerConn) open(ctx context.Context, n Network, addr string, m *link.Meter) error {
	if c.closedByPeer() {
		c.disconnect()
	}
	if c.Conn != nil {
		return nil
	}
	conn, err := n.Dial(ctx, addr)
	if err == nil {
		c.Conn = link.Client(m.Conn(conn))
	}
	return err
}

// closedByPeer reports whether the other side closed the connection, as it does after some idle seconds.
// Updates sent over such a connection would be lost.
func (c *peerConn) closedByPeer() bool {
	if c.Conn == nil {
		return false
	}
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

func (c *peerConn) disconnect() {
	if c.Conn == nil {
		return
	}
	// The connection is discarded, so an error on closing it makes no difference.
	_ = c.Close()
	c.Conn = nil
}
