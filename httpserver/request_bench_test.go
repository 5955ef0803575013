package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
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

// BenchmarkIdleConnections is what a connection at rest takes, its client's end included: the heap and the stacks of 4,000 that have had
// a request each.
func BenchmarkIdleConnections(b *testing.B) {
	RouteLogs(&log.Logger{Level: log.PanicLevel})
	const conns = 4000
	for b.Loop() {
		s, err := Start(Options{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
		if err != nil {
			b.Fatal(err)
		}
		before := memoryInUse()
		var open []net.Conn
		for range conns {
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, c)
			if _, err := c.Write([]byte(post("abc"))); err != nil {
				b.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1000)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/conns, "B/conn")
		for _, c := range open {
			_ = c.Close()
		}
		s.Close()
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
