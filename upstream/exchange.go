package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// maxInlineBody is the maximum length of a body that is written together with the head; a
// longer one is written while the response is read, since a server may respond before it
// has read the body. So is any long one for which the link has no room.
const maxInlineBody = 8 << 10

// maxUnmatched is the number of responses to other requests that are skipped on one
// connection before it is closed.
const maxUnmatched = 2

// Request is one request to a server.
type Request struct {
	Method string
	// Target is the path and query exactly as sent on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Admit is called once there is a connection, before anything is sent, since opening one takes time. An error means
	// that the request is not sent. It must not block; nil admits the request.
	Admit func() error
	// NewConnection is set if no idle connection may be used.
	NewConnection bool
	// Matches reports whether a response with these headers belongs to this request and
	// not, delayed, to an earlier one; nil accepts all.
	Matches func(http.Header) bool
}

// Response is a response whose head was read. Body must be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if it is not known in advance.
	Length  int64
	Framing response.Framing
	// Close is set if the server closes the connection after the response.
	Close bool
	// SentAt is when sending the request began.
	SentAt time.Time
	Body   io.ReadCloser
}

// errUnmatched means that a connection was closed because of responses to other requests.
var errUnmatched = errors.New("responses to other requests on the connection")

// Do sends r to addr and returns once the head of the response was read. Cancelling ctx
// closes the connection, also while the body is read. An error wraps ErrNotSent
// if the server can't have seen the request; after any other error it may have run.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, err := p.connect(ctx, addr, r)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if err := r.admit(); err != nil {
		p.put(c)
		return nil, errors.Join(ErrNotSent, err)
	}
	x := &exchange{pool: p, conn: c, sentAt: time.Now(), stopWriting: func() {}, writeDone: make(chan struct{})}
	x.stopWatching = context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		x.abort()
		return nil, errors.Join(ErrNotSent, context.Cause(ctx))
	}
	if err := x.send(ctx, r); err != nil {
		x.abort()
		return nil, err
	}
	res, err := x.readHead(r)
	if err != nil {
		x.abort()
		return nil, err
	}
	return res, nil
}

// connect returns a connection for a request.
func (p *Pool) connect(ctx context.Context, addr string, r *Request) (*conn, error) {
	if r.NewConnection {
		return p.dial(ctx, addr)
	}
	return p.get(ctx, addr)
}

func (r *Request) admit() error {
	if r.Admit == nil {
		return nil
	}
	return r.Admit()
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// sentAt is when sending the request began.
	sentAt       time.Time
	stopWatching func() bool
	// stopWriting ends the writing of a long request.
	stopWriting context.CancelFunc
	// writeDone is closed once writing the request has ended; writeErr is valid then.
	writeDone chan struct{}
	writeErr  error

	keepAlive bool
	endOnce   sync.Once
}

func (x *exchange) send(ctx context.Context, r *Request) error {
	head := encodeHead(r)
	link := x.pool.opts.Link
	if len(r.Body) <= vmlink.LongBytes || len(r.Body) <= maxInlineBody && link.Wait() == 0 {
		defer close(x.writeDone)
		_, x.writeErr = x.conn.Write(append(head, r.Body...))
		return x.writeErr
	}
	if _, err := x.conn.Write(head); err != nil {
		return err
	}
	ctx, x.stopWriting = context.WithCancel(ctx)
	go func() {
		defer x.stopWriting()
		defer close(x.writeDone)
		x.writeErr = link.WriteLong(ctx, x.conn.Conn, r.Body)
		if errors.Is(x.writeErr, vmlink.ErrTooLate) {
			x.abort()
		}
	}()
	return nil
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineBody))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the response and skips responses to other requests.
func (x *exchange) readHead(r *Request) (*Response, error) {
	for range maxUnmatched + 1 {
		res, err := x.conn.responses.Next(r.Method)
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(res.Header) {
			return x.response(res), nil
		}
		if err := x.conn.responses.Skip(res); err != nil || res.Close {
			return nil, errors.Join(errUnmatched, err)
		}
	}
	return nil, errUnmatched
}

func (x *exchange) response(res *http.Response) *Response {
	now := time.Now()
	x.conn.usableUntil = time.Time{}
	x.conn.recordKeepAlive(res.Header, now)
	x.keepAlive = !res.Close
	framing := response.FramingOf(res)
	return &Response{
		Status:  res.StatusCode,
		Header:  res.Header,
		Length:  res.ContentLength,
		Framing: framing,
		Close:   res.Close,
		SentAt:  x.sentAt,
		Body:    &body{Reader: res.Body, x: x, framing: framing},
	}
}

// abort ends the exchange and closes the connection.
func (x *exchange) abort() {
	x.endOnce.Do(func() {
		x.stopWatching()
		_ = x.conn.Close()
	})
}

// release returns the connection to the pool after the complete response was read, or
// closes it if it can't be reused.
func (x *exchange) release() {
	x.endOnce.Do(func() {
		if !x.stopWatching() || !x.keepAlive || !x.fullyWritten() || !x.conn.responses.Idle() {
			_ = x.conn.Close()
			return
		}
		x.pool.put(x.conn)
	})
}

// fullyWritten reports whether the complete request has been written.
func (x *exchange) fullyWritten() bool {
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
		return false
	}
}

// connectionEnd returns io.EOF if a connection that has no more to read was ended by the server in an orderly way. The system
// reports the error of a connection to one caller only: to the writer, if it is writing, while the reader gets what looks
// like an orderly end.
func (x *exchange) connectionEnd() error {
	x.stopWriting()
	_ = x.conn.SetWriteDeadline(time.Now())
	<-x.writeDone
	if endedInOrder(x.writeErr) {
		return io.EOF
	}
	return errors.Join(io.ErrUnexpectedEOF, x.writeErr)
}

// endedInOrder reports whether a server had ended its side of a connection when writing a request to it ended with err. EPIPE
// says so: a connection that fails before that fails with another error.
func endedInOrder(err error) bool {
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.Canceled) || errors.Is(err, syscall.EPIPE)
}

// body is the body of a response. Reading it to its end releases the connection; closing it
// earlier closes the connection, so that the server stops working on the request.
type body struct {
	io.Reader
	x       *exchange
	framing response.Framing
}

// Read implements io.Reader. io.EOF means that the body is complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && b.framing == response.FramedByConnection {
		err = b.x.connectionEnd()
	}
	if err == io.EOF {
		b.x.release()
	} else if err != nil {
		b.x.abort()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.x.abort()
	return nil
}
