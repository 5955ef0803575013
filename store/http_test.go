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

// transport gives one canned answer and counts the closings of idle connections.
type transport struct {
	connected bool
	status    int
	body      string
	cut       bool // the body breaks off
	err       error
	closed    int
}

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); t.connected {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if t.err != nil {
		return nil, t.err
	}
	body := io.Reader(strings.NewReader(t.body))
	if t.cut {
		body = io.MultiReader(body, failing{})
	}
	return &http.Response{StatusCode: t.status, Body: io.NopCloser(body)}, nil
}

func (t *transport) CloseIdleConnections() { t.closed++ }

// failing is the rest of a body that breaks off.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestErrorMapping: no answer before a connection is no effect; afterwards the
// effect of a write is unknown, unless the answer itself tells.
func TestErrorMapping(t *testing.T) {
	broken := errors.New("broken")
	conflict := `{"message":"m","conflict":{"key":"k","want":1,"have":2}}`
	cases := []struct {
		name        string
		transport   transport
		read, write error
	}{
		{"no connection", transport{err: broken}, ErrUnavailable, ErrUnavailable},
		{"answer lost", transport{err: broken, connected: true}, ErrUnavailable, ErrIndeterminate},
		{"body lost", transport{status: 200, body: `{`, cut: true}, ErrUnavailable, ErrIndeterminate},
		{"conflict cut off", transport{status: 409, body: `{`, cut: true}, ErrUnavailable, ErrIndeterminate},
		{"conflict without detail", transport{status: 409, body: "{}"}, ErrUnavailable, ErrIndeterminate},
		{"refused", transport{status: 503, body: "{}"}, ErrUnavailable, ErrUnavailable},
		{"not found", transport{status: 404, body: "no JSON"}, ErrNotFound, ErrNotFound},
		{"invalid", transport{status: 400, body: "{}"}, ErrInvalid, ErrInvalid},
		{"server error", transport{status: 500, body: "{}"}, ErrUnavailable, ErrIndeterminate},
		{"gateway timeout", transport{status: 504, body: "<html>"}, ErrUnavailable, ErrIndeterminate},
		{"redirect", transport{status: 304, body: ""}, ErrUnavailable, ErrIndeterminate},
		{"too many calls", transport{status: 429, body: "{}"}, ErrUnavailable, ErrIndeterminate},
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
	tr := &transport{status: 409, body: conflict}
	err := NewHTTPTable("http://h", &http.Client{Transport: tr}).Commit(t.Context(), Txn{Checks: []Check{{Key: "k"}}})
	assert.DeepEqual(t, err, &ConflictError{Key: "k", Want: 1, Have: 2})
}

// TestTimeoutDropsIdleConnections: one silent connection casts doubt on the rest.
func TestTimeoutDropsIdleConnections(t *testing.T) {
	for err, want := range map[error]int{context.DeadlineExceeded: 1, io.EOF: 0} {
		tr := &transport{connected: true, err: err}
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

func TestWeightsEndEarly(t *testing.T) {
	tr := &transport{status: 200, body: "half", cut: true}
	r, err := NewHTTPWeights("http://h", &http.Client{Transport: tr}).Open(t.Context(), "m", "1")
	assert.NilError(t, err)
	got, err := io.ReadAll(r)
	assert.Equal(t, string(got), "half")
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.NilError(t, r.Close())
}
