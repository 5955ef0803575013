package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestLateBody: a long body is late once it has been coming for some time and more of it waits; one of a slow client is not.
func TestLateBody(t *testing.T) {
	c := &conn{server: &Server{}}
	c.moreWaits.Store(true)
	c.expect(longBodyBytes)
	now := time.Now()
	assert.Assert(t, !c.isBodyLate(now.Add(time.Hour)), "not long")
	c.expect(longBodyBytes + 1)
	assert.Assert(t, !c.isBodyLate(now), "just begun")
	assert.Assert(t, c.isBodyLate(now.Add(time.Hour)))
	c.moreWaits.Store(false)
	assert.Assert(t, !c.isBodyLate(now.Add(time.Hour)), "nothing waits")
	c.moreWaits.Store(true)
	c.expect(0)
	assert.Assert(t, !c.isBodyLate(now.Add(time.Hour)), "complete")
	assert.Equal(t, c.server.longBodies.Load(), int64(0))
}

// TestBodiesAreForgotten: a long body no longer counts once it was received, or its connection closed.
func TestBodiesAreForgotten(t *testing.T) {
	s, err := Start(Options{Name: "test", Addr: "127.0.0.1:0", Handler: http.HandlerFunc(echo)})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	awaitLong := func(n int64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := s.longBodies.Load(); got != n {
				return poll.Continue("%d long bodies", got)
			}
			return poll.Success()
		})
	}
	begin := func() io.ReadWriteCloser {
		c := dial(t, s.Addr())
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\npart", 2*longBodyBytes)
		assert.NilError(t, err)
		return c
	}
	closed, completed := begin(), begin()
	awaitLong(2)
	assert.NilError(t, closed.Close())
	awaitLong(1)
	_, err = completed.Write(make([]byte, 2*longBodyBytes-len("part")))
	assert.NilError(t, err)
	awaitLong(0)
}

// TestFirstRequestIsReported: what accepts a connection learns when its first request was received, or that it was closed before.
func TestFirstRequestIsReported(t *testing.T) {
	var received atomic.Int64
	accept := func() (func(), bool) { return func() { received.Add(1) }, true }
	addr := start(t, Options{Accept: accept}, echo)
	served, closed := dial(t, addr), dial(t, addr)
	for range 2 {
		_, body := send(t, served, http.MethodPost, post("abc"))
		assert.Equal(t, body, "abc")
		assert.Equal(t, received.Load(), int64(1))
	}
	_, err := io.WriteString(closed, "POST / HTTP/1.1\r\n")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if received.Load() < 2 {
			return poll.Continue("the closed connection is not reported")
		}
		return poll.Success()
	})
}
