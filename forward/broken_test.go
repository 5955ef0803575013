package forward_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// counted waits until a counter has reached a value.
func (w *world) counted(t *testing.T, name string, want int64) {
	t.Helper()
	for w.met.Counter(name).Count() < want {
		assert.NilError(t, t.Context().Err())
	}
	assert.Equal(t, w.met.Counter(name).Count(), want, name)
}

// TestServerEndsUnderRequests: a server that ends is found at once, with the requests that were in progress
// there, though nothing else is sent to it.
func TestServerEndsUnderRequests(t *testing.T) {
	w := plain(t)
	p1 := w.servers["p1"]
	p1.Behave(site.Answer, site.Mute)
	p1.EndUnder("question", nil)
	slow := make(chan answer, 1)
	go func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+w.addr+"/once/2", nil)
		assert.Check(t, err)
		r.Host = "h"
		r.Header.Set(site.RequestID, "id-2")
		r.Header.Set(site.Deadline, patience)
		res, err := http.DefaultClient.Do(r)
		assert.Check(t, err)
		slow <- answer{status: res.StatusCode}
	}()
	w.log.Wait(t, false, func(c site.Call) bool { return c.ID == "id-2" })
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	assert.Equal(t, (<-slow).status, http.StatusBadGateway)
	w.counted(t, metrics.ServersEnded, 1)
	w.counted(t, metrics.RequestsBroken, 2)
}

// TestBrokenAtALiveServer: connections that a server breaks without ending tell nothing of a request, nor do
// those at a server that has said that it stops.
func TestBrokenAtALiveServer(t *testing.T) {
	w := plain(t)
	w.servers["p1"].Behave(site.Reset)
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	w.fwd.Forget(w.view.Listed)
	assert.Equal(t, w.met.Counter(metrics.ServersEnded).Count(), int64(0))

	w = plain(t)
	w.servers["p1"].EndUnder("question", nil)
	w.view.mu.Lock()
	w.view.leaving = "p1"
	w.view.mu.Unlock()
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	assert.Equal(t, w.met.Counter(metrics.ServersEnded).Count(), int64(0))
}
