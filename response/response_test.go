package response_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/response/responsetest"
)

// read reads one response as a connection brings it, and what follows it.
func read(src io.Reader, method string) (res *http.Response, body string, err error) {
	r := response.NewReader(src)
	if res, err = r.Next(method); err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}

const ok = "HTTP/1.1 200 OK\r\n"

// TestWholeResponses guards against losing what is a response.
func TestWholeResponses(t *testing.T) {
	for name, text := range responsetest.Whole {
		t.Run(name, func(t *testing.T) {
			for _, src := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				_, body, err := read(src, http.MethodPost)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
		})
	}
}

// TestResponsesWithoutBody guards against waiting for a body where there is none.
func TestResponsesWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, text string }{
		{http.MethodHead, ok + "Content-Length: 2\r\n\r\n"},
		{http.MethodHead, ok + "Transfer-Encoding: chunked\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"},
	} {
		_, body, err := read(strings.NewReader(c.text+"next"), c.method)
		assert.NilError(t, err, "%q", c.text)
		assert.Equal(t, body, "", "%q", c.text)
	}
}

// TestBrokenFieldsAreNoResponse guards against heads with a line that is no field, which passed for responses: the line was passed on,
// or the body was taken to end where it doesn't.
func TestBrokenFieldsAreNoResponse(t *testing.T) { assertBroken(t, responsetest.BrokenFields) }

func assertBroken(t *testing.T, shapes responsetest.Shapes) {
	t.Helper()
	for name, text := range shapes {
		t.Run(name, func(t *testing.T) {
			for _, src := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				res, body, err := read(src, http.MethodPost)
				assert.Check(t, err != nil, "passes for a whole response: %v, %q", res, body)
			}
		})
	}
}

// TestStatusesAndFieldsAreChecked guards against responses that came by another protocol and that HTTP/1.1 can't carry.
func TestStatusesAndFieldsAreChecked(t *testing.T) {
	assert.NilError(t, response.Check(200, http.Header{"X-Y": {"z", "\xfe"}}))
	for _, h := range []http.Header{{"X Y": {"z"}}, {"": {"z"}}, {"X": {"y\r\nZ: 1"}}, {"X:": nil}} {
		assert.ErrorIs(t, response.Check(200, h), response.ErrMalformed)
	}
}

// consumed reads one response and returns how many bytes of the text belong to it.
func consumed(text []byte) (res *http.Response, body string, n int, err error) {
	counter := &countingReader{Reader: bytes.NewReader(text)}
	res, body, err = read(iotest.OneByteReader(counter), http.MethodPost)
	return res, body, counter.n, err
}

type countingReader struct {
	io.Reader
	n int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	return n, err
}

// TestBrokenStatusesAreNoResponse guards against bytes with a status that HTTP doesn't know, which passed for a response or for an
// interim one before it.
func TestBrokenStatusesAreNoResponse(t *testing.T) {
	assertBroken(t, responsetest.BrokenStatuses)
	for _, status := range []int{0, 99, 100, 199, 600, 999, -200} {
		assert.ErrorIs(t, response.Check(status, nil), response.ErrMalformed)
	}
}

// TestResponsesOfUnknownEndAreBroken guards against taking for whole what can't be known to be.
func TestResponsesOfUnknownEndAreBroken(t *testing.T) { assertBroken(t, responsetest.UnknownEnds) }

// FuzzResponse: what passes for a response is one by its head, and a response that ends by itself is not whole if any of its end is
// missing.
func FuzzResponse(f *testing.F) {
	for _, shapes := range []responsetest.Shapes{responsetest.Whole, responsetest.BrokenFields, responsetest.BrokenStatuses, responsetest.UnknownEnds, responsetest.CutHeads} {
		for _, text := range shapes {
			f.Add([]byte(text), uint(1))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, missing uint) {
		res, body, n, err := consumed(text)
		if err != nil {
			return
		}
		assert.NilError(t, response.Check(res.StatusCode, res.Header))
		framing := response.FramingOf(res)
		if framing == response.FramedByLength && int64(len(body)) != res.ContentLength && res.StatusCode != http.StatusNotModified {
			t.Errorf("%d bytes of %d", len(body), res.ContentLength)
		}
		if framing == response.FramedByConnection {
			return
		}
		short := text[:n-1-int(missing%uint(n))]
		if _, body, _, err := consumed(short); err == nil {
			t.Errorf("%q passes for a whole response with body %q", short, body)
		} else if errors.Is(err, response.ErrMalformed) && len(short) > 0 {
			// A part of a response is not known to be malformed, only to be a part.
			t.Errorf("%q: %v", short, err)
		}
	})
}
