package simnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one endpoint of a connection.
type conn struct {
	local, remote *Host
	in, out       *stream
}

func pipe(a, b *Host) (net.Conn, net.Conn) {
	forward, backward := newStream(a, b), newStream(b, a)
	return &conn{local: a, remote: b, in: backward, out: forward}, &conn{local: b, remote: a, in: forward, out: backward}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n := min(packet, len(p)-written)
		if err := c.out.write(p[written : written+n]); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// Close implements net.Conn. Data in flight is lost.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local.addr) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote.addr) }

// SetDeadline implements net.Conn; only reads honour the deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; writes have no deadline.
func (*conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection.
type stream struct {
	from, to *Host

	mu       sync.Mutex
	changed  *sync.Cond
	arrived  []byte
	inFlight int
	closed   bool
	// deadline is the time after which reads fail; zero means never.
	deadline time.Time
}

func newStream(from, to *Host) *stream {
	s := &stream{from: from, to: to}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// write sends one packet, once the window has free space.
func (s *stream) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inFlight >= window && !s.closed {
		s.changed.Wait()
	}
	if s.closed {
		return errClosed
	}
	data := append([]byte(nil), p...)
	s.inFlight += len(data)
	time.AfterFunc(s.transmit(len(data)), func() { s.arrive(data) })
	return nil
}

// transmit reserves the links of both hosts for n bytes and returns the time until they are delivered.
func (s *stream) transmit(n int) time.Duration {
	network := s.from.network
	network.mu.Lock()
	defer network.mu.Unlock()
	now := time.Now()
	s.from.outFree = s.from.reserve(s.from.outFree, now, n)
	s.to.inFree = s.to.reserve(s.to.inFree, s.from.outFree, n)
	s.to.received += n
	return s.to.inFree.Sub(now) + delay
}

func (s *stream) arrive(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived = append(s.arrived, data...)
	s.inFlight -= len(data)
	s.changed.Broadcast()
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.arrived) == 0 && !s.closed && !s.overdue() {
		s.changed.Wait()
	}
	switch {
	case s.closed:
		return 0, io.EOF
	case s.overdue():
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, s.arrived)
	s.arrived = s.arrived[n:]
	return n, nil
}

// overdue reports whether the read deadline has passed. The caller holds mu.
func (s *stream) overdue() bool { return !s.deadline.IsZero() && !time.Now().Before(s.deadline) }

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.changed.Broadcast()
	if wait := time.Until(t); wait > 0 {
		time.AfterFunc(wait, s.changed.Broadcast)
	}
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}
