package httpserver

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

const (
	// lingerTime is how long a connection stays open after a rejection, and after its last response, so that the client can read it;
	// after a rejection from the last bytes on that it sent.
	lingerTime = time.Second
	// maxLingerTime bounds that time for a client that goes on to send after a rejection.
	maxLingerTime = 5 * time.Second
	// maxHopelessBytes bounds what is read of a request over the limits once it was rejected.
	maxHopelessBytes = 256 << 10
	// retryUnit is the precision of the Retry-After header.
	retryUnit = 10 * time.Millisecond
	// maxRequestsAhead is the number of requests that a client may have sent on a connection without a response.
	maxRequestsAhead = 100
)

// reject responds to a request that the handler never receives. While another response is in progress on the
// connection nothing can be sent in between; the connection then closes after it.
func (c *conn) reject(status int) {
	c.rejected = true
	c.discardable = maxHopelessBytes
	if status == http.StatusServiceUnavailable {
		// A client that reads only once it has sent its request learns that it has not run.
		c.discardable = max(c.limits.BodyBytes, maxHopelessBytes)
	}
	c.received()
	if c.retryAfter > 0 {
		c.retryAfter = c.server.opts.RetryAfter(c.head(), c.retryAfter)
	}
	c.dropRequest()
	c.ended.Store(true)
	if c.inProgress.Load() > 0 || !c.answered.CompareAndSwap(false, true) {
		return
	}
	c.out.writeNow(c.server.rejection(status, c.retryAfter))
	c.lingerEnd = time.Now().Add(maxLingerTime)
	c.lingerTimer = time.AfterFunc(lingerTime, c.closeNow)
}

func (c *conn) closeNow() { _ = c.out.raw.Close() }

// dropRequest frees what was received of a request that is not handed over.
func (c *conn) dropRequest() {
	c.processor.Clean(c.parser)
	c.renewParser()
	c.claim.Release()
	c.expect(0)
	c.arriving.Store(false)
	c.hasBody, c.inBody, c.bodyBegun, c.body, c.fields = false, false, false, bodyDecoder{}, nil
	if c.readTimer != nil {
		c.readTimer.Stop()
		c.readTimer = nil
	}
}

// discard drops bytes that arrive after a rejection. A client that sends on for too long can't read it any more: its connection is
// reset, once its earlier requests were responded to.
func (c *conn) discard(n int) {
	if c.inProgress.Load() > 0 {
		return
	}
	if c.discardable -= n; c.discardable < 0 {
		c.closeNow()
		return
	}
	if c.lingerTimer != nil {
		c.lingerTimer.Reset(min(lingerTime, time.Until(c.lingerEnd)))
	}
}

// evict ends a request that must give way to others. It may be called by any goroutine: the poller that owns the request receives
// nothing of it meanwhile.
func (c *conn) evict() {
	if c.answered.CompareAndSwap(false, true) {
		c.out.writeNow(c.server.rejection(http.StatusRequestTimeout, 0))
	}
	_ = c.out.raw.CloseWithError(errGaveWay)
}

// ReasonOf returns the reason for which a server rejects a request by itself with a status.
func ReasonOf(status int) outcome.Reason {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return outcome.BodyTooLarge
	case http.StatusRequestHeaderFieldsTooLarge:
		return outcome.HeadersTooLarge
	case http.StatusServiceUnavailable:
		return outcome.MemoryShort
	case http.StatusRequestTimeout:
		return outcome.RequestStalled
	default:
		return outcome.BadRequest
	}
}

// rejection returns the bytes of a response that no handler makes.
func (s *Server) rejection(status int, retryAfter time.Duration) []byte {
	headers, body := s.opts.Rejection(status)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(body))
	if retryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(retryAfter.Round(retryUnit).Seconds(), 'f', -1, 64))
	}
	_ = headers.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
