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
	// MaxFrameBytes bounds one frame, and with it a prompt or a service body.
	MaxFrameBytes = 8 << 20
	// writeBuffer is kept by each end of each link, so it holds a packet, not a batch.
	writeBuffer = 2 << 10
	// packetBytes is the size of the parts in which a larger frame is sent. The
	// buffers of both ends grow to a part and stay so; one for a whole frame is
	// let go.
	packetBytes = 4 << 10
	// muteTimeout is how long a dialled connection may wait before it opens a session.
	muteTimeout = 5 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBuffer,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream:           drpcstream.Options{SplitSize: packetBytes, MaximumBufferSize: packetBytes},
	}
}

// serverOptions are the drpc options of the side that listens.
func serverOptions() drpcserver.Options {
	o := managerOptions()
	o.InactivityTimeout = muteTimeout
	return drpcserver.Options{Manager: o}
}

// Dial connects to a sidecar at addr ("ip:port"), with TLS when conf is not nil.
// The bytes are counted in m.
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

// Client makes calls over conn.
func Client(conn net.Conn) *drpcconn.Conn {
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
}
