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

// wholeResponses have the body "ok".
var wholeResponses = map[string]string{
	"length":                       ok + "Content-Length: 2\r\n\r\nok",
	"length, bytes after it":       ok + "Content-Length: 2\r\n\r\nokHTTP/1.1 5",
	"the same length twice":        ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"chunks":                       ok + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n",
	"chunks with a trailer":        ok + "Transfer-Encoding: Chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
	"to the end of its connection": ok + "\r\nok",
	"HTTP/1.0":                     "HTTP/1.0 200 OK\r\n\r\nok",
	"no reason":                    "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
	"no blank after the status":    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"reason in another alphabet":   "HTTP/1.1 200 \xfe\xe6r\r\nContent-Length: 2\r\n\r\nok",
	"lines that end with LF":       "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"value in another alphabet":    ok + "X: \xfe\xe6r\r\nContent-Length: 2\r\n\r\nok",
	"tabs around a value":          ok + "Content-Length:\t2\t\r\n\r\nok",
	"empty value":                  ok + "X:\r\nContent-Length: 2\r\n\r\nok",
	"interim responses":            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"head of 40 kB":                ok + strings.Repeat("X: "+strings.Repeat("y", 97)+"\r\n", 400) + "Content-Length: 2\r\n\r\nok",
	"field of 20 kB":               ok + "X: " + strings.Repeat("y", 20_000) + "\r\nContent-Length: 2\r\n\r\nok",
	"failure":                      "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok",
}

// TestWholeResponses guards against losing what is a response.
func TestWholeResponses(t *testing.T) {
	for name, text := range wholeResponses {
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

// brokenFields are heads in which a field is none.
var brokenFields = map[string]string{
	"blank before the colon":                 ok + "Content-Length : 2\r\n\r\nok",
	"blank before the colon of the encoding": ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a name":                        ok + "X Y: z\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name":                    ok + "X: y\r\n Content-Length: 2\r\n\r\nok",
	"tab before a name":                      ok + "X: y\r\n\tZ: 2\r\nContent-Length: 2\r\n\r\nok",
	"blank before the first name":            ok + " X: y\r\nContent-Length: 2\r\n\r\nok",
	"tab before the colon":                   ok + "X\t: y\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":                 ok + "X\x01Y: z\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a name":                          ok + "X\x00: z\r\nContent-Length: 2\r\n\r\nok",
	"DEL in a name":                          ok + "X\x7f: z\r\nContent-Length: 2\r\n\r\nok",
	"CR in a name":                           ok + "X\rY: z\r\nContent-Length: 2\r\n\r\nok",
	"letter of another alphabet in a name":   ok + "X\xfe: z\r\nContent-Length: 2\r\n\r\nok",
	"separator in a name":                    ok + "X(Y): z\r\nContent-Length: 2\r\n\r\nok",
	"empty name":                             ok + ": z\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                               ok + "X\r\nContent-Length: 2\r\n\r\nok",
	"line of blanks":                         ok + "X: y\r\n  \r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":                ok + "X: y\x02z\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a value":                         ok + "X: y\x00z\r\nContent-Length: 2\r\n\r\nok",
	"CR in a value":                          ok + "X: y\rContent-Length: 2\r\n\r\nok",
	"interim response with a broken field":   "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"trailer with a blank in a name":         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	"trailer with a control byte in a name":  ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01: z\r\n\r\n",
}

// TestBrokenFieldsAreNoResponse guards against heads with a line that is no field, which passed for responses: the line was passed on,
// or the body was taken to end where it doesn't.
func TestBrokenFieldsAreNoResponse(t *testing.T) { assertBroken(t, brokenFields) }

func assertBroken(t *testing.T, shapes map[string]string) {
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

// brokenStatuses are heads whose status line is none.
var brokenStatuses = map[string]string{
	"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 000, then another": "HTTP/1.1 000 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"status 099, then another": "HTTP/1.1 099 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"status +20, then another": "HTTP/1.1 +20 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"status -20":               "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 600":               "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":               "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":     "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":    "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status in hexadecimal":    "HTTP/1.1 0xc OK\r\nContent-Length: 2\r\n\r\nok",
	"switching protocols":      "HTTP/1.1 101 Switching\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"two blanks":               "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
	"tab before the status":    "HTTP/1.1\t200 OK\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a reason": "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
	"CR in a reason":           "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/0.9":                 "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/2.0":                 "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.9":                 "HTTP/1.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"lower case":               "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"another protocol":         "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"empty line first":         "\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"blank first":              " " + ok + "Content-Length: 2\r\n\r\nok",
	"body without a head":      "ok",
}

// TestBrokenStatusesAreNoResponse guards against bytes with a status that HTTP doesn't know, which passed for a response or for an
// interim one before it.
func TestBrokenStatusesAreNoResponse(t *testing.T) {
	assertBroken(t, brokenStatuses)
	for _, status := range []int{0, 99, 100, 199, 600, 999, -200} {
		assert.ErrorIs(t, response.Check(status, nil), response.ErrMalformed)
	}
}

// unknownEnds are responses whose end can't be known, or that end before it.
var unknownEnds = map[string]string{
	"length and chunks":                       ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks and length":                       ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":                      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks twice":                            ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"another encoding":                        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"identity":                                ok + "Transfer-Encoding: identity\r\n\r\nok",
	"empty encoding":                          ok + "Transfer-Encoding:\r\n\r\nok",
	"encoding behind a byte":                  ok + "Transfer-Encoding: \x0bchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"two lengths":                             ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
	"list of lengths":                         ok + "Content-Length: 2, 2\r\n\r\nok",
	"length with a sign":                      ok + "Content-Length: +2\r\n\r\nok",
	"negative length":                         ok + "Content-Length: -1\r\n\r\nok",
	"empty length":                            ok + "Content-Length:\r\n\r\nok",
	"length in hexadecimal":                   ok + "Content-Length: 0x2\r\n\r\nok",
	"length with a fraction":                  ok + "Content-Length: 2.0\r\n\r\nok",
	"length over 64 bits":                     ok + "Content-Length: 18446744073709551618\r\n\r\nok",
	"length of a body where none is allowed":  "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
	"chunks where no body is allowed":         "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"interim response with a length":          "HTTP/1.1 103 Early Hints\r\nContent-Length: 80\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"interim response with chunks":            "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"shorter than its length":                 ok + "Content-Length: 3\r\n\r\nok",
	"no last chunk":                           ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"last chunk without its line":             ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	"last chunk with half of its line":        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r",
	"trailer that stops short":                ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n",
	"trailer that is no field":                ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nno field\r\n\r\n",
	"chunk that stops short":                  ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nok",
	"chunk longer than its size":              ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
	"size that is no number":                  ok + "Transfer-Encoding: chunked\r\n\r\nx\r\nok\r\n0\r\n\r\n",
	"size with a sign":                        ok + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
	"size with a prefix":                      ok + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
	"size over 64 bits":                       ok + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
	"no size":                                 ok + "Transfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
	"chunk line that ends with LF":            ok + "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
	"head that stops short":                   ok + "Content-Length: 2\r\n",
	"head that stops short, no end of a line": ok + "Content-Length: 2",
	"empty":                  "",
	"interim response alone": "HTTP/1.1 100 Continue\r\n\r\n",
}

// TestResponsesOfUnknownEndAreBroken guards against taking for whole what can't be known to be.
func TestResponsesOfUnknownEndAreBroken(t *testing.T) { assertBroken(t, unknownEnds) }

// FuzzResponse: what passes for a response is one by its head, and a response that ends by itself is not whole if any of its end is
// missing.
func FuzzResponse(f *testing.F) {
	for _, shapes := range []map[string]string{wholeResponses, brokenFields, brokenStatuses, unknownEnds} {
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
