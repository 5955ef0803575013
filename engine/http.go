package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

const (
	maxErrorBody = 4 << 10
	maxReplyBody = 16 << 20
	// maxIdleConns bounds the unused connections to the engine.
	maxIdleConns = 64
)

// httpEngine calls an engine over HTTP.
type httpEngine struct {
	base   string
	client *http.Client
}

// NewHTTP returns the driver for the engine at baseURL, such as
// "http://127.0.0.1:9000". It doesn't use the client of nbhttp, which returns a
// response only when its body is complete, which rules out token
// streams. The client must not have an overall timeout, since that would cut
// streams; each call is bounded by its context, as are the streams that Decode and
// Resume return. A nil client stands for a new one with its own connection pool.
//
// A call that changes the engine returns ErrUnavailable only when the engine has
// certainly not accepted it: no connection was made or the engine said so. If its
// answer was lost, it returns ErrIndeterminate.
func NewHTTP(baseURL string, client *http.Client) Engine {
	if client == nil {
		pool := upstream.New(upstream.Options{MaxIdlePerServer: maxIdleConns})
		client = &http.Client{Transport: upstream.NewTransport(pool, &http.Transport{MaxIdleConnsPerHost: maxIdleConns})}
	}
	return &httpEngine{base: baseURL, client: client}
}

func (e *httpEngine) Info(ctx context.Context) (Info, error) {
	return get[Info](ctx, e, PathInfo, nil)
}

func (e *httpEngine) Prefill(ctx context.Context, r PrefillRequest) (KV, error) {
	return post[KV](ctx, e, PathPrefill, nil, r)
}

func (e *httpEngine) Decode(ctx context.Context, r DecodeRequest) (Stream, error) {
	resp, err := e.do(ctx, call{http.MethodPost, PathDecode, nil, r, true})
	if err != nil {
		return nil, err
	}
	return newStream(ctx, resp.Body), nil
}

func (e *httpEngine) Resume(ctx context.Context, runID string, position int) (Stream, error) {
	q := url.Values{ParamRun: {runID}, ParamPosition: {strconv.Itoa(position)}}
	resp, err := e.do(ctx, call{http.MethodGet, PathStream, q, nil, false})
	if err != nil {
		return nil, err
	}
	return newStream(ctx, resp.Body), nil
}

func (e *httpEngine) Cancel(ctx context.Context, runID string) error {
	return e.send(ctx, http.MethodPost, PathCancel, url.Values{ParamRun: {runID}}, nil)
}

func (e *httpEngine) Runs(ctx context.Context) ([]Run, error) {
	return get[[]Run](ctx, e, PathRuns, nil)
}

func (e *httpEngine) Exports(ctx context.Context) ([]KV, error) {
	return get[[]KV](ctx, e, PathExports, nil)
}

func (e *httpEngine) ReleaseKV(ctx context.Context, handle string) error {
	return e.send(ctx, http.MethodDelete, PathExports, url.Values{ParamHandle: {handle}}, nil)
}

func (e *httpEngine) Load(ctx context.Context) (Load, error) {
	return get[Load](ctx, e, PathLoad, nil)
}

func (e *httpEngine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	q := url.Values{ParamAfter: {strconv.FormatUint(after, 10)}}
	return get[[]CacheEvent](ctx, e, PathCacheEvents, q)
}

func (e *httpEngine) Order(ctx context.Context, o Order) error {
	return e.send(ctx, http.MethodPost, PathOrders, nil, o)
}

// call is one HTTP request. A mutating call whose answer is lost is indeterminate.
type call struct {
	method   string
	path     string
	query    url.Values
	body     any
	mutating bool
}

func get[T any](ctx context.Context, e *httpEngine, path string, q url.Values) (T, error) {
	return reply[T](ctx, e, call{http.MethodGet, path, q, nil, false})
}

func post[T any](ctx context.Context, e *httpEngine, path string, q url.Values, body any) (T, error) {
	return reply[T](ctx, e, call{http.MethodPost, path, q, body, true})
}

func reply[T any](ctx context.Context, e *httpEngine, c call) (T, error) {
	var out T
	resp, err := e.do(ctx, c)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	data, err := response.ReadBody(resp.Body, maxReplyBody)
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		return out, lostAnswer(c, err)
	}
	return out, nil
}

func (e *httpEngine) send(ctx context.Context, method, path string, q url.Values, body any) error {
	c := call{method, path, q, body, true}
	resp, err := e.do(ctx, c)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := response.ReadBody(resp.Body, maxReplyBody); err != nil {
		return lostAnswer(c, err)
	}
	return nil
}

// do sends the request and returns a successful response with its body open.
func (e *httpEngine) do(ctx context.Context, c call) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := e.request(httptrace.WithClientTrace(ctx, trace), c)
	if err != nil {
		return nil, wrap(ErrInvalid, err)
	}
	resp, err := e.client.Do(req)
	if err != nil && !sent.Load() {
		return nil, wrap(ErrUnavailable, err)
	}
	if err != nil {
		return nil, lostAnswer(c, err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, responseError(c, resp)
}

func (e *httpEngine) request(ctx context.Context, c call) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		data, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	target := e.base + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, c.method, target, body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func responseError(c call, resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var body ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Code != "" {
		return wrap(body.Code.Err(), errors.New(body.Message))
	}
	return lostAnswer(c, fmt.Errorf("status %d: %.200q", resp.StatusCode, data))
}

// lostAnswer returns the error of a call that was sent but got no usable answer.
func lostAnswer(c call, cause error) error {
	if c.mutating {
		return wrap(ErrIndeterminate, cause)
	}
	return wrap(ErrUnavailable, cause)
}

func wrap(kind, cause error) error {
	return merry.Wrap(kind, merry.AppendMessage(cause.Error()), merry.WithCause(cause), merry.NoCaptureStack())
}
