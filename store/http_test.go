package store

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeTransport returns a canned response and counts the calls of
// CloseIdleConnections.
type fakeTransport struct {
	connected bool
	status    int
	body      string
	truncated bool // the connection breaks within the body
	err       error
	closed    int
}

func (t *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); t.connected {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if t.err != nil {
		return nil, t.err
	}
	body := io.Reader(strings.NewReader(t.body))
	if t.truncated {
		body = io.MultiReader(body, truncatedBody{})
	}
	return &http.Response{StatusCode: t.status, Body: io.NopCloser(body)}, nil
}

func (t *fakeTransport) CloseIdleConnections() { t.closed++ }

// truncatedBody is a reader that fails where the connection breaks.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestErrorMapping checks that a call without a connection has no effect, and that
// the effect of a write on a connection is unknown unless the response states it.
func TestErrorMapping(t *testing.T) {
	broken := errors.New("broken")
	conflict := `{"message":"m","conflict":{"key":"k","want":1,"have":2}}`
	cases := []struct {
		name        string
		transport   fakeTransport
		read, write error
	}{
		{"no connection", fakeTransport{err: broken}, ErrUnavailable, ErrUnavailable},
		{"response lost", fakeTransport{err: broken, connected: true}, ErrUnavailable, ErrIndeterminate},
		{"body lost", fakeTransport{status: 200, body: `{`, truncated: true}, ErrUnavailable, ErrIndeterminate},
		{"conflict cut off", fakeTransport{status: 409, body: `{`, truncated: true}, ErrUnavailable, ErrIndeterminate},
		{"conflict without detail", fakeTransport{status: 409, body: "{}"}, ErrUnavailable, ErrIndeterminate},
		{"refused", fakeTransport{status: 503, body: "{}"}, ErrUnavailable, ErrUnavailable},
		{"not found", fakeTransport{status: 404, body: "no JSON"}, ErrNotFound, ErrNotFound},
		{"invalid", fakeTransport{status: 400, body: "{}"}, ErrInvalid, ErrInvalid},
		{"server error", fakeTransport{status: 500, body: "{}"}, ErrUnavailable, ErrIndeterminate},
		{"gateway timeout", fakeTransport{status: 504, body: "<html>"}, ErrUnavailable, ErrIndeterminate},
		{"redirect", fakeTransport{status: 304, body: ""}, ErrUnavailable, ErrIndeterminate},
		{"too many calls", fakeTransport{status: 429, body: "{}"}, ErrUnavailable, ErrIndeterminate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			read, write := c.transport, c.transport
			_, err := NewHTTPTable("http://h", &http.Client{Transport: &read}).Get(t.Context(), "k")
			assert.ErrorIs(t, err, c.read)
			err = NewHTTPObjects("http://h", &http.Client{Transport: &write}).Delete(t.Context(), "k")
			assert.ErrorIs(t, err, c.write)
			assert.Assert(t, c.transport.err == nil || errors.Is(err, c.transport.err))
		})
	}
	tr := &fakeTransport{status: 409, body: conflict}
	err := NewHTTPTable("http://h", &http.Client{Transport: tr}).Commit(t.Context(), Txn{Checks: []Check{{Key: "k"}}})
	assert.DeepEqual(t, err, &ConflictError{Key: "k", Want: 1, Have: 2})
}

// TestTimeoutDropsIdleConnections checks that a timeout of one connection closes the
// idle ones, which may be dead as well.
func TestTimeoutDropsIdleConnections(t *testing.T) {
	for err, want := range map[error]int{context.DeadlineExceeded: 1, io.EOF: 0} {
		tr := &fakeTransport{connected: true, err: err}
		timeout := DefaultTimeout
		if err == context.DeadlineExceeded {
			timeout = 0
		}
		tb := NewHTTPTable("http://h", &http.Client{Transport: tr}, Timeout(timeout))
		_, got := tb.Get(t.Context(), "k")
		assert.ErrorIs(t, got, err)
		assert.Equal(t, tr.closed, want)
	}
}

func TestTruncatedWeightStream(t *testing.T) {
	tr := &fakeTransport{status: 200, body: "half", truncated: true}
	r, err := NewHTTPWeights("http://h", &http.Client{Transport: tr}).Open(t.Context(), "m", "1")
	assert.NilError(t, err)
	got, err := io.ReadAll(r)
	assert.Equal(t, string(got), "half")
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.NilError(t, r.Close())
}
