// Package response decides what is an HTTP/1.1 response, and where it ends, for all that read responses of other processes. Bytes
// that are no response, and a response whose end can't be known, are errors. Heads and bodies are parsed by net/http.
package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

// readBuffer is the size of a connection's read buffer: most responses of plain
// services fit, and thousands of idle connections use little memory.
const readBuffer = 4 << 10

// Bounds of what a response may cost before it is known to be one. Servers in trouble send bytes without end; past a bound
// reading fails at once.
const (
	// maxHeadBytes bounds the head of a response and the interim responses before it. Servers send some hundred bytes, and
	// callers may send 16 to 32 KiB.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response to another request, with its framing. It is read only to reuse the
	// connection.
	maxSkippedBytes = 64 << 10
)

// errNoResponse means that more bytes came than a response may begin with.
var errNoResponse = errors.New("no response within the bound")

// Framing is how a response marks the end of its body.
type Framing string

// Framings of bodies. FramedByConnection has neither a length nor chunks: the body ends with its connection, so that a
// server that breaks it off in an orderly way can't be told from one that has finished.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// FramingOf returns the framing of a response. One that has no body, such as the response to HEAD, ends with its head.
func FramingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return FramedByChunks
	case res.ContentLength >= 0, res.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByConnection
	}
}

// Reader reads the responses that arrive on one connection. It belongs to one goroutine.
type Reader struct {
	br    *bufio.Reader
	limit *readLimit
}

// NewReader returns a reader of responses from src.
func NewReader(src io.Reader) *Reader {
	limit := &readLimit{Reader: src}
	return &Reader{br: bufio.NewReaderSize(limit, readBuffer), limit: limit}
}

// Next reads the head of the next final response; method is that of its request. The body returns io.EOF only at its end,
// which a body that is framed by its connection has where reading from the connection returns io.EOF.
func (r *Reader) Next(method string) (*http.Response, error) {
	r.limit.begin(maxHeadBytes)
	defer r.limit.end()
	for {
		head, err := r.peekHead()
		if err != nil {
			return nil, err
		}
		if err := checkHead(string(head)); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(r.br, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Join(ErrMalformed, err)
		}
		if res.StatusCode >= minFinalStatus {
			if FramingOf(res) == FramedByChunks {
				res.Body = &checkedBody{ReadCloser: res.Body, res: res}
			}
			return res, nil
		}
	}
}

// Skip reads the body of a response to another request, so that the next response can be read.
func (r *Reader) Skip(res *http.Response) error {
	r.limit.begin(maxSkippedBytes)
	defer r.limit.end()
	_, err := io.Copy(io.Discard, res.Body)
	return err
}

// Idle reports whether nothing was read beyond the last response, whose body has ended. It returns the memory that a long head took.
func (r *Reader) Idle() bool {
	if r.br.Buffered() > 0 {
		return false
	}
	if r.br.Size() > readBuffer {
		r.br = bufio.NewReaderSize(r.limit, readBuffer)
	}
	return true
}

// peekHead returns the next head with the empty line after it, which stays to be read.
func (r *Reader) peekHead() ([]byte, error) {
	for lines := 0; ; {
		text, _ := r.br.Peek(r.br.Buffered())
		if !mayBeResponse(text) {
			return nil, malformed("status line %q", quoted(string(text)))
		}
		var whole bool
		if lines, whole = skipLines(text, lines); whole {
			return text[:lines], nil
		}
		if len(text) == r.br.Size() {
			r.grow()
		}
		if _, err := r.br.Peek(len(text) + 1); err != nil {
			return nil, atEnd(len(text), err)
		}
	}
}

// atEnd returns the error of a connection that ends after so many bytes of a head.
func atEnd(bytes int, err error) error {
	if err == io.EOF && bytes > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow lets a head be longer than the usual buffer.
func (r *Reader) grow() {
	text, _ := r.br.Peek(r.br.Buffered())
	src := io.MultiReader(bytes.NewReader(slices.Clone(text)), r.limit)
	r.br = bufio.NewReaderSize(src, maxHeadBytes+2*readBuffer)
}

// mayBeResponse reports whether a response may begin with text.
func mayBeResponse(text []byte) bool {
	n := min(len(text), len(protocolPrefix))
	return string(text[:n]) == protocolPrefix[:n]
}

// skipLines returns the length of the lines of a head that have arrived whole, of which so many bytes were skipped before, and whether
// the empty line that ends it is among them.
func skipLines(text []byte, skipped int) (length int, whole bool) {
	for {
		n := bytes.IndexByte(text[skipped:], '\n')
		if n < 0 {
			return skipped, false
		}
		line := text[skipped : skipped+n]
		skipped += n + 1
		if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
			return skipped, true
		}
	}
}

// checkedBody is a body in chunks whose trailer is checked once it has been read.
type checkedBody struct {
	io.ReadCloser
	res *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := checkFields(b.res.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// readLimit reads from a connection, and fails once more than left bytes were read while it is limited. It belongs to the
// goroutine that reads.
type readLimit struct {
	io.Reader
	limited bool
	left    int
}

// begin limits what is read to a number of bytes and what a buffer reads beyond them, until end.
func (l *readLimit) begin(limit int) { l.limited, l.left = true, limit+readBuffer }

func (l *readLimit) end() { l.limited = false }

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errNoResponse
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ErrTooLarge means that a body is larger than its reader accepts.
var ErrTooLarge = errors.New("body too large")

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = ErrTooLarge
	}
	return data, err
}
