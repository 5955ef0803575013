package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// TestConnectionsAreShed: while many times the usual number of connections come and the processor is overloaded, some are closed
// unread and counted, and connections are closed after their answers; afterwards all are accepted again.
func TestConnectionsAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		met := metrics.NewSet()
		c := newConnectionLimit(&log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}, met, nil)
		// comes has connections come for some seconds, while the processor is waited for.
		comes := func(seconds, perSecond int, lag time.Duration) (accepted int) {
			step := time.Second / time.Duration(perSecond)
			next := time.Now().Add(c.interval() + lag)
			for range seconds * perSecond {
				time.Sleep(step)
				if received, ok := c.accept(); ok {
					received()
					accepted++
				}
				if now := time.Now(); !now.Before(next) {
					c.begin()
					c.observe(lag)
					next = now.Add(c.interval() + lag)
				}
			}
			return accepted
		}
		assert.Equal(t, comes(20, 20, 0), 20*20)
		accepted := comes(10, 400, 60*time.Millisecond)
		assert.Assert(t, accepted < 10*400/2, "%d", accepted)
		assert.Equal(t, met.Counter(metrics.ConnectionsShed).Count(), int64(10*400-accepted))
		assert.Assert(t, c.isRejecting())
		comes(20, 5, 0)
		assert.Assert(t, !c.isRejecting())
		assert.Equal(t, comes(5, 20, 0), 5*20)
	})
}

// TestUnresponsiveGatewayIsNotReady guards against a gateway that says that it is ready while no request is answered in time.
func TestUnresponsiveGatewayIsNotReady(t *testing.T) {
	s := serviceWithoutLog()
	s.view.listed = true
	s.view.table.Store(&route.Table{})
	status := func() int {
		w := httptest.NewRecorder()
		s.handleReady(w, nil)
		return w.Code
	}
	assert.Equal(t, status(), http.StatusOK)
	s.connections.begin()
	s.connections.observe(2 * time.Second)
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	s.connections.begin()
	s.connections.observe(time.Millisecond)
	assert.Equal(t, status(), http.StatusOK)
}
