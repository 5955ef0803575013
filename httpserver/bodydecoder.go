package httpserver

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio/nbhttp"
)

var (
	errChunk   = merry.Sentinel("malformed chunk")
	errFraming = merry.Sentinel("chunk extensions or trailers too long")
)

// bodyState is the part of a body that a bodyDecoder expects next.
type bodyState int

const (
	bodyData bodyState = iota
	chunkSize
	chunkExtension
	chunkSizeLF
	chunkDataCR
	chunkDataLF
	trailerStart
	trailerLine
	trailerLF
	bodyEndLF
	bodyEnd
)

// maxChunkDigits is the number of hexadecimal digits of the largest size of a chunk.
const maxChunkDigits = 15

// bodyDecoder takes a body from the bytes of a connection as they arrive. nbhttp's parser holds an announced body, or a chunk, until
// it is whole, and copies it with each piece that arrives. Trailers are dropped.
type bodyDecoder struct {
	state   bodyState
	chunked bool
	// left is the number of bytes of the body, or of its current chunk, that are still to come. digits counts those of the size of
	// a chunk.
	left   int64
	digits int
	// max bounds the bytes of the body, taken counts them.
	max, taken int64
	// framing counts the bytes of chunk extensions and trailers, which maxFraming bounds.
	framing, maxFraming int
}

// newBodyDecoder returns the decoder of a body of some length, or of a chunked one.
func newBodyDecoder(length int64, chunked bool, max int64, maxFraming int) bodyDecoder {
	d := bodyDecoder{state: bodyData, left: length, chunked: chunked, max: max, maxFraming: maxFraming}
	if chunked {
		d.state, d.left = chunkSize, 0
	}
	return d
}

func (d *bodyDecoder) whole() bool { return d.state == bodyEnd }

// decode takes bytes of the body from the start of data, and moves them together there. It returns those, and how many bytes of data
// it has used; it uses all unless the body has ended. nbhttp.ErrTooLong means that the body is over its bound, or can't be
// whole within it.
func (d *bodyDecoder) decode(data []byte) (body []byte, used int, err error) {
	kept := 0
	for used < len(data) && !d.whole() {
		if d.state == bodyData {
			n := int(min(d.left, int64(len(data)-used)))
			kept += copy(data[kept:], data[used:used+n])
			used += n
			d.taken += int64(n)
			if d.left -= int64(n); d.left == 0 {
				d.endData()
			}
			continue
		}
		c := data[used]
		used++
		if err := d.step(c); err != nil {
			return nil, used, err
		}
	}
	return data[:kept], used, nil
}

func (d *bodyDecoder) endData() {
	if d.chunked {
		d.state = chunkDataCR
		return
	}
	d.state = bodyEnd
}

// step takes one byte of the framing of chunks.
func (d *bodyDecoder) step(c byte) error {
	switch d.state {
	case chunkSize:
		return d.sizeByte(c)
	case chunkExtension:
		if c == '\r' {
			d.state = chunkSizeLF
			return nil
		}
		return d.framingByte(c)
	case chunkSizeLF:
		return d.endSize(c)
	case chunkDataCR:
		return d.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		d.digits = 0
		return d.expect(c, '\n', chunkSize)
	case trailerStart:
		if c == '\r' {
			d.state = bodyEndLF
			return nil
		}
		d.state = trailerLine
		return d.framingByte(c)
	case trailerLine:
		if c == '\r' {
			d.state = trailerLF
			return nil
		}
		return d.framingByte(c)
	case trailerLF:
		return d.expect(c, '\n', trailerStart)
	default:
		return d.expect(c, '\n', bodyEnd)
	}
}

func (d *bodyDecoder) expect(c, want byte, next bodyState) error {
	if c != want {
		return errChunk
	}
	d.state = next
	return nil
}

// sizeByte takes one byte of the size of a chunk.
func (d *bodyDecoder) sizeByte(c byte) error {
	if digit := hexDigit(c); digit >= 0 {
		if d.digits++; d.digits > maxChunkDigits {
			return errChunk
		}
		d.left = d.left<<4 | int64(digit)
		return nil
	}
	switch {
	case d.digits == 0:
		return errChunk
	case d.left > d.max-d.taken:
		return nbhttp.ErrTooLong
	case c == '\r':
		d.state = chunkSizeLF
		return nil
	case c == ';' || c == ' ' || c == '\t':
		d.state = chunkExtension
		return d.framingByte(c)
	default:
		return errChunk
	}
}

// endSize takes the last byte of the line with the size of a chunk.
func (d *bodyDecoder) endSize(c byte) error {
	if d.left == 0 {
		return d.expect(c, '\n', trailerStart)
	}
	return d.expect(c, '\n', bodyData)
}

// framingByte takes one byte of an extension or a trailer, in which no line may end.
func (d *bodyDecoder) framingByte(c byte) error {
	if c == '\n' {
		return errChunk
	}
	if d.framing++; d.framing > d.maxFraming {
		return errFraming
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	default:
		return -1
	}
}

// statusOf returns the status with which a request is rejected whose bytes have led to an error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, nbhttp.ErrTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errFraming):
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusBadRequest
	}
}
