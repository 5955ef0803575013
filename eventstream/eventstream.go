// Package eventstream splits streams of server-sent events, as the HTML standard defines them, into events. Events stay
// the bytes that arrived. It is safe for concurrent use.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
)

// maxEvent bounds one event.
const maxEvent = 1 << 20

// contentType is the media type of a stream of events.
const contentType = "text/event-stream"

var (
	// ErrTruncated means that a stream ended inside an event: it has been broken off.
	ErrTruncated = fmt.Errorf("event stream ended inside an event: %w", io.ErrUnexpectedEOF)
	// ErrTooLarge means that an event is larger than one mebibyte.
	ErrTooLarge = errors.New("event too large")
)

// CheckBody returns ErrTruncated if a body with that Content-Type is a stream of events and ends inside one.
func CheckBody(typeHeader string, body []byte) error {
	t, _, err := mime.ParseMediaType(typeHeader)
	if err == nil && t == contentType && Truncated(body) {
		return ErrTruncated
	}
	return nil
}

// Read reads up to the empty line that ends an event. At the end of the stream it returns the rest: with io.EOF if that
// is no part of an event, and with ErrTruncated otherwise.
func Read(br *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := readLine(br, maxEvent-len(event))
		event = append(event, line...)
		if err == io.EOF && Truncated(event) {
			return event, ErrTruncated
		}
		if errors.Is(err, ErrTooLarge) {
			return nil, err
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// readLine reads a line of at most limit bytes.
func readLine(br *bufio.Reader, limit int) (line []byte, err error) {
	for {
		piece, err := br.ReadSlice('\n')
		line = append(line, piece...)
		if len(line) > limit {
			return nil, ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// Truncated reports whether a stream, or the rest of one, ends inside an event: without the empty line after it. Lines
// end with LF, CR LF or CR.
func Truncated(stream []byte) bool {
	text := bytes.TrimRight(stream, "\r\n")
	ends := stream[len(text):]
	lines := bytes.Count(ends, []byte{'\n'})
	if lines == 0 {
		lines = len(ends)
	}
	return len(text) > 0 && lines < 2
}

// Buffered reports whether the next event can be read without waiting.
func Buffered(br *bufio.Reader) bool {
	next, err := br.Peek(br.Buffered())
	return err == nil && (bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n")))
}

// ID returns the ID of an event, and whether it has one.
func ID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
