package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// lingerTime is how long a connection stays open after a rejection, so that a client that is still sending can read
// it, and after its last response.
const lingerTime = time.Second

// Errors with which a connection is closed.
var (
	errSlow = merry.Sentinel("request arrives too slowly")
	errIdle = merry.Sentinel("connection idle for too long")
)

// longBodyBytes is the size from which a body is long: it does not come with one read.
const longBodyBytes = readBufferBytes

// lateBodyTime is the age from which a body that is not read as fast as it comes is late.
const lateBodyTime = 200 * time.Millisecond

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// conn sits between nbio and the parser of nbhttp and checks what a connection sends. Parse and the processor run on
// the connection's poller goroutine, which owns all fields after idleTimer.
type conn struct {
	*nbhttp.Parser
	server *Server
	out    *writer
	// ready makes the initialization of a conn happen before its use by the poller: nbio hands connections over
	// through the kernel, which the race detector can't see.
	ready atomic.Bool
	// inProgress counts the requests that have been received but not responded to yet.
	inProgress atomic.Int32
	// received reports that the first request was received, or the connection closed; later calls do nothing.
	received func()
	// expected is the number of bytes of the body that is being received, bodyBegan when that began, in nanoseconds of the Unix
	// epoch. moreWaits is set while the latest read left bytes for the next one.
	expected, bodyBegan atomic.Int64
	moreWaits           atomic.Bool
	// idleTimer closes the connection if it fires while no request is in progress. nbio's own read deadline can't do
	// that: nbhttp sets it when it accepts a connection, sometimes after the first request has begun, and so cuts off
	// a long one.
	idleTimer *time.Timer

	// rejectStatus is the status with which the current request is rejected, or zero.
	rejectStatus int
	// rejected is set once a rejection was sent; later input is dropped.
	rejected bool
	// completed is set if a request ended within the current call of Parse.
	completed bool
	// inBody is set from the end of a request's head to the end of the request.
	inBody bool
	// readTimer closes the connection if a request arrives too slowly; nil while none is arriving.
	readTimer       *time.Timer
	headBytes       int
	headers         int
	contentLengths  int
	expectsContinue bool
	// method, target and fields are the head of the current request, kept only for Options.CheckHead; headChecked is
	// set once that has been called.
	method, target string
	fields         []string
	headChecked    bool
}

func newConn(s *Server, raw *nbio.Conn, p *nbhttp.Parser, received func()) *conn {
	c := &conn{Parser: p, server: s, received: sync.OnceFunc(received)}
	c.out = newWriter(p.Conn, raw, s.opts)
	p.Conn = c.out
	p.Processor = &processor{Processor: p.Processor, conn: c}
	execute := p.Execute
	p.Execute = func(f func()) bool {
		c.inProgress.Add(1)
		ok := execute(func() {
			defer c.requestDone()
			f()
		})
		if !ok {
			c.requestDone()
		}
		return ok
	}
	c.idleTimer = time.AfterFunc(s.opts.IdleTimeout, c.closeIfIdle)
	c.ready.Store(true)
	return c
}

func (c *conn) requestDone() {
	if c.inProgress.Add(-1) == 0 {
		c.idleTimer.Reset(c.server.opts.IdleTimeout)
	}
}

func (c *conn) closeIfIdle() {
	if c.inProgress.Load() == 0 {
		_ = c.out.raw.CloseWithError(errIdle)
	}
}

// busy reports whether a response is being produced or sent.
func (c *conn) busy() bool {
	if closed, _ := c.out.raw.IsClosed(); closed {
		return false
	}
	return c.inProgress.Load() > 0 || c.out.pending.Load() > 0
}

// Parse implements nbhttp.ParserCloser.
func (c *conn) Parse(data []byte) error {
	if !c.ready.Load() {
		return nil
	}
	c.server.opts.Link.Received(len(data))
	c.moreWaits.Store(len(data) >= readBufferBytes)
	if c.rejected {
		return nil
	}
	c.completed = false
	err := c.Parser.Parse(data)
	switch {
	case c.rejectStatus != 0:
		c.reject(c.rejectStatus)
	case errors.Is(err, net.ErrClosed):
		return err
	case errors.Is(err, nbhttp.ErrTooLong):
		c.reject(http.StatusRequestEntityTooLarge)
	case err != nil:
		c.reject(http.StatusBadRequest)
	default:
		c.enforceLimits(len(data))
	}
	return nil
}

// enforceLimits bounds the size of an incomplete head and the time for a request to arrive.
func (c *conn) enforceLimits(n int) {
	if c.completed {
		c.headBytes = 0
		return
	}
	if !c.inBody {
		c.headBytes += n
		if c.headBytes > c.server.opts.MaxHeaderBytes {
			c.reject(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
	}
	if c.inBody && c.server.opts.CheckHead != nil && !c.headChecked {
		c.headChecked = true
		if status := c.server.opts.CheckHead(c.head()); status != 0 {
			c.reject(status)
			return
		}
	}
	if c.readTimer == nil && c.inProgress.Load() == 0 {
		c.readTimer = time.AfterFunc(c.server.opts.ReadTimeout, func() { _ = c.out.raw.CloseWithError(errSlow) })
	}
}

// expect records the number of bytes of the body that is being received.
func (c *conn) expect(n int64) {
	if n == c.expected.Load() {
		return
	}
	c.bodyBegan.Store(time.Now().UnixNano())
	before := c.expected.Swap(n)
	c.server.opts.Link.Expect(n - before)
	if isLong := n > longBodyBytes; isLong != (before > longBodyBytes) {
		if isLong {
			c.server.longBodies.Add(1)
			return
		}
		c.server.longBodies.Add(-1)
	}
}

// isBodyLate reports whether a long body has been coming for some time, and more of it waits to be read.
func (c *conn) isBodyLate(now time.Time) bool {
	return c.expected.Load() > longBodyBytes && c.moreWaits.Load() && now.UnixNano()-c.bodyBegan.Load() >= lateBodyTime.Nanoseconds()
}

// head returns the current request without its body.
func (c *conn) head() *http.Request {
	r := &http.Request{Method: c.method, RequestURI: c.target, Header: make(http.Header, len(c.fields)/2)}
	for i := 0; i+1 < len(c.fields); i += 2 {
		r.Header.Add(c.fields[i], c.fields[i+1])
	}
	r.Host = r.Header.Get("Host")
	if u, err := url.ParseRequestURI(c.target); err == nil {
		r.URL = u
	} else {
		r.URL = &url.URL{}
	}
	return r
}

// reject responds to a request that the handler never receives. While another response is in progress on the
// connection nothing can be sent in between; the connection then closes once it has been idle.
func (c *conn) reject(status int) {
	c.rejected = true
	c.received()
	if c.inProgress.Load() > 0 {
		return
	}
	headers, body := c.server.opts.Rejection(status)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(body))
	_ = headers.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	c.out.writeNow(b.Bytes())
	time.AfterFunc(lingerTime, func() { _ = c.out.raw.Close() })
}

// processor checks the parts of a request before nbhttp processes them.
type processor struct {
	nbhttp.Processor
	conn *conn
}

func (p *processor) reject(status int) {
	if p.conn.rejectStatus == 0 {
		p.conn.rejectStatus = status
	}
}

// OnMethod implements nbhttp.Processor.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	c := p.conn
	c.headers, c.contentLengths, c.expectsContinue = 0, 0, false
	c.method, c.fields, c.headChecked = method, c.fields[:0], false
	p.Processor.OnMethod(parser, method)
}

// OnURL implements nbhttp.Processor.
func (p *processor) OnURL(parser *nbhttp.Parser, target string) error {
	p.conn.target = target
	return p.Processor.OnURL(parser, target)
}

// OnHeader implements nbhttp.Processor.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	c := p.conn
	c.headers++
	if c.headers > c.server.opts.MaxHeaders {
		p.reject(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	switch key {
	case "Content-Length":
		// A load balancer in front could choose the other of two lengths (request smuggling).
		if c.contentLengths++; c.contentLengths > 1 {
			p.reject(http.StatusBadRequest)
		}
	case "Expect":
		c.expectsContinue = strings.EqualFold(strings.TrimSpace(value), "100-continue")
	}
	if c.server.opts.CheckHead != nil {
		c.fields = append(c.fields, key, value)
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor; nbhttp calls it at the end of the head.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	c := p.conn
	c.inBody = true
	if length > c.server.opts.MaxBody {
		p.reject(http.StatusRequestEntityTooLarge)
	} else if length > 0 {
		c.expect(int64(length))
	}
	if c.expectsContinue && c.server.opts.CheckHead != nil && !c.headChecked {
		c.headChecked = true
		if status := c.server.opts.CheckHead(c.head()); status != 0 {
			p.reject(status)
		}
	}
	if c.expectsContinue && c.rejectStatus == 0 && length != 0 && c.inProgress.Load() == 0 {
		c.out.writeNow([]byte(continueLine))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnComplete implements nbhttp.Processor.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	c := p.conn
	c.inBody, c.completed = false, true
	c.received()
	c.expect(0)
	if c.readTimer != nil {
		c.readTimer.Stop()
		c.readTimer = nil
	}
	if c.rejectStatus != 0 {
		p.Clean(parser)
		return
	}
	p.Processor.OnComplete(parser)
}
