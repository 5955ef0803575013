package httpserver

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

const (
	// requestBytes is what a request takes besides its bytes, until it was responded to: its parsed head and its handler.
	requestBytes = 4 << 10
	// maxHeadTail is the number of bytes of a head after which it may end with the next one.
	maxHeadTail = 3
)

var (
	headEnd  = []byte("\r\n\r\n")
	lineFold = []byte("\n ")
)

// Parse implements nbhttp.ParserCloser.
func (c *conn) Parse(data []byte) error {
	if !c.ready.Load() {
		return nil
	}
	c.server.opts.Link.Received(len(data))
	c.moreWaits.Store(len(data) >= readBufferBytes)
	c.active.Store(monotonic())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected {
		c.discard(len(data))
		return nil
	}
	c.completed = false
	err := c.receive(data)
	switch {
	case c.rejected:
	case c.rejectStatus != 0:
		c.reject(c.rejectStatus)
	case errors.Is(err, net.ErrClosed):
		return err
	case err != nil:
		c.reject(statusOf(err))
	default:
		c.enforceLimits(len(data))
	}
	return nil
}

// receive takes heads and bodies from data. nbhttp's parser gets only the heads: it would copy a body with each piece that arrives.
func (c *conn) receive(data []byte) error {
	for len(data) > 0 && c.rejectStatus == 0 && !c.rejected {
		take := c.receiveHead
		if c.inBody {
			take = c.receiveBody
		}
		used, err := take(data)
		if err != nil {
			return err
		}
		data = data[used:]
	}
	return nil
}

// receiveHead passes data up to the end of the current head to the parser.
func (c *conn) receiveHead(data []byte) (used int, err error) {
	end, err := c.endOfHead(data)
	if err != nil {
		return 0, err
	}
	part, ended := data, end >= 0
	if ended {
		part = data[:end]
	}
	if c.headBytes == 0 {
		c.limits = c.server.limits()
	}
	if c.headBytes += len(part); c.headBytes > 2*c.limits.HeaderBytes {
		c.rejectStatus = http.StatusRequestHeaderFieldsTooLarge
		return 0, nil
	}
	completed := c.completed
	c.completed = false
	if err := c.parser.Parse(part); err != nil {
		return 0, err
	}
	c.inBody = ended && c.hasBody
	if !c.completed && !c.inBody && c.headTooLong() {
		c.rejectStatus = http.StatusRequestHeaderFieldsTooLarge
		return 0, nil
	}
	if c.completed || c.inBody {
		c.headTail = [maxHeadTail]byte{}
	}
	if c.completed {
		c.headBytes = 0
	}
	c.completed = c.completed || completed
	return len(part), nil
}

// headTooLong reports whether the head is over its bound. Until its first line has come, only that is.
func (c *conn) headTooLong() bool {
	return c.headBytes-c.lineBytes > c.limits.HeaderBytes || c.lineBytes > c.limits.HeaderBytes
}

// endOfHead returns the number of bytes after which the head ends, or -1. It keeps the last bytes for the next call. A header
// continued on the next line is an error: the parser would take one for the end of the head.
func (c *conn) endOfHead(data []byte) (int, error) {
	var seam [2 * maxHeadTail]byte
	copy(seam[:], c.headTail[:])
	n := maxHeadTail + copy(seam[maxHeadTail:], data)
	end := -1
	if i := bytes.Index(seam[:n], headEnd); i >= 0 {
		end = i + len(headEnd) - maxHeadTail
	} else if i := bytes.Index(data, headEnd); i >= 0 {
		end = i + len(headEnd)
	}
	head, headSeam := data, seam[:n]
	if end >= 0 {
		head, headSeam = data[:end], seam[:min(n, maxHeadTail+end)]
	}
	if bytes.Contains(headSeam, lineFold) || bytes.Contains(head, lineFold) {
		return 0, errLineFold
	}
	if len(data) >= maxHeadTail {
		copy(c.headTail[:], data[len(data)-maxHeadTail:])
	} else {
		copy(c.headTail[:], seam[n-maxHeadTail:n])
	}
	return end, nil
}

// receiveBody takes bytes of the current body. Once it is whole, a new parser takes the next request, since the current one still
// expects the body.
func (c *conn) receiveBody(data []byte) (used int, err error) {
	if !c.bodyBegun {
		if !c.chunked && c.length <= int64(len(data)) {
			return c.receiveWhole(data[:c.length])
		}
		c.bodyBegun = true
		c.body = newBodyDecoder(c.length, c.chunked, int64(c.limits.BodyBytes), c.limits.HeaderBytes)
	}
	body, used, err := c.body.decode(data)
	if err != nil {
		return 0, err
	}
	if err := c.processor.OnBody(c.parser, body); err != nil {
		return 0, err
	}
	if c.body.whole() {
		c.processor.OnComplete(c.parser)
		c.renewParser()
		c.bodyBegun, c.body, c.headBytes = false, bodyDecoder{}, 0
	}
	return used, nil
}

// receiveWhole passes a body that has come at once to the parser, which copies it once.
func (c *conn) receiveWhole(body []byte) (used int, err error) {
	c.body.taken = c.length
	err = c.parser.Parse(body)
	c.body, c.headBytes = bodyDecoder{}, 0
	return len(body), err
}

// renewParser replaces the parser by one that has received nothing.
func (c *conn) renewParser() {
	c.parser = nbhttp.NewParser(c.out, c.server.engine, c.processor, false, c.execute)
	if inner, ok := c.out.Conn.(*nbhttp.Conn); ok {
		inner.Parser = c.parser
	}
}

// takeRoom takes memory for a request that was received whole, until it is responded to. If there is none, the request is rejected.
func (c *conn) takeRoom() bool {
	if c.inProgress.Load() >= maxRequestsAhead {
		c.rejectStatus = http.StatusTooManyRequests
		c.server.overrun.Add(1)
		return false
	}
	if c.claimed {
		c.claimed = false
		room, ok := c.claim.Complete()
		c.charged = room
		c.rejected = c.rejected || !ok
		return ok
	}
	size := requestBytes + int64(c.headBytes) + c.body.taken
	room, retryAfter, ok := c.server.opts.Memory.Take(size, c.inProgress.Load() > 0)
	if !ok {
		c.rejectStatus, c.retryAfter = http.StatusServiceUnavailable, retryAfter
	}
	c.charged = room
	return ok
}

// enforceLimits bounds the memory and the time for a request to arrive, of which n bytes have just come.
func (c *conn) enforceLimits(n int) {
	if !c.inBody && c.headBytes == 0 {
		return
	}
	if c.inBody && !c.checkHead() || !c.reserve() {
		c.reject(c.rejectStatus)
		return
	}
	c.claim.Received(n)
	c.arriving.Store(true)
	c.limitTime()
}

// limitTime closes the connection if the rest of the request takes too long. Time is not counted while another response is in
// progress.
func (c *conn) limitTime() {
	timeout := c.limits.HeaderTimeout
	if c.inBody {
		timeout = c.server.opts.ReadTimeout
	}
	switch {
	case c.readTimer == nil:
		c.timesBody = c.inBody
		c.readTimer = time.AfterFunc(timeout, func() { c.closeIfSlow(timeout) })
	case c.inBody && !c.timesBody:
		c.timesBody = true
		c.readTimer.Stop()
		c.readTimer = time.AfterFunc(timeout, func() { c.closeIfSlow(timeout) })
	}
}

// closeIfSlow is called once a request has taken too long to arrive.
func (c *conn) closeIfSlow(timeout time.Duration) {
	if c.inProgress.Load() == 0 {
		_ = c.out.raw.CloseWithError(errSlow)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readTimer != nil {
		c.readTimer.Reset(timeout)
	}
}

// checkHead checks the head of a request whose body is not whole yet, once.
func (c *conn) checkHead() bool {
	if c.server.opts.CheckHead == nil || c.headChecked {
		return true
	}
	c.headChecked = true
	c.rejectStatus = c.server.opts.CheckHead(c.head())
	return c.rejectStatus == 0
}

// reserve reserves memory for a request that is not whole yet: for all of an announced body, otherwise for what has come.
func (c *conn) reserve() bool {
	size, length := int64(c.headBytes), int64(0)
	if c.hasBody {
		size += requestBytes + max(c.length, c.body.taken)
		if !c.chunked {
			length = int64(c.headBytes) + c.length
		}
	}
	retryAfter, ok := c.claim.Reserve(size, length, c.inProgress.Load() > 0)
	c.claimed = true
	if !ok {
		c.rejectStatus, c.retryAfter = http.StatusServiceUnavailable, retryAfter
	}
	return ok
}

// answerExpectation responds to a client that waits for leave to send its body.
func (c *conn) answerExpectation() {
	if c.checkHead() && c.reserve() && c.inProgress.Load() == 0 {
		c.out.writeNow([]byte(continueLine))
	}
}
