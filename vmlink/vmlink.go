// Package vmlink accounts for the network link of this VM, which all of its connections share: what is sent beyond the rate of the
// link waits in one queue, small messages behind large ones.
//
// The queue is not visible to a process. It is estimated from the rate that the platform states and from what this process
// sends. Long messages are sent in pieces, and each piece once the link has room, so that small ones pass them.
package vmlink

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

const (
	// burstTime is the time for which the link may send ahead: a queue that is shorter counts as none.
	burstTime = 10 * time.Millisecond
	// minBurstBytes bounds the burst of slow links from below: some packets.
	minBurstBytes = 8 << 10
	// usableShare is the share of the link's rate that is used: the rest is for handshakes and what is sent again.
	usableShare = 0.95
	// packetBytes is the payload of a full packet, headerBytes what a packet has besides, as an acknowledgement does.
	packetBytes, headerBytes = 1448, 66
	// LongBytes is the size from which a message counts as long, pieceBytes that of the pieces in which it is sent.
	LongBytes  = 2 << 10
	pieceBytes = 4 << 10
	// maxWait bounds the estimated queue of the link.
	maxWait = 500 * time.Millisecond
	// fullShare is the share of its rate from which a link has hardly any room: small messages wait behind bursts.
	fullShare = 0.75
)

// ErrTooLate means that a message is not sent to its end, since its context ends before the link has room.
var ErrTooLate = errors.New("no room on the network link in time")

// Link is the network link of this VM. It is safe for concurrent use. A nil Link has no limit and counts nothing.
type Link struct {
	bytesPerSecond float64
	// outgoing has a token for each byte that the link can send at once; it is in debt while bytes wait.
	outgoing       *rate.Limiter
	sent, received atomic.Int64
	// unsent is the number of bytes of long messages that wait to be sent, expected that of requests that are being received.
	unsent, expected atomic.Int64
	incoming         arrivals
}

// New returns a link of a rate in bytes per second, in each direction. Zero means that the rate is not known, and that nothing
// ever waits.
func New(bytesPerSecond float64) *Link {
	l := &Link{bytesPerSecond: bytesPerSecond, outgoing: rate.NewLimiter(rate.Inf, 0)}
	if bytesPerSecond > 0 {
		burst := max(int(bytesPerSecond*burstTime.Seconds()), minBurstBytes)
		l.outgoing = rate.NewLimiter(rate.Limit(usableShare*bytesPerSecond), burst)
	}
	return l
}

// isUnlimited reports whether nothing ever waits for the link.
func (l *Link) isUnlimited() bool { return l == nil || l.bytesPerSecond == 0 }

// Sent records that n bytes were given to the link.
func (l *Link) Sent(n int) {
	if l == nil || n <= 0 {
		return
	}
	l.sent.Add(int64(n))
	l.reserve(n + headers(n))
}

// Received records that n bytes came over the link.
func (l *Link) Received(n int) {
	if l == nil || n <= 0 {
		return
	}
	l.received.Add(int64(n))
	l.incoming.add(n+headers(n), time.Now())
	l.reserve(headers(n))
}

// Expect records that n more bytes of requests are to come; fewer if n is negative.
func (l *Link) Expect(n int64) {
	if l == nil {
		return
	}
	l.expected.Add(n)
}

// headers returns the bytes of the headers of n bytes in one message, or of their acknowledgements.
func headers(n int) int { return headerBytes * ((n + packetBytes - 1) / packetBytes) }

// reserve takes the tokens of n bytes. A reservation is for at most one burst. What would wait for longer than maxWait is taken for lost:
// the queue of a link is bounded, and datagrams beyond it are dropped.
func (l *Link) reserve(n int) {
	if l.isUnlimited() {
		return
	}
	now := time.Now()
	for n > 0 && l.Wait() < maxWait {
		part := min(n, l.outgoing.Burst())
		l.outgoing.ReserveN(now, part)
		n -= part
	}
}

// Wait returns how long a byte that is sent now waits for the link, as far as it is estimated.
func (l *Link) Wait() time.Duration {
	if l.isUnlimited() {
		return 0
	}
	return l.duration(max(-l.outgoing.Tokens(), 0))
}

// SendTime returns how long the link needs for what waits to be sent.
func (l *Link) SendTime() time.Duration {
	if l.isUnlimited() {
		return 0
	}
	return l.Wait() + l.duration(float64(l.unsent.Load()))
}

// ReceivesFull reports whether the link has hardly any room to receive.
func (l *Link) ReceivesFull() bool {
	if l.isUnlimited() {
		return false
	}
	return l.incoming.rate(time.Now()) >= fullShare*l.bytesPerSecond
}

// ReceiveTime returns how long the link needs at least for the requests that are being received.
func (l *Link) ReceiveTime() time.Duration {
	if l.isUnlimited() {
		return 0
	}
	return l.duration(float64(l.expected.Load()))
}

// duration is the time that the link needs for some bytes.
func (l *Link) duration(bytes float64) time.Duration {
	return bounded.Seconds(bytes / float64(l.outgoing.Limit()))
}

// WriteLong writes a long message to a connection of the link, in pieces. It blocks until the link has had room for all of
// them, or until ctx ends.
func (l *Link) WriteLong(ctx context.Context, c net.Conn, message []byte) error {
	if l.isUnlimited() {
		_, err := c.Write(message)
		return err
	}
	if counted, ok := c.(interface{ uncounted() net.Conn }); ok {
		c = counted.uncounted()
	}
	l.unsent.Add(int64(len(message)))
	for len(message) > 0 {
		piece := message[:min(len(message), pieceBytes)]
		if err := l.writePiece(ctx, c, piece); err != nil {
			l.unsent.Add(-int64(len(message)))
			return err
		}
		l.unsent.Add(-int64(len(piece)))
		message = message[len(piece):]
	}
	return nil
}

func (l *Link) writePiece(ctx context.Context, c net.Conn, piece []byte) error {
	if err := l.outgoing.WaitN(ctx, len(piece)+headers(len(piece))); err != nil {
		return errors.Join(ErrTooLate, err)
	}
	n, err := c.Write(piece)
	l.sent.Add(int64(n))
	return err
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
