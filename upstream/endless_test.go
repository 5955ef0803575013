package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// endless writes a start and then a pattern until its peer closes the connection, and sends how many bytes were taken.
func endless(c net.Conn, start, pattern string, taken chan<- int) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	total := 0
	for text := start + strings.Repeat(pattern, 1000); ; text = strings.Repeat(pattern, 1000) {
		n, err := io.WriteString(c, text)
		total += n
		if err != nil {
			taken <- total
			return
		}
	}
}

// TestAnswerWithoutEnd guards against reading bytes that are no answer until the request's time limit, and against holding a line of
// them in memory: the connection is closed after 160 KiB, and the request counts as one that may have run.
func TestAnswerWithoutEnd(t *testing.T) {
	const (
		bound = 160 << 10
		other = "HTTP/1.1 200 OK\r\nId: 0\r\n"
	)
	for _, c := range []struct{ name, start, pattern string }{
		{"no line end", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nId: ", "1"},
		{"header lines", "HTTP/1.1 200 OK\r\nId: 1\r\n", "a: b\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"lines of an interim answer", "HTTP/1.1 103 Early Hints\r\n", "a: b\r\n"},
		{"body of another answer, to the end of its connection", other + "\r\n", "x"},
		{"body of another answer, long", other + "Content-Length: 1000000000\r\n\r\n", "x"},
		{"chunks of another answer", other + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension of another answer", other + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer of another answer", other + "Transfer-Encoding: chunked\r\n\r\n0\r\na: ", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			taken := make(chan int, 1)
			p := upstream.New(upstream.Options{Connect: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go endless(server, c.start, c.pattern, taken)
				return client, nil
			}})
			_, err := p.Do(t.Context(), "10.0.0.1:1", request())
			assert.Assert(t, err != nil)
			assert.Assert(t, !strings.Contains(err.Error(), upstream.ErrNotSent.Error()), "%v", err)
			n := <-taken
			assert.Assert(t, n <= bound, "%d bytes were read", n)
		})
	}
}
