package store

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"
)

type httpWeights struct{ h *httpClient }

// NewHTTPWeights returns a client of the weight store at baseURL.
func NewHTTPWeights(baseURL string, hc *http.Client, opts ...Option) Weights {
	return httpWeights{newHTTPClient(baseURL, hc, opts)}
}

// Open implements Weights. A stream that ends early or delivers no data for the
// client's timeout fails with ErrUnavailable. The caller closes the stream.
func (w httpWeights) Open(ctx context.Context, model, version string) (io.ReadCloser, error) {
	if model == "" || version == "" {
		return nil, Invalid("empty model or version")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(w.h.timeout, func() { cancel(context.DeadlineExceeded) })
	q := url.Values{ParamModel: {model}, ParamVersion: {version}}
	resp, _, err := w.h.send(ctx, call{method: http.MethodGet, path: PathWeights, query: q})
	watchdog.Stop()
	if err != nil {
		cancel(nil)
		return nil, w.h.transportError(ctx, false, err)
	}
	s := &weightStream{ctx: ctx, cancel: cancel, body: resp.Body, watchdog: watchdog, timeout: w.h.timeout}
	if resp.StatusCode == http.StatusOK {
		return s, nil
	}
	defer func() { _ = s.Close() }()
	body, err := io.ReadAll(s)
	if err != nil {
		return nil, err
	}
	return nil, decodeStatus(resp.StatusCode, body, false)
}

// weightStream cancels its request when no data arrives for timeout. The watchdog
// runs only while a read is blocked, so a slow consumer doesn't trigger it.
type weightStream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	body     io.ReadCloser
	watchdog *time.Timer
	timeout  time.Duration
}

// Read implements io.Reader.
func (s *weightStream) Read(p []byte) (int, error) {
	s.watchdog.Reset(s.timeout)
	n, err := s.body.Read(p)
	s.watchdog.Stop()
	if err == nil || err == io.EOF {
		return n, err
	}
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	return n, withCause(ErrUnavailable, err)
}

// Close implements io.Closer.
func (s *weightStream) Close() error {
	s.watchdog.Stop()
	s.cancel(nil)
	return s.body.Close()
}
