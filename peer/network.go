package peer

import (
	"context"
	"net"
)

// Network opens the connections between gateways.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// tcpNetwork is the Network used in production.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// SetNetwork replaces TCP, for tests. It must be called before Run.
func (s *Service) SetNetwork(n Network) { s.net = n }
