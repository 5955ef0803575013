package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

const (
	testVMBytes = 8 << 20
	// testLarge is a body of which the memory for requests holds two.
	testLarge = 550_000
)

func newMemory() *vmmemory.Memory { return vmmemory.New(testVMBytes, DefaultReadTimeout) }

// awaitFree waits until no request holds memory.
func awaitFree(t *testing.T, m *vmmemory.Memory) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); m.Held() != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes held", m.Held())
	}
}

func announce(t *testing.T, addr string, length, sent int) net.Conn {
	t.Helper()
	c := dial(t, addr)
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	assert.NilError(t, err)
	return c
}

// TestBodiesBeyondMemoryAreRejected guards against bodies of legal size that together fill the memory, and against one of them that
// was begun and can't be finished.
func TestBodiesBeyondMemoryAreRejected(t *testing.T) {
	m := newMemory()
	addr := start(t, Options{Memory: m}, echo)
	begun := []net.Conn{announce(t, addr, testLarge, 10), announce(t, addr, testLarge, 10)}
	for m.Held() < 2*testLarge {
		time.Sleep(time.Millisecond)
	}
	res, _ := send(t, announce(t, addr, testLarge, 10), "POST", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Check(t, res.Close && res.Header.Get("Retry-After") != "")
	res, body := send(t, dial(t, addr), "POST", post("small"))
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "small")
	for _, c := range begun {
		res, body := send(t, c, "POST", strings.Repeat("x", testLarge-10))
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, body, strings.Repeat("x", testLarge))
	}
	awaitFree(t, m)
}

// TestEvictedRequest guards against a request that gives way and is handled all the same, or whose client learns nothing.
func TestEvictedRequest(t *testing.T) {
	m := newMemory()
	handled := false
	o := Options{Memory: m, Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true })}
	s, err := Start(o)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(t.Context()) })
	c := announce(t, s.Addr(), testLarge, 10)
	for m.Held() < testLarge {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	for victim := range s.conns {
		victim.claim.Release()
		victim.evict()
	}
	s.mu.Unlock()
	r := bufio.NewReader(c)
	res, _ := receive(t, r, "POST")
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Check(t, res.Close)
	_, err = r.ReadByte()
	assert.Check(t, err != nil)
	assert.Check(t, !handled)
	awaitFree(t, m)
}

// TestMemoryIsFreed guards against memory that stays taken after the connections are closed, whatever was sent over them in whatever
// pieces, and against more than the budget being held meanwhile.
func TestMemoryIsFreed(t *testing.T) {
	requests := []string{
		post("whole"), post(strings.Repeat("x", 100_000)), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", post("one") + post("two") + post("three"),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsom", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\npart",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000000\r\n\r\npart", "not a request\r\n\r\n", "GET / HTTP/1.1\r\nA: b",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx", strings.Repeat(post("ahead"), 2*maxRequestsAhead),
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\nsome text",
		"GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
	}
	for seed := range uint64(8) {
		m := newMemory()
		addr := start(t, Options{Memory: m}, echo)
		var clients sync.WaitGroup
		for i := range uint64(40) {
			clients.Go(func() {
				r := rand.New(rand.NewPCG(seed, i))
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				go func() { _, _ = io.Copy(io.Discard, c) }()
				for range 5 {
					for data := requests[r.IntN(len(requests))]; len(data) > 0; {
						n := min(1+r.IntN(1<<r.IntN(17)), len(data))
						if _, err := io.WriteString(c, data[:n]); err != nil {
							return
						}
						data = data[n:]
						assert.Check(t, m.Held() <= testVMBytes/4)
					}
				}
			})
		}
		clients.Wait()
		awaitFree(t, m)
	}
}

// TestRequestsAheadAreBounded guards against requests without number on one connection whose answers are not read, and against
// answers that a client loses which sends no more than the bound ahead.
func TestRequestsAheadAreBounded(t *testing.T) {
	for _, tc := range []struct {
		name          string
		ahead, answer int
	}{
		{"within the bound", maxRequestsAhead, maxRequestsAhead},
		{"beyond the bound", 3 * maxRequestsAhead, maxRequestsAhead},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMemory()
			proceed := make(chan struct{})
			addr := start(t, Options{Memory: m}, func(w http.ResponseWriter, r *http.Request) {
				<-proceed
				echo(w, r)
			})
			c := dial(t, addr)
			_, err := io.WriteString(c, strings.Repeat(post("ahead"), tc.ahead)+"GET")
			assert.NilError(t, err)
			for m.Held() < int64(tc.answer)*requestBytes {
				time.Sleep(time.Millisecond)
			}
			close(proceed)
			r := bufio.NewReader(c)
			for range tc.answer {
				_, body := receive(t, r, "POST")
				assert.Equal(t, body, "ahead")
			}
			if tc.ahead > tc.answer {
				_, err := r.ReadByte()
				assert.Check(t, err == io.EOF, "%v", err)
			}
		})
	}
}

// TestRequestsInPieces guards against requests that are taken for others when they come in pieces: bodies with lengths and in chunks,
// one after the other on a connection, are answered in order with their own bodies.
func TestRequestsInPieces(t *testing.T) {
	addr := start(t, Options{Memory: newMemory()}, echo)
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 71))
		var raw strings.Builder
		var bodies []string
		for range 1 + r.IntN(6) {
			body := strings.Repeat(string(rune('a'+r.IntN(26)))+" \r\n\r\n", r.IntN(1<<r.IntN(12)))
			bodies = append(bodies, body)
			if r.IntN(2) == 0 {
				raw.WriteString(post(body))
				continue
			}
			raw.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for len(body) > 0 {
				n := 1 + r.IntN(len(body))
				fmt.Fprintf(&raw, "%x\r\n%s\r\n", n, body[:n])
				body = body[n:]
			}
			raw.WriteString("0\r\n\r\n")
		}
		c := dial(t, addr)
		assert.NilError(t, c.(*net.TCPConn).SetNoDelay(true))
		go func() {
			for data := raw.String(); len(data) > 0; {
				n := min(1+r.IntN(1<<r.IntN(14)), len(data))
				if _, err := io.WriteString(c, data[:n]); err != nil {
					return
				}
				data = data[n:]
			}
		}()
		answers := bufio.NewReader(c)
		for i, want := range bodies {
			_, got := receive(t, answers, "POST")
			assert.Assert(t, got == want, "seed %d, answer %d: %d bytes, want %d", seed, i, len(got), len(want))
		}
	}
}

// TestUnreadResponsesCount guards against responses that their clients don't read and nobody counts: requests find less room meanwhile,
// and the room is free once the connections are closed.
func TestUnreadResponsesCount(t *testing.T) {
	m := newMemory()
	addr := start(t, Options{Memory: m, MaxWriteBuffer: 1 << 20}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 20<<20))
	})
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for m.Held() < 900_000 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, c.Close())
	awaitFree(t, m)
}

// FuzzConnections sends any bytes in any pieces over two connections at once: no more than the budget is held meanwhile, and nothing once
// both are closed.
func FuzzConnections(f *testing.F) {
	for _, seed := range []string{
		post("whole"), post(strings.Repeat("x", 40_000)), strings.Repeat(post("ahead"), maxRequestsAhead+1), "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nsome\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 90000\r\n\r\npart",
	} {
		f.Add([]byte(seed), []byte(post("other")), 7)
	}
	m := newMemory()
	s, err := Start(Options{Memory: m, Addr: "127.0.0.1:0", Handler: http.HandlerFunc(echo)})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(s.Close)
	f.Fuzz(func(t *testing.T, first, second []byte, piece int) {
		piece = max(piece, 1+len(first)/20)
		var conns []net.Conn
		for range 2 {
			conns = append(conns, dial(t, s.Addr()))
		}
		for _, data := range [][]byte{first, second} {
			for c := conns[0]; len(data) > 0; {
				n := min(piece, len(data))
				if _, err := c.Write(data[:n]); err != nil {
					break
				}
				data = data[n:]
				assert.Check(t, m.Held() <= testVMBytes/4)
				conns[0], conns[1] = conns[1], conns[0]
			}
		}
		for _, c := range conns {
			_ = c.Close()
		}
		awaitFree(t, m)
	})
}
