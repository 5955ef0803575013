package capacity

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// headerBytes are the IPv4 and TCP headers of one segment with the timestamp option.
const headerBytes = 20 + 20 + 12

// segments counts TCP segments by the kernel's counters for one end of each connection,
// pure acknowledgements included. It is safe for concurrent use.
type segments struct {
	mu    sync.Mutex
	conns []*net.TCPConn
}

// add includes a connection in the counts.
func (s *segments) add(c net.Conn) {
	for {
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = inner.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns = append(s.conns, tcp)
	}
}

// count returns the segments sent and received by this end. Connections that have
// closed are left out.
func (s *segments) count() (sent, received float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		info, err := tcpInfo(c)
		if err != nil {
			continue
		}
		sent += float64(info.Segs_out)
		received += float64(info.Segs_in)
	}
	return sent, received
}

// established is the kernel's state number of an established connection.
const established = 1

// connections returns the number of established connections.
func (s *segments) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if info, err := tcpInfo(c); err == nil && info.State == established {
			n++
		}
	}
	return n
}

func tcpInfo(c syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var opErr error
	err = raw.Control(func(fd uintptr) {
		info, opErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, opErr
}

// listener counts the segments of the connections that it accepts.
type listener struct {
	net.Listener
	segs *segments
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.segs.add(c)
	}
	return c, err
}

// listen returns a listener at a free port of loopback, with TLS when conf is set.
func listen(segs *segments, conf *tls.Config) (net.Listener, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := net.Listener(listener{inner, segs})
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	return l, nil
}
