// Package vmlink accounts for the network link of this VM, which all of its connections share: what is sent beyond the rate of the
// link waits in one queue, small messages behind large ones.
//
// The queue is not visible to a process. It is estimated from the rate that the platform states and from what this process
// sends.
package vmlink

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

// burstTime is how much the link sends within the time in which its queue counts as empty.
const burstTime = 10 * time.Millisecond

// minBurstBytes bounds the burst of slow links from below: some packets.
const minBurstBytes = 8 << 10

// Link is the network link of this VM. It is safe for concurrent use. A nil Link has no limit and counts nothing.
type Link struct {
	bytesPerSecond float64
	// outgoing has a token for each byte that the link can send at once; it is in debt while bytes wait.
	outgoing       *rate.Limiter
	sent, received atomic.Int64
}

// New returns a link of a rate in bytes per second, in each direction. Zero means that the rate is not known, and that nothing
// ever waits.
func New(bytesPerSecond float64) *Link {
	l := &Link{bytesPerSecond: bytesPerSecond, outgoing: rate.NewLimiter(rate.Inf, 0)}
	if bytesPerSecond > 0 {
		burst := max(int(bytesPerSecond*burstTime.Seconds()), minBurstBytes)
		l.outgoing = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return l
}

// Sent records that n bytes were given to the link.
func (l *Link) Sent(n int) {
	if l == nil || n <= 0 {
		return
	}
	l.sent.Add(int64(n))
	l.reserve(n)
}

// Received records that n bytes came over the link.
func (l *Link) Received(n int) {
	if l == nil || n <= 0 {
		return
	}
	l.received.Add(int64(n))
}

// reserve takes the tokens of n bytes. A reservation is for at most one burst.
func (l *Link) reserve(n int) {
	if l.bytesPerSecond == 0 {
		return
	}
	now := time.Now()
	for n > 0 {
		part := min(n, l.outgoing.Burst())
		l.outgoing.ReserveN(now, part)
		n -= part
	}
}

// Wait returns how long a byte that is sent now waits for the link, as far as it is estimated.
func (l *Link) Wait() time.Duration {
	if l == nil || l.bytesPerSecond == 0 {
		return 0
	}
	debt := max(-l.outgoing.Tokens(), 0)
	return time.Duration(debt / l.bytesPerSecond * float64(time.Second))
}

// BytesPerSecond returns the rate of the link, or zero if it is not known.
func (l *Link) BytesPerSecond() float64 {
	if l == nil {
		return 0
	}
	return l.bytesPerSecond
}

// BytesSent returns the number of bytes sent so far.
func (l *Link) BytesSent() int64 {
	if l == nil {
		return 0
	}
	return l.sent.Load()
}

// BytesReceived returns the number of bytes received so far.
func (l *Link) BytesReceived() int64 {
	if l == nil {
		return 0
	}
	return l.received.Load()
}

// Conn returns c with its bytes recorded.
func (l *Link) Conn(c net.Conn) net.Conn {
	if l == nil {
		return c
	}
	counted := &countedConn{Conn: c, link: l}
	if raw, ok := c.(syscall.Conn); ok {
		return &countedSocket{countedConn: counted, raw: raw}
	}
	return counted
}

// countedConn records the bytes of a connection.
type countedConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.Sent(n)
	return n, err
}

// countedSocket is a countedConn of which the socket can be reached.
type countedSocket struct {
	*countedConn
	raw syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *countedSocket) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Listener returns l with the bytes of all its connections recorded.
func (l *Link) Listener(lis net.Listener) net.Listener {
	return &countedListener{Listener: lis, link: l}
}

type countedListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}
