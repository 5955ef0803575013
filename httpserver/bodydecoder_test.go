package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
	"gotest.tools/v3/assert"
)

// decodeAll decodes data in pieces, and returns the body, the bytes used and whether it is whole.
func decodeAll(d bodyDecoder, data []byte, piece int) (body []byte, used int, whole bool, err error) {
	data = bytes.Clone(data)
	for used < len(data) && !d.whole() {
		got, n, err := d.decode(data[used:min(used+piece, len(data))])
		if err != nil {
			return body, used, false, err
		}
		body = append(body, got...)
		used += n
	}
	return body, used, d.whole(), nil
}

func TestBodyDecoder(t *testing.T) {
	const limit, framing = 1000, 50
	for _, c := range []struct {
		name, data string
		// length is that of the body, or -1 if it is chunked.
		length int64
		body   string
		rest   string
		short  bool
		err    error
	}{
		{name: "announced", data: "some textGET", length: 9, body: "some text", rest: "GET"},
		{name: "announced, short", data: "some", length: 9, body: "some", short: true},
		{name: "chunks", data: "4\r\nsome\r\n5\r\n text\r\n0\r\n\r\nGET", length: -1, body: "some text", rest: "GET"},
		{name: "no chunk", data: "0\r\n\r\n", length: -1},
		{name: "capital digits, zeros, extensions", data: "000A;a=b;c\r\n0123456789\r\n0 ; x\r\n\r\n", length: -1, body: "0123456789"},
		{name: "trailers", data: "1\r\na\r\n0\r\nA: b\r\nC: d\r\n\r\nGET", length: -1, body: "a", rest: "GET"},
		{name: "chunk, short", data: "4\r\nsom", length: -1, body: "som", short: true},
		{name: "end, short", data: "1\r\na\r\n0\r\n", length: -1, body: "a", short: true},
		{name: "largest", data: "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n0\r\n\r\n", length: -1, body: strings.Repeat("a", 1000)},
		{name: "too large", data: "3e9\r\n", length: -1, err: nbhttp.ErrTooLong},
		{name: "too large together", data: "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n1\r\n", length: -1, err: nbhttp.ErrTooLong},
		{name: "size without end", data: strings.Repeat("0", 100), length: -1, err: errChunk},
		{name: "size that overflows", data: "fffffffffffffffff\r\n", length: -1, err: errChunk},
		{name: "no size", data: "\r\n", length: -1, err: errChunk},
		{name: "sign", data: "+1\r\n", length: -1, err: errChunk},
		{name: "line feed alone", data: "1\na\r\n", length: -1, err: errChunk},
		{name: "line feed in an extension", data: "1;\n1\r\n", length: -1, err: errChunk},
		{name: "line feed in a trailer", data: "0\r\na\n\r\n", length: -1, err: errChunk},
		{name: "longer than its size", data: "1\r\nab\r\n", length: -1, err: errChunk},
		{name: "extension without end", data: "1;" + strings.Repeat("x", 100), length: -1, err: errFraming},
		{name: "trailer without end", data: "0\r\nA:" + strings.Repeat("x", 100), length: -1, err: errFraming},
		{name: "trailers without end", data: "0\r\n" + strings.Repeat("a: b\r\n", 100), length: -1, err: errFraming},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 3, 7, 10_000} {
				d := newBodyDecoder(max(c.length, 0), c.length < 0, limit, framing)
				body, used, whole, err := decodeAll(d, []byte(c.data), piece)
				if c.err != nil {
					assert.Check(t, errors.Is(err, c.err), "%v in pieces of %d", err, piece)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, string(body), c.body)
				assert.Equal(t, whole, !c.short)
				assert.Equal(t, c.data[used:], c.rest)
			}
		})
	}
}

// FuzzBodyDecoder compares the decoding of chunks with that of net/http: what both take for whole is the same body with the same end,
// however it is cut into pieces.
func FuzzBodyDecoder(f *testing.F) {
	for _, seed := range []string{"4\r\nsome\r\n0\r\n\r\nrest", "a;b=c\r\n0123456789\r\n0\r\nA: b\r\n\r\n", "0\r\n\r\n", "ffffffffffffffff\r\n"} {
		f.Add([]byte(seed), 3)
	}
	const limit, framing = 1 << 10, 1 << 8
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(piece, 1)
		body, used, whole, err := decodeAll(newBodyDecoder(0, true, limit, framing), data, piece)
		atOnce, usedAtOnce, wholeAtOnce, errAtOnce := decodeAll(newBodyDecoder(0, true, limit, framing), data, len(data)+1)
		assert.Equal(t, whole, wholeAtOnce)
		assert.Equal(t, err == nil, errAtOnce == nil)
		assert.Check(t, len(body) <= limit)
		if !whole {
			return
		}
		assert.Equal(t, used, usedAtOnce)
		assert.Equal(t, string(body), string(atOnce))
		r := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(data)))
		req, err := http.ReadRequest(r)
		assert.NilError(t, err)
		want, err := io.ReadAll(req.Body)
		if err != nil {
			// net/http refuses some extensions and trailers that are dropped here.
			return
		}
		assert.Equal(t, string(body), string(want))
	})
}
