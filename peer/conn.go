package peer

import (
	"context"

	"storj.io/drpc/drpcconn"

	"github.com/hibiscusspur/hibiscusspur/link"
)

// peerConn is a connection to another gateway that is opened when it is needed. It belongs to one
// goroutine.
type peerConn struct{ *drpcconn.Conn }

// open opens the connection unless it is open. Its bytes are counted in m.
func (c *peerConn) open(ctx context.Context, n Network, addr string, m *link.Meter) error {
	if c.closed() {
		c.hangUp()
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

// closed reports whether the other side closed the connection, as it does when nothing came
// over it for some seconds. News that went into such a connection would be lost.
func (c *peerConn) closed() bool {
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

func (c *peerConn) hangUp() {
	if c.Conn == nil {
		return
	}
	// The connection is given up; how its closing ends makes no difference.
	_ = c.Close()
	c.Conn = nil
}
