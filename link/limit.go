package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// copiesPerByte is how much memory a byte of an incomplete message takes: drpc doubles its buffer when it is full, and copies
// the data of a frame.
const copiesPerByte = 3

var errNoMemory = merry.Sentinel("no memory for the rest of a message")

// Limits bound what the other ends of connections to a listener can make this process hold. The zero value bounds nothing.
type Limits struct {
	// Conns is the number of open connections beyond which the one that is silent for longest is closed for a new one.
	Conns int
	// Memory is that of this VM, of which incomplete messages take a part.
	Memory *vmmemory.Memory
}

// Listener returns lis with the limits applied to its connections.
func (l Limits) Listener(lis net.Listener) net.Listener {
	if l.Conns == 0 && l.Memory == nil {
		return lis
	}
	return &limitedListener{Listener: lis, limits: l, conns: map[*limitedConn]struct{}{}}
}

type limitedListener struct {
	net.Listener
	limits Limits

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: inner, listener: l}
	c.claim = l.limits.Memory.NewClaim(func() { _ = inner.Close() })
	c.active.Store(int64(time.Since(started)))
	if victim := l.add(c); victim != nil {
		_ = victim.Close()
	}
	return c, nil
}

// add adds a connection, and returns one to be closed if there are too many.
func (l *limitedListener) add(c *limitedConn) (victim *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if l.limits.Conns == 0 || len(l.conns) <= l.limits.Conns {
		return nil
	}
	for other := range l.conns {
		if other != c && (victim == nil || other.active.Load() < victim.active.Load()) {
			victim = other
		}
	}
	return victim
}

func (l *limitedListener) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// started is a time from which others are counted.
var started = time.Now()

// limitedConn takes memory for the message that it is receiving.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	// active is when bytes were last received, in nanoseconds since started.
	active atomic.Int64
	claim  *vmmemory.Claim
	// frames belongs to the reader.
	frames frameMeter
	// claimed is set while the claim takes memory.
	claimed bool
}

// NetConn returns the wrapped connection, like tls.Conn.NetConn.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.active.Store(int64(time.Since(started)))
	c.frames.add(p[:n])
	switch held := c.frames.held(); {
	case held > 0:
		c.claimed = true
		if _, ok := c.claim.Reserve(copiesPerByte*held, 0, false); !ok {
			_ = c.Close()
			return 0, errNoMemory
		}
		c.claim.Received(n)
	case c.claimed:
		c.claimed = false
		c.claim.Release()
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	c.claim.Release()
	return c.Conn.Close()
}

// Fields of the head of a drpc frame: a byte of flags, then three numbers in base 128, the last of which is the length of the data.
const (
	frameFlags = iota
	frameStream
	frameMessage
	frameLength
	frameData
)

const (
	// frameDone is the flag of the last frame of a message.
	frameDone = 1
	// moreDigits is the bit of a digit that others follow, digitBits the number of the other bits.
	moreDigits, digitBits = 0x80, 7
	// maxShift is that of the last digit of a number of 64 bits.
	maxShift = 63
)

// frameMeter counts the bytes of a message of which frames are still to come.
type frameMeter struct {
	field int
	done  bool
	// length is that of the data of the current frame, of which left bytes are to come; shift is that of its next digit.
	length, left uint64
	shift        uint
	// message is the number of bytes of the frames before.
	message int64
}

// held returns the number of bytes that have come of an incomplete message.
func (m *frameMeter) held() int64 {
	if m.field == frameData {
		return m.message + int64(m.length-m.left)
	}
	return m.message
}

// add takes the next bytes of a connection.
func (m *frameMeter) add(data []byte) {
	for len(data) > 0 {
		if m.field == frameData {
			n := min(m.left, uint64(len(data)))
			data = data[n:]
			m.left -= n
			m.endFrame()
			continue
		}
		m.headByte(data[0])
		data = data[1:]
	}
}

// headByte takes a byte of the head of a frame.
func (m *frameMeter) headByte(b byte) {
	if m.field == frameFlags {
		m.done, m.length, m.shift = b&frameDone > 0, 0, 0
		m.field++
		return
	}
	if m.field == frameLength && m.shift <= maxShift {
		m.length |= uint64(b&^moreDigits) << m.shift
		m.shift += digitBits
	}
	if b&moreDigits > 0 {
		return
	}
	m.field++
	m.left = m.length
	m.endFrame()
}

// endFrame begins the next frame if all data of the current one has come.
func (m *frameMeter) endFrame() {
	if m.field != frameData || m.left > 0 {
		return
	}
	m.field = frameFlags
	m.message += int64(m.length)
	if m.done {
		m.message = 0
	}
}
