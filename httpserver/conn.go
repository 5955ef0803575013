package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// linger is how long a connection stays open after a refusal, so that a caller
// that is still sending reads it, or after its last answer.
const linger = time.Second

// Errors with which a connection is closed.
var (
	errSlow = merry.Sentinel("request arrives too slowly")
	errIdle = merry.Sentinel("connection idle for too long")
)

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// conn watches what a connection sends and stands between nbio and the parser of
// nbhttp. Parse and the processor run on the connection's poller goroutine, which
// owns all fields without a comment.
type conn struct {
	*nbhttp.Parser
	server *Server
	out    *writer
	// ready orders the making of a conn before its use by the poller; nbio hands
	// connections over through the kernel, which the race detector can't see.
	ready atomic.Bool
	// handling counts the requests that are read but not answered yet.
	handling atomic.Int32
	// idle closes the connection when it fires while nothing is handled. nbio's own
	// read deadline can't do it: nbhttp sets it when a connection is accepted, at
	// times after the first request has begun, and so cuts off a long one.
	idle *time.Timer

	// refusal is the status with which the present request is refused, or zero.
	refusal int
	// refused is set once a refusal was sent; what follows is dropped.
	refused bool
	// completed is set when a request ended within the present Parse.
	completed bool
	// inBody is set between the head of a request and its end.
	inBody bool
	// timeout ends a request that arrives too slowly; nil while none is arriving.
	timeout   *time.Timer
	headBytes int
	headers   int
	lengths   int
	expects   bool
	// method, target and fields are the head of the present request, kept for Options.CheckHead alone; looked is set once that
	// was asked.
	method, target string
	fields         []string
	looked         bool
}

func newConn(s *Server, raw *nbio.Conn, p *nbhttp.Parser) *conn {
	c := &conn{Parser: p, server: s}
	c.out = newWriter(p.Conn, raw, s.opts)
	p.Conn = c.out
	p.Processor = &processor{Processor: p.Processor, conn: c}
	execute := p.Execute
	p.Execute = func(f func()) bool {
		c.handling.Add(1)
		ok := execute(func() {
			defer c.handled()
			f()
		})
		if !ok {
			c.handled()
		}
		return ok
	}
	c.idle = time.AfterFunc(s.opts.IdleTimeout, c.idleTooLong)
	c.ready.Store(true)
	return c
}

func (c *conn) handled() {
	if c.handling.Add(-1) == 0 {
		c.idle.Reset(c.server.opts.IdleTimeout)
	}
}

func (c *conn) idleTooLong() {
	if c.handling.Load() == 0 {
		_ = c.out.raw.CloseWithError(errIdle)
	}
}

// busy reports whether an answer is being made or sent.
func (c *conn) busy() bool {
	if closed, _ := c.out.raw.IsClosed(); closed {
		return false
	}
	return c.handling.Load() > 0 || c.out.pending.Load() > 0
}

// Parse implements nbhttp.ParserCloser.
func (c *conn) Parse(data []byte) error {
	if !c.ready.Load() || c.refused {
		return nil
	}
	c.completed = false
	err := c.Parser.Parse(data)
	switch {
	case c.refusal != 0:
		c.refuse(c.refusal)
	case errors.Is(err, net.ErrClosed):
		return err
	case errors.Is(err, nbhttp.ErrTooLong):
		c.refuse(http.StatusRequestEntityTooLarge)
	case err != nil:
		c.refuse(http.StatusBadRequest)
	default:
		c.bound(len(data))
	}
	return nil
}

// bound limits the size of a head that is not whole yet, and the time for a
// request to arrive.
func (c *conn) bound(n int) {
	if c.completed {
		c.headBytes = 0
		return
	}
	if !c.inBody {
		c.headBytes += n
		if c.headBytes > c.server.opts.MaxHeaderBytes {
			c.refuse(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
	}
	if c.inBody && c.server.opts.CheckHead != nil && !c.looked {
		c.looked = true
		if status := c.server.opts.CheckHead(c.head()); status != 0 {
			c.refuse(status)
			return
		}
	}
	if c.timeout == nil && c.handling.Load() == 0 {
		c.timeout = time.AfterFunc(c.server.opts.ReadTimeout, func() { _ = c.out.raw.CloseWithError(errSlow) })
	}
}

// head is the present request without its body.
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

// refuse answers a request that the handler never sees. While another answer is
// in progress on the connection nothing can be said in between; then the
// connection closes when it has been idle.
func (c *conn) refuse(status int) {
	c.refused = true
	if c.handling.Load() > 0 {
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
	time.AfterFunc(linger, func() { _ = c.out.raw.Close() })
}

// processor looks at the parts of a request before nbhttp does.
type processor struct {
	nbhttp.Processor
	conn *conn
}

func (p *processor) fail(status int) {
	if p.conn.refusal == 0 {
		p.conn.refusal = status
	}
}

// OnMethod implements nbhttp.Processor.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	c := p.conn
	c.headers, c.lengths, c.expects = 0, 0, false
	c.method, c.fields, c.looked = method, c.fields[:0], false
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
		p.fail(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	switch key {
	case "Content-Length":
		// Two lengths could be read differently by a balancer in front.
		if c.lengths++; c.lengths > 1 {
			p.fail(http.StatusBadRequest)
		}
	case "Expect":
		c.expects = strings.EqualFold(strings.TrimSpace(value), "100-continue")
	}
	if c.server.opts.CheckHead != nil {
		c.fields = append(c.fields, key, value)
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor; it is called at the end of the head.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	c := p.conn
	c.inBody = true
	if length > c.server.opts.MaxBody {
		p.fail(http.StatusRequestEntityTooLarge)
	}
	if c.expects && c.server.opts.CheckHead != nil && !c.looked {
		c.looked = true
		if status := c.server.opts.CheckHead(c.head()); status != 0 {
			p.fail(status)
		}
	}
	if c.expects && c.refusal == 0 && length != 0 && c.handling.Load() == 0 {
		c.out.writeNow([]byte(continueLine))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnComplete implements nbhttp.Processor.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	c := p.conn
	c.inBody, c.completed = false, true
	if c.timeout != nil {
		c.timeout.Stop()
		c.timeout = nil
	}
	if c.refusal != 0 {
		p.Clean(parser)
		return
	}
	p.Processor.OnComplete(parser)
}
