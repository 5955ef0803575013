package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// maxDatagram bounds a datagram: a hundred engines of 70 bytes each. A larger placement goes in several.
const maxDatagram = 8 << 10

// datagrams sends and receives placements over UDP. A datagram that is lost is made good
// by the next report.
type datagrams struct {
	port   int
	number atomic.Uint64
	conn   atomic.Pointer[net.UDPConn]
}

// maxNumber is the most bytes that the number of a placement adds to it.
const maxNumber = 11

func newDatagrams(port int) *datagrams { return &datagrams{port: port} }

// last is the number of the last placement sent.
func (d *datagrams) last() uint64 { return d.number.Load() }

// listen opens the socket at the address of self and hands what comes to take until ctx
// ends.
func (d *datagrams) listen(ctx context.Context, self string, take func(*Placement)) error {
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
	go receive(conn, take)
	return nil
}

// receive reads datagrams until the socket is closed. One that can't be decoded is
// dropped like one that was lost.
func receive(conn *net.UDPConn, take func(*Placement)) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p := &Placement{}
		if proto.Unmarshal(buf[:n], p) == nil {
			take(p)
		}
	}
}

// send sends p, under the next numbers, to the gateways that listen at addrs.
func (d *datagrams) send(addrs []string, p *Placement) {
	if half := len(p.GetShares()) / 2; half > 0 && proto.Size(p)+maxNumber > maxDatagram {
		rest := &Placement{Addr: p.GetAddr(), Incarnation: p.GetIncarnation(), Shares: p.GetShares()[half:]}
		p.Shares = p.GetShares()[:half]
		d.send(addrs, p)
		d.send(addrs, rest)
		return
	}
	conn := d.conn.Load()
	if conn == nil {
		return
	}
	if len(p.GetShares()) > 0 {
		// What tells no placement has no number: a report that was made before it is no older for it.
		p.Number = d.number.Add(1)
	}
	data, err := proto.Marshal(p)
	if err != nil {
		// A placement that can't be encoded is as good as lost; the next report makes good for it.
		return
	}
	for _, addr := range addrs {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			continue
		}
		// A datagram that can't be sent is as good as lost.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to.Addr(), uint16(d.port)))
	}
}
