package httpserver

import (
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/hibiscusspur/hibiscusspur/policy/membudget"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// Errors with which a connection is closed.
var (
	errSlow = merry.Sentinel("request arrives too slowly")
	errIdle = merry.Sentinel("connection idle for too long")
	// errGaveWay means that the memory of a request that did not arrive was needed for another.
	errGaveWay = merry.Sentinel("request gave way to others")
	// errReplaced means that there were too many connections.
	errReplaced = merry.Sentinel("connection closed for a new one")
	errLineFold = merry.Sentinel("header continued on the next line")
)

// longBodyBytes is the size from which a body is long: it does not come with one read.
const longBodyBytes = readBufferBytes

// lateBodyTime is the age from which a body that is not read as fast as it comes is late.
const lateBodyTime = 200 * time.Millisecond

// conn sits between nbio and the parser of nbhttp and checks what a connection sends. Parse and the processor run on
// the connection's poller goroutine.
type conn struct {
	server *Server
	out    *writer
	// ready makes the initialization of a conn happen before its use by the poller: nbio hands connections over
	// through the kernel, which the race detector can't see.
	ready atomic.Bool
	// inProgress counts the requests that have been received but not responded to yet.
	inProgress atomic.Int32
	// active is when bytes were last received or sent, see monotonic.
	active atomic.Int64
	// received reports that the first request was received, or the connection closed; later calls do nothing.
	received func()
	// expected is the number of bytes of the body that is being received, bodyBegan when that began, in nanoseconds of the Unix
	// epoch. moreWaits is set while the latest read left bytes for the next one.
	expected, bodyBegan atomic.Int64
	moreWaits           atomic.Bool
	// answered is set once a rejection was sent, ended once no more requests are accepted.
	answered, ended atomic.Bool
	// claim is the memory for the request that is being received.
	claim *vmmemory.Claim
	// idleTimer closes the connection if it fires while no request is in progress. nbio's own read deadline can't do
	// that: nbhttp sets it when it accepts a connection, sometimes after the first request has begun, and so cuts off
	// a long one.
	idleTimer *time.Timer
	// execute runs the handler of a request after those of earlier ones.
	execute func(f func()) bool

	// arriving is set while a part of a request has been received.
	arriving atomic.Bool

	// mu guards the fields below against the closing of the connection; apart from that they belong to the poller.
	mu        sync.Mutex
	parser    *nbhttp.Parser
	processor *processor

	// limits are those of the request that is received.
	limits Limits
	// rejectStatus is the status with which the current request is rejected, or zero, retryAfter what it tells its client.
	rejectStatus int
	retryAfter   time.Duration
	// rejected is set once a request was rejected; later input is dropped, as long as it is within discardable bytes and the client
	// doesn't pause for longer than lingerTimer runs, until lingerEnd.
	rejected    bool
	discardable int
	lingerTimer *time.Timer
	lingerEnd   time.Time
	// completed is set if a request ended within the current call of Parse.
	completed bool
	// hasBody is set once the head says that there is a body, inBody from the end of the head to the end of the request.
	hasBody, inBody bool
	// body takes the body of the current request, once bodyBegun is set.
	body      bodyDecoder
	bodyBegun bool
	// readTimer closes the connection if a request arrives too slowly; nil while none is arriving. timesBody is set if it runs for the
	// body.
	readTimer *time.Timer
	timesBody bool
	// headBytes counts the bytes of the current head, lineBytes those of its first line once that has come; headTail holds the last
	// ones.
	headBytes       int
	lineBytes       int
	headTail        [maxHeadTail]byte
	headers         int
	contentLengths  int
	expectsContinue bool
	// chunked is set if the current body is, otherwise length is its number of bytes.
	chunked bool
	length  int64
	// claimed is set if claim takes memory for the current request, charged is what the request takes that is handed over.
	claimed bool
	charged membudget.Room
	// method, target and fields are the head of the current request, kept only for Options.CheckHead; headChecked is
	// set once that has been called.
	method, target string
	fields         []string
	headChecked    bool
}

func newConn(s *Server, raw *nbio.Conn, p *nbhttp.Parser, received func()) *conn {
	c := &conn{server: s, parser: p, received: sync.OnceFunc(received)}
	c.claim = s.opts.Memory.NewClaim(c.evict)
	c.out = newWriter(p.Conn, raw, s.opts)
	p.Conn = c.out
	c.processor = &processor{Processor: p.Processor, conn: c}
	p.Processor = c.processor
	execute := p.Execute
	c.execute = func(f func()) bool {
		charged := c.charged
		c.inProgress.Add(1)
		ok := execute(func() {
			defer c.requestDone(charged)
			f()
		})
		if !ok {
			c.requestDone(charged)
		}
		return ok
	}
	p.Execute = c.execute
	c.active.Store(monotonic())
	c.idleTimer = time.AfterFunc(s.opts.IdleTimeout, c.closeIfIdle)
	c.ready.Store(true)
	return c
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *conn) UnderlayerConn() net.Conn { return c.out }

// CloseAndClean implements nbhttp.ParserCloser.
func (c *conn) CloseAndClean(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.CloseAndClean(err)
	c.rejected = true
	c.claim.Release()
	c.out.dropPending()
	for _, t := range []*time.Timer{c.lingerTimer, c.readTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

// requestDone is called once a request was responded to, whose memory is free again.
func (c *conn) requestDone(charged membudget.Room) {
	c.server.opts.Memory.Return(charged)
	if c.inProgress.Add(-1) > 0 {
		return
	}
	if c.ended.Load() {
		_ = c.out.Close()
		return
	}
	c.active.Store(monotonic())
	c.claim.First()
	c.idleTimer.Reset(c.server.limits().IdleTimeout)
}

func (c *conn) closeIfIdle() {
	if c.inProgress.Load() > 0 || c.arriving.Load() {
		return
	}
	silent := time.Duration(monotonic() - c.active.Load())
	if left := c.server.limits().IdleTimeout - silent; left > 0 {
		c.idleTimer.Reset(left)
		return
	}
	_ = c.out.raw.CloseWithError(errIdle)
}

// busy reports whether a response is being produced or sent.
func (c *conn) busy() bool {
	if closed, _ := c.out.raw.IsClosed(); closed {
		return false
	}
	return c.inProgress.Load() > 0 || c.out.pending.Load() > 0
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
