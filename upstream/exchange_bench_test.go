package upstream_test

import (
	"bufio"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// BenchmarkExchange is one request on a kept connection, with a response as plain services send it.
func BenchmarkExchange(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: application/json\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\nKeep-Alive: timeout=60\r\nX-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok"
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = lis.Close() })
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(conn)
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			if line == "body\n" {
				_, _ = conn.Write([]byte(answer))
			}
		}
	}()
	pool := upstream.New(upstream.Options{})
	r := request()
	r.Body = []byte("body\n")
	b.ReportAllocs()
	for b.Loop() {
		body, err := do(b.Context(), pool, lis.Addr().String(), r)
		if err != nil || body != "ok" {
			b.Fatal(body, err)
		}
	}
	assert.Equal(b, pool.Dialed(), int64(1))
}
