package shedding

import "time"

// MaxLinkPause is MaxPause while the link has too much to do for the requests in hand.
const MaxLinkPause = 2 * time.Second

const (
	// maxReading bounds the connections whose first requests are read at the same time while the link has no room:
	// where many are read side by side, none is read in time.
	maxReading = 4
	// maxLateBodies bounds the long bodies that are read more slowly than they come.
	maxLateBodies = 2
	// maxReadTime is the age from which a connection no longer counts as being read: its client sends slowly.
	maxReadTime = 2 * time.Second
	// maxLinkTime bounds the time that the network link needs for the requests in hand, in each direction.
	maxLinkTime = 300 * time.Millisecond
	// unresponsiveLinkTime is the same from which requests are not answered in time.
	unresponsiveLinkTime = time.Second
)

// Work is what a router has in hand when a connection comes.
type Work struct {
	// Reading is the number of accepted connections whose first request is not complete yet.
	Reading int
	// LateBodies is the number of long bodies that are not read as fast as they come.
	LateBodies int
	// SendTime is the time that the network link of the VM needs for what waits to be sent.
	SendTime time.Duration
	// ReceivesFull is set while as much is received as the link bears, ReceiveTime is the time that it needs for the rest of
	// the requests that are being received.
	ReceivesFull bool
	ReceiveTime  time.Duration
}

// linkOverloaded reports whether the link does not bear another request soon.
func (w Work) linkOverloaded() bool {
	return w.SendTime >= maxLinkTime || w.ReceivesFull && (w.Reading >= maxReading || w.ReceiveTime >= maxLinkTime)
}

// readsTooMuch reports whether as many long bodies are being read as the processor can finish in time. Probes do not show it: what
// waits is in the sockets.
func (w Work) readsTooMuch() bool { return w.LateBodies >= maxLateBodies }

// maxPause is the longest time between two connections that are accepted with this work in hand.
func maxPause(w Work) time.Duration {
	if w.linkOverloaded() {
		return MaxLinkPause
	}
	return MaxPause
}

// linkUnresponsive reports whether requests wait so long for the link that they are not answered in time.
func (w Work) linkUnresponsive() bool {
	return w.SendTime >= unresponsiveLinkTime || w.ReceivesFull && w.ReceiveTime >= unresponsiveLinkTime
}

// Reads tracks the connections whose first request is being read. It is not safe for concurrent use.
type Reads struct {
	// open holds the reads in the order in which they began, also some that have ended.
	open []*Read
}

// Read is the reading of the first request of one connection.
type Read struct {
	began time.Time
	ended bool
}

// Begin records that a connection was accepted.
func (r *Reads) Begin(now time.Time) *Read {
	read := &Read{began: now}
	r.open = append(r.open, read)
	return read
}

// End records that the request is complete or the connection closed. It may be called more than once.
func (r *Read) End() { r.ended = true }

// Count returns the number of connections that are being read.
func (r *Reads) Count(now time.Time) int {
	kept := r.open[:0]
	for _, read := range r.open {
		if !read.ended && now.Sub(read.began) < maxReadTime {
			kept = append(kept, read)
		}
	}
	clear(r.open[len(kept):])
	r.open = kept
	return len(kept)
}
