package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

// BenchmarkRequest is what a request costs, its client included: the time, and the allocations of both.
func BenchmarkRequest(b *testing.B) {
	RouteLogs(&log.Logger{Level: log.PanicLevel})
	for _, size := range []int{0, 800, 100_000, 1 << 20} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			s, err := Start(Options{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			raw := []byte(post(strings.Repeat("x", size), "A: b", "C: d", "E: f"))
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(raw); err != nil {
					b.Fatal(err)
				}
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, res.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
