package peer

import (
	"context"
	"net"

	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// Network opens the connections between gateways.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// tcpNetwork is the Network used in production.
type tcpNetwork struct {
	// link is the link of this VM; nil is not accounted for.
	link *vmlink.Link
}

// Listen implements Network.
func (n tcpNetwork) Listen(addr string) (net.Listener, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.link.Listener(lis), nil
}

// Dial implements Network.
func (n tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.link.Conn(c), nil
}

// SetLink makes the exchanges and datagrams account for the link of this VM. It must be called before Run.
func (s *Service) SetLink(l *vmlink.Link) {
	s.net = tcpNetwork{link: l}
	s.datagrams.link = l
}

// SetNetwork replaces TCP, for tests. It must be called before Run.
func (s *Service) SetNetwork(n Network) { s.net = n }
