package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/upstream"
)

const ok = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// script is a server's behaviour on one connection, which is closed when it returns.
type script func(t *testing.T, c net.Conn, br *bufio.Reader)

// readRequest reads one request; nil after an error.
func readRequest(t *testing.T, br *bufio.Reader) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

func send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// respondWith sends the next text in response to each request on the connection.
func respondWith(texts ...string) script {
	return func(t *testing.T, c net.Conn, br *bufio.Reader) {
		for _, text := range texts {
			if readRequest(t, br) == nil {
				return
			}
			send(c, text)
		}
		_, _ = br.ReadByte()
	}
}

// serve runs a server that handles each connection with the next script, and all further
// ones with the last script; conns counts the connections.
func serve(t *testing.T, scripts ...script) (addr string, conns func() int) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	opened := make(chan struct{}, 1000)
	go func() {
		for i := 0; ; i++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			opened <- struct{}{}
			go func() {
				defer func() { _ = c.Close() }()
				scripts[min(i, len(scripts)-1)](t, c, bufio.NewReader(c))
			}()
		}
	}()
	return lis.Addr().String(), func() int { return len(opened) }
}

func request() *upstream.Request {
	return &upstream.Request{
		Method: "POST", Target: "/p?q=%2F", Host: "h.example", Header: http.Header{"X": {"1"}}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	}
}

// do sends a request and reads the complete response.
func do(ctx context.Context, p *upstream.Pool, addr string, r *upstream.Request) (string, error) {
	res, err := p.Do(ctx, addr, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer, want string
		fails              bool
		// reused is whether a second request uses the same connection.
		reused bool
	}{
		{"whole", ok, "ok", false, true},
		{"chunked", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, true},
		{"server asks to close", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"bytes after the response", ok + "more", "ok", false, false},
		{"delayed response to another request first", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother" + ok, "ok", false, true},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok, "ok", false, true},
		{"only responses to other requests", strings.Repeat("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n", 3), "", true, false},
		{"response that is not HTTP", "garbage\r\n\r\n", "", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, conns := serve(t, respondWith(c.answer, ok), respondWith(ok))
			p := upstream.New(upstream.Options{})
			got, err := do(t.Context(), p, addr, request())
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, got, c.want)
			assert.Assert(t, !errors.Is(err, upstream.ErrNotSent), "it was sent")
			got, err = do(t.Context(), p, addr, request())
			assert.NilError(t, err)
			assert.Equal(t, got, "ok")
			assert.Equal(t, conns() == 1, c.reused)
		})
	}
}

func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"shorter than its length":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nok",
		"ends within a chunk":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"ends before the last chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"ends within the head":       "HTTP/1.1 200 OK\r\nId:",
		"nothing":                    "",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				send(c, text)
			})
			_, err := do(t.Context(), upstream.New(upstream.Options{}), addr, request())
			assert.Assert(t, err != nil && !errors.Is(err, upstream.ErrNotSent), "%v", err)
		})
	}
}

// TestAnswerWithoutLength: a response without a length ends with its connection, and is complete
// only if the connection was closed and not reset.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		received := make(chan struct{})
		addr, _ := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			send(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")
			<-received
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		res, err := upstream.New(upstream.Options{}).Do(t.Context(), addr, request())
		assert.NilError(t, err)
		part := make([]byte, 2)
		_, err = io.ReadFull(res.Body, part)
		assert.NilError(t, err)
		close(received)
		_, err = res.Body.Read(part)
		assert.Equal(t, err == io.EOF, !reset, "%v", err)
	}
}

func TestRequestOnTheWire(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr, _ := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		got <- readRequest(t, br)
		send(c, ok)
	})
	_, err := do(t.Context(), upstream.New(upstream.Options{}), addr, request())
	assert.NilError(t, err)
	r := <-got
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("X")+" "+string(body), "POST /p?q=%2F h.example 1 body")
}

func TestNotSent(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := lis.Addr().String()
	assert.NilError(t, lis.Close())
	_, err = do(t.Context(), upstream.New(upstream.Options{}), addr, request())
	assert.ErrorIs(t, err, upstream.ErrNotSent)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	addr, _ = serve(t, respondWith(ok))
	_, err = do(ctx, upstream.New(upstream.Options{}), addr, request())
	assert.ErrorIs(t, err, upstream.ErrNotSent)
}

// TestIdleConnectionClosedByServer: such a connection is not reused, since the request would be lost.
func TestIdleConnectionClosedByServer(t *testing.T) {
	closed := make(chan struct{})
	addr, conns := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		send(c, ok)
		_ = c.Close()
		close(closed)
	}, respondWith(ok))
	p := upstream.New(upstream.Options{})
	for range 2 {
		_, err := do(t.Context(), p, addr, request())
		assert.NilError(t, err)
		<-closed
	}
	assert.Equal(t, conns(), 2)
}

func TestKeepAliveTimeoutIsHonoured(t *testing.T) {
	expired := "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"
	addr, conns := serve(t, respondWith(expired, expired))
	p := upstream.New(upstream.Options{})
	for range 2 {
		_, err := do(t.Context(), p, addr, request())
		assert.NilError(t, err)
	}
	assert.Equal(t, conns(), 2)
}

// TestCancelClosesTheConnection: a closed connection signals to the server that the client has cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
	for name, text := range map[string]string{"before the response": "", "within the response": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nok"} {
		t.Run(name, func(t *testing.T) {
			started, closed := make(chan struct{}), make(chan struct{})
			addr, _ := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				send(c, text)
				close(started)
				_, _ = br.ReadByte()
				close(closed)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-started
				cancel()
			}()
			_, err := do(ctx, upstream.New(upstream.Options{}), addr, request())
			assert.Assert(t, err != nil && !errors.Is(err, upstream.ErrNotSent))
			<-closed
		})
	}
}

// TestEarlyAnswerToLongBody: the server responds before it has read the body and continues
// reading. The rest of the body must reach it, or the connection must be closed.
func TestEarlyAnswerToLongBody(t *testing.T) {
	r := request()
	r.Body = []byte(strings.Repeat("x", 8<<20))
	got := make(chan int64, 1)
	addr, conns := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		head, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		send(c, ok)
		n, err := io.Copy(io.Discard, head.Body)
		if err == nil && n != int64(len(r.Body)) {
			t.Errorf("received a different number of bytes than the body has: %d", n)
		}
		got <- n
	}, respondWith(ok))
	p := upstream.New(upstream.Options{})
	body, err := do(t.Context(), p, addr, r)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	<-got
	_, err = do(t.Context(), p, addr, request())
	assert.NilError(t, err)
	assert.Equal(t, conns(), 2, "the connection is not reused")
}

func TestSweep(t *testing.T) {
	addr, conns := serve(t, respondWith(ok, ok))
	p := upstream.New(upstream.Options{IdleTimeout: time.Hour})
	_, err := do(t.Context(), p, addr, request())
	assert.NilError(t, err)
	p.Sweep(func(string) bool { return true })
	_, err = do(t.Context(), p, addr, request())
	assert.NilError(t, err)
	assert.Equal(t, conns(), 1)
	p.Sweep(func(string) bool { return false })
	_, err = do(t.Context(), p, addr, request())
	assert.NilError(t, err)
	assert.Equal(t, conns(), 2)
	assert.Equal(t, p.Dialed(), int64(2))
}

func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{ok, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 503 x\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/9.9", "\r\n\r\n", ok + ok} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		pool := upstream.New(upstream.Options{Connect: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				readRequest(t, bufio.NewReader(server))
				_, _ = server.Write(answer)
			}()
			return client, nil
		}})
		res, err := pool.Do(t.Context(), "10.0.0.1:1", request())
		if err != nil {
			return
		}
		if res.Header.Get("Id") != "1" {
			t.Error("a response to another request")
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	})
}

// TestRequestIsAdmittedOnItsConnection: a request that is not admitted once there is a connection is not sent, and the next
// one uses the connection.
func TestRequestIsAdmittedOnItsConnection(t *testing.T) {
	addr, conns := serve(t, respondWith(ok))
	pool := upstream.New(upstream.Options{})
	rejected := request()
	errLeft := errors.New("the server has left")
	rejected.Admit = func() error { return errLeft }
	_, err := pool.Do(t.Context(), addr, rejected)
	assert.ErrorIs(t, err, errLeft)
	assert.ErrorIs(t, err, upstream.ErrNotSent)
	res, err := pool.Do(t.Context(), addr, request())
	assert.NilError(t, err)
	_ = res.Body.Close()
	assert.Equal(t, conns(), 1)
}
