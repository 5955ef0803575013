package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// maxDatagramBytes bounds a datagram: a hundred engines of 70 bytes each. A larger placement is split.
const maxDatagramBytes = 8 << 10

// datagrams sends and receives placements over UDP. The next report makes up for a lost datagram.
type datagrams struct {
	port int
	// link is the link of this VM; nil is not accounted for.
	link     *vmlink.Link
	sequence atomic.Uint64
	conn     atomic.Pointer[net.UDPConn]
}

// maxNumberBytes is the maximum encoded size of the number of a placement.
const maxNumberBytes = 11

func newDatagrams(port int) *datagrams { return &datagrams{port: port} }

// lastNumber returns the number of the last placement sent.
func (d *datagrams) lastNumber() uint64 { return d.sequence.Load() }

// listen opens the socket on the host of self and passes received placements to onPlacement until ctx ends.
func (d *datagrams) listen(ctx context.Context, self string, onPlacement func(*Placement)) error {
	if d.port == 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(self)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host), Port: d.port})
	if err != nil {
		return err
	}
	d.conn.Store(conn)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go d.receive(conn, onPlacement)
	return nil
}

// receive reads datagrams until the socket is closed. One that can't be decoded is dropped.
func (d *datagrams) receive(conn *net.UDPConn, onPlacement func(*Placement)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		d.link.Received(n)
		p := &Placement{}
		if proto.Unmarshal(buf[:n], p) == nil {
			onPlacement(p)
		}
	}
}

// send sends p to the gateways at addrs, in several datagrams with a number each if it is too large for one.
func (d *datagrams) send(addrs []string, p *Placement) {
	if half := len(p.GetShares()) / 2; half > 0 && proto.Size(p)+maxNumberBytes > maxDatagramBytes {
		remainder := &Placement{Addr: p.GetAddr(), Incarnation: p.GetIncarnation(), Shares: p.GetShares()[half:]}
		p.Shares = p.GetShares()[:half]
		d.send(addrs, p)
		d.send(addrs, remainder)
		return
	}
	conn := d.conn.Load()
	if conn == nil {
		return
	}
	if len(p.GetShares()) > 0 || p.GetCustomerMemory() != nil {
		// A message without either gets no number, since it doesn't make an earlier report of placements
		// outdated.
		p.Number = d.sequence.Add(1)
	}
	data, err := proto.Marshal(p)
	if err != nil {
		// A placement that can't be encoded is dropped; the next report makes up for it.
		return
	}
	for _, addr := range addrs {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			continue
		}
		// Send errors are ignored, as for a datagram lost on the way.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to.Addr(), uint16(d.port)))
		d.link.Sent(len(data))
	}
}
