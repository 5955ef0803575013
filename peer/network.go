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

// tcp is the network outside of tests.
type tcp struct{}

// Listen implements Network.
func (tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// SetNetwork replaces TCP. It must be called before Run.
func (s *Service) SetNetwork(n Network) { s.net = n }
