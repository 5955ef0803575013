package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxFrameBytes bounds one frame, and so a prompt or a service body.
	MaxFrameBytes = 8 << 20
	// writeBufferBytes is the size of the write buffer at each end of each link: a packet rather than a batch,
	// to save memory.
	writeBufferBytes = 2 << 10
	// packetBytes is the size of the packets into which a larger frame is split. The buffers of both ends grow
	// to the size of a packet and keep it; a buffer for a whole frame is released.
	packetBytes = 4 << 10
	// sessionTimeout is how long an accepted connection may stay open without a session.
	sessionTimeout = 5 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream:           drpcstream.Options{SplitSize: packetBytes, MaximumBufferSize: packetBytes},
	}
}

// serverOptions returns the drpc options of the listening side.
func serverOptions() drpcserver.Options {
	o := managerOptions()
	o.InactivityTimeout = sessionTimeout
	return drpcserver.Options{Manager: o}
}

// Dial connects to a sidecar at addr ("ip:port"), with TLS unless conf is nil. m counts the bytes.
func Dial(ctx context.Context, addr string, conf *tls.Config, timeout time.Duration, m *Meter) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn = m.Conn(conn)
	if conf != nil {
		tc := tls.Client(conn, conf)
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		conn = tc
	}
	return Client(conn), nil
}

// Client returns a drpc client that makes calls over conn.
func Client(conn net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
}
