package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/response"
)

// DefaultTimeout bounds each call of an HTTP client that has no Timeout option.
const DefaultTimeout = 2 * time.Second

// maxAnswer bounds the body of an answer, several times that of all contracts and backend servers.
const maxAnswer = 16 << 20

// Option changes a setting of an HTTP client.
type Option func(*httpClient)

// Timeout bounds each call, from its start to the end of the response. For a stream
// of weights it bounds the wait for the first byte and for each further read.
func Timeout(d time.Duration) Option {
	return func(c *httpClient) { c.timeout = d }
}

// httpClient implements the calls of all ports. A call that times out closes the
// idle connections: one unresponsive connection suggests that the network path has
// lost the state of the others as well, and new connections may work.
type httpClient struct {
	base    string
	hc      *http.Client
	timeout time.Duration
}

func newHTTPClient(baseURL string, hc *http.Client, opts []Option) *httpClient {
	if hc == nil {
		hc = NewClient(nil)
	}
	c := &httpClient{base: baseURL, hc: hc, timeout: DefaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// call is one HTTP exchange of a port.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write means that the effect is unknown if the response is lost.
	write bool
}

// do sends c and returns the body of a successful response.
func (h *httpClient) do(ctx context.Context, c call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	resp, sent, err := h.send(ctx, c)
	if err != nil {
		return nil, h.transportError(ctx, c.write && sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := response.ReadBody(resp.Body, maxAnswer)
	if err != nil {
		return nil, h.transportError(ctx, c.write, err)
	}
	return body, decodeStatus(resp.StatusCode, body, c.write)
}

// send sends c; sent reports whether there was a connection for the request.
// Without one the request can't have reached the platform.
func (h *httpClient) send(ctx context.Context, c call) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, c.method, h.base+c.path+"?"+c.query.Encode(), bytes.NewReader(c.body))
	if err != nil {
		return nil, false, err
	}
	resp, err = h.hc.Do(req)
	return resp, connected.Load(), err
}

// transportError returns the error of a call without a complete response.
func (h *httpClient) transportError(ctx context.Context, mayHaveEffect bool, cause error) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		h.hc.CloseIdleConnections()
	}
	kind := ErrUnavailable
	if mayHaveEffect {
		kind = ErrIndeterminate
	}
	return withCause(kind, cause)
}

func withCause(kind, cause error) error {
	return merry.Wrap(kind, merry.WithCause(cause), merry.AppendMessage(cause.Error()), merry.NoCaptureStack())
}

// decodeStatus converts the status of a response to an error of the port.
func decodeStatus(status int, body []byte, write bool) error {
	if status/100 == 2 {
		return nil
	}
	var a ErrorResponse
	decodeErr := json.Unmarshal(body, &a)
	switch {
	case status == http.StatusConflict && decodeErr == nil && a.Conflict != nil:
		return &ConflictError{Key: a.Conflict.Key, Want: a.Conflict.Want, Have: a.Conflict.Have}
	case status == http.StatusNotFound:
		return responseError(ErrNotFound, a)
	case status == http.StatusBadRequest:
		return responseError(ErrInvalid, a)
	case status == http.StatusServiceUnavailable || !write:
		return responseError(ErrUnavailable, a)
	default:
		return responseError(ErrIndeterminate, a)
	}
}

func responseError(kind error, a ErrorResponse) error {
	return merry.Append(kind, a.Message, merry.NoCaptureStack())
}

// read sends a call without effect and decodes its response into out.
func (h *httpClient) read(ctx context.Context, path string, q url.Values, out any) error {
	body, err := h.do(ctx, call{method: http.MethodGet, path: path, query: q})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return withCause(ErrUnavailable, err)
	}
	return nil
}
