package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/hibiscusspur/hibiscusspur/response"
)

// Transport is the http.RoundTripper for the other processes that this one calls: what it returns is a response by package
// response. Requests to http URLs go through a Pool, with its guarantees, and ask for no compression. Those to https URLs
// go through net/http, since TLS and HTTP/2 have an end of their own for what they carry; the status and the fields of their
// responses are checked. It is safe for concurrent use.
type Transport struct {
	pool   *Pool
	secure http.RoundTripper
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport over pool; secure serves https URLs.
func NewTransport(pool *Pool, secure http.RoundTripper) *Transport {
	return &Transport{pool: pool, secure: secure}
}

// defaultPort is that of http URLs that name none.
const defaultPort = "80"

// RoundTrip implements http.RoundTripper. An error wraps ErrNotSent if the server can't have seen the request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme != "http" {
		return t.roundTripSecure(r)
	}
	body, err := readRequestBody(r)
	if err != nil {
		return nil, err
	}
	res, err := t.pool.Do(r.Context(), serverAddr(r), &Request{
		Method: r.Method, Target: r.URL.RequestURI(), Host: hostOf(r), Header: r.Header, Body: body,
		Admit: func() error {
			reportConnection(r)
			return nil
		},
	})
	if err != nil {
		return nil, withContextError(r.Context(), err)
	}
	return res.httpResponse(r), nil
}

// withContextError adds to the error of a connection why it was closed, if the context of its request has ended.
func withContextError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return errors.Join(ctx.Err(), err)
}

// contextBody is a body whose errors name that of its request's context, if it has ended.
type contextBody struct {
	io.ReadCloser
	ctx context.Context
}

// Read implements io.Reader.
func (b *contextBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, withContextError(b.ctx, err)
}

func (t *Transport) roundTripSecure(r *http.Request) (*http.Response, error) {
	res, err := t.secure.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := response.Check(res.StatusCode, res.Header); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.pool.Sweep(func(string) bool { return false })
	if c, ok := t.secure.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// readRequestBody reads and closes the body of a request.
func readRequestBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

func serverAddr(r *http.Request) string {
	if r.URL.Port() == "" {
		return net.JoinHostPort(r.URL.Hostname(), defaultPort)
	}
	return r.URL.Host
}

func hostOf(r *http.Request) string {
	if r.Host != "" {
		return r.Host
	}
	return r.URL.Host
}

// reportConnection tells the trace of a request that there is a connection for it.
func reportConnection(r *http.Request) {
	trace := httptrace.ContextClientTrace(r.Context())
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

// httpResponse returns the response in the form of net/http.
func (res *Response) httpResponse(r *http.Request) *http.Response {
	out := &http.Response{
		Status: http.StatusText(res.Status), StatusCode: res.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: res.Header, Body: &contextBody{ReadCloser: res.Body, ctx: r.Context()}, ContentLength: res.Length, Close: res.Close, Request: r,
	}
	if res.Framing == response.FramedByChunks {
		out.TransferEncoding = []string{"chunked"}
	}
	return out
}
