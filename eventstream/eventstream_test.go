package eventstream_test

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/eventstream"
)

func TestRead(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		events       []string
		rest         string
		err          error
	}{
		{"empty", "", nil, "", io.EOF},
		{"whole", "id: 1\ndata: a\n\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, "", io.EOF},
		{"with CR LF", "data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, "", io.EOF},
		{"with CR", "data: a\r\rdata: b\r\r", nil, "data: a\r\rdata: b\r\r", io.EOF},
		{"blank lines at both ends", "\ndata: a\n\n\n", []string{"\ndata: a\n\n"}, "\n", io.EOF},
		{"in a name", "data: a\n\ni", []string{"data: a\n\n"}, "i", eventstream.ErrTruncated},
		{"in data", "data: a\n\ndata: b", []string{"data: a\n\n"}, "data: b", eventstream.ErrTruncated},
		{"before the empty line", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, "data: b\n", eventstream.ErrTruncated},
		{"before the empty line, with CR LF", "data: a\r\n", nil, "data: a\r\n", eventstream.ErrTruncated},
		{"in the empty line", "data: a\r\n\r", nil, "data: a\r\n\r", eventstream.ErrTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			br := bufio.NewReader(strings.NewReader(c.stream))
			var events []string
			event, err := eventstream.Read(br)
			for ; err == nil; event, err = eventstream.Read(br) {
				events = append(events, string(event))
			}
			assert.DeepEqual(t, events, c.events)
			assert.Equal(t, string(event), c.rest)
			assert.Equal(t, err, c.err)
			assert.Equal(t, eventstream.Truncated([]byte(c.stream)), c.err == eventstream.ErrTruncated)
		})
	}
}

func TestCheckBody(t *testing.T) {
	body := []byte("data: a")
	assert.Equal(t, eventstream.CheckBody("text/event-stream; charset=utf-8", body), eventstream.ErrTruncated)
	assert.NilError(t, eventstream.CheckBody("text/event-stream", []byte("data: a\n\n")))
	assert.NilError(t, eventstream.CheckBody("text/plain", body))
	assert.NilError(t, eventstream.CheckBody("", body))
}

// TestEventWithoutEnd guards against holding a line without end in memory.
func TestEventWithoutEnd(t *testing.T) {
	for name, pattern := range map[string]string{"one line": "x", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			source := &endlessReader{pattern: pattern}
			_, err := eventstream.Read(bufio.NewReader(source))
			assert.ErrorIs(t, err, eventstream.ErrTooLarge)
			assert.Assert(t, source.read <= 1<<20+1<<13, "%d bytes were read", source.read)
		})
	}
}

// endlessReader repeats a pattern.
type endlessReader struct {
	pattern string
	read    int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.pattern[(r.read+i)%len(r.pattern)]
	}
	r.read += len(p)
	return len(p), nil
}
