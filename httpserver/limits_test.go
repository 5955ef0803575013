package httpserver

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitsThatChange guards against limits that are not in force as they are stated, or not on connections that are open when they
// change.
func TestLimitsThatChange(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	addr := start(t, Options{Limits: func() Limits { return *limits.Load() }}, echo)
	reconnect := func() net.Conn { return dial(t, addr) }
	c := reconnect()
	for _, tc := range []struct {
		name   string
		limits Limits
		raw    string
		status int
	}{
		{"no limits", Limits{}, post(strings.Repeat("x", 5000)), http.StatusOK},
		{"within all", Limits{HeaderBytes: 200, BodyBytes: 5000}, post(strings.Repeat("x", 5000)), http.StatusOK},
		{"first line not counted with the headers", Limits{HeaderBytes: 100}, "GET /" + strings.Repeat("x", 80) + " HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
		{"body too large", Limits{BodyBytes: 4999}, post(strings.Repeat("x", 5000))[:200], http.StatusRequestEntityTooLarge},
		{"chunks too large", Limits{BodyBytes: 10}, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nsome text\r\n2\r\n", http.StatusRequestEntityTooLarge},
		{"headers too long", Limits{HeaderBytes: 100}, "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 100) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"headers too long, without end", Limits{HeaderBytes: 100}, "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 100), http.StatusRequestHeaderFieldsTooLarge},
		{"first line too long", Limits{HeaderBytes: 100}, "GET /" + strings.Repeat("x", 200), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limits.Store(&tc.limits)
			res, _ := send(t, c, "POST", tc.raw)
			assert.Equal(t, res.StatusCode, tc.status)
			if tc.status != http.StatusOK {
				c = reconnect()
			}
		})
	}
}

// TestTimesThatChange is the same for times: a connection is closed once it has been idle for as long as is stated now, and a head
// that takes too long ends it.
func TestTimesThatChange(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits Limits
		begin  string
	}{
		{"idle", Limits{IdleTimeout: 50 * time.Millisecond}, ""},
		{"head", Limits{HeaderTimeout: 50 * time.Millisecond}, "GET / HTTP/1.1\r\nA"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var limits atomic.Pointer[Limits]
			limits.Store(&Limits{})
			addr := start(t, Options{Limits: func() Limits { return *limits.Load() }}, echo)
			c := dial(t, addr)
			limits.Store(&tc.limits)
			_, body := send(t, c, "POST", post("abc"))
			assert.Equal(t, body, "abc")
			_, err := io.WriteString(c, tc.begin)
			assert.NilError(t, err)
			_, err = c.Read(make([]byte, 1))
			var timeout net.Error
			assert.Check(t, err != nil && !asTimeoutError(err, &timeout), "connection still open")
		})
	}
}

// TestBusyConnectionIsKept guards against a connection with a request in progress, or one that was in use just now, that is closed for
// a new one, and against connections without number.
func TestBusyConnectionIsKept(t *testing.T) {
	proceed := make(chan struct{})
	s, err := Start(Options{MaxOpen: 3, Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-proceed
		}
		echo(w, r)
	})})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(t.Context()) })
	addr := s.Addr()
	// A client has its answer before the server knows that it was sent.
	awaitOneBusy := func() {
		for busy := 0; busy != 1; time.Sleep(time.Millisecond) {
			busy = 0
			s.mu.Lock()
			for c := range s.conns {
				if c.busy() {
					busy++
				}
			}
			s.mu.Unlock()
		}
	}
	silent, busy := dial(t, addr), dial(t, addr)
	_, err = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	used := dial(t, addr)
	for range 5 {
		_, body := send(t, used, "POST", post("abc"))
		assert.Equal(t, body, "abc")
		awaitOneBusy()
		_, body = send(t, dial(t, addr), "POST", post("new"))
		assert.Equal(t, body, "new")
		awaitOneBusy()
	}
	_, err = silent.Read(make([]byte, 1))
	var timeout net.Error
	assert.Check(t, err != nil && !asTimeoutError(err, &timeout), "the silent connection is still open")
	close(proceed)
	res, _ := send(t, busy, "GET", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
