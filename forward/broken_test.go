package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/registry"
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
	// It says so once the request has reached it: before, it would get none.
	w.log.Watch(func(c site.Call) {
		w.view.mu.Lock()
		defer w.view.mu.Unlock()
		w.view.leaving = c.Server
	})
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	assert.Equal(t, w.met.Counter(metrics.ServersEnded).Count(), int64(0))
}

// TestRepeatsEndWithTheThirdServer: a call that may be repeated crashes the server that it was sent to, and the next
// one. Once three have ended under it, it is sent to none, and its client is told for how long; another call of the
// same path is answered.
func TestRepeatsEndWithTheThirdServer(t *testing.T) {
	w := plain(t)
	w.add(t, "p4", "plain", registry.Whole)
	for _, s := range w.servers {
		s.EndUnder("question", nil)
	}
	assert.Equal(t, w.post(t, "/safe/1").status, http.StatusBadGateway)
	w.counted(t, metrics.ServersEnded, 2)
	assert.Equal(t, w.post(t, "/safe/1").status, http.StatusBadGateway)
	w.counted(t, metrics.ServersEnded, 4)
	for w.met.Counter(metrics.Holds).Count() == 0 {
		assert.NilError(t, t.Context().Err())
	}
	w.add(t, "p5", "plain", registry.Whole)
	before := len(w.log.Calls())
	got := w.post(t, "/safe/1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > quarantine.FirstHold.Seconds()-60 && after <= quarantine.FirstHold.Seconds(), "%v", after)
	assert.Equal(t, len(w.log.Calls()), before)
	assert.Equal(t, w.post(t, "/safe/2").body, "answer of p5 to /safe/2")
}

// TestHeldWhileItWaits: it becomes known that servers end under a request while it waits for memory. It is sent to none
// when its turn comes, and no engine is left alone for it.
func TestHeldWhileItWaits(t *testing.T) {
	w := engines(t)
	for _, id := range []string{"d1", "d2"} {
		w.servers[id].SetFull(true)
	}
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/patient/1") }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Hold })
	d := fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "h", Target: "/draft/patient/1", Body: []byte("question")})
	now := time.Now()
	w.guard.Take(&peer.Suspects{Holds: []*peer.Hold{{Content: d[:], LeftMs: 60_000, ForMs: 60_000}}}, "g2")
	for _, id := range []string{"d1", "d2"} {
		w.servers[id].SetFull(false)
	}
	got := <-done
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(now) < seconds)
	for _, c := range w.log.Calls() {
		assert.Assert(t, c.Kind == site.Hold || c.Kind == site.Drop, "%s reached %s", c.Kind, c.Server)
	}
	assert.Equal(t, w.post(t, "/draft/patient/2").body, whole)
}

// TestAnsweredRequestIsNotSuspect: servers end by themselves under a call that is asked all the time and answered in
// between: it is never held.
func TestAnsweredRequestIsNotSuspect(t *testing.T) {
	w := newWorld(t)
	for i := range quarantine.MaxTerminations + 1 {
		s := w.add(t, fmt.Sprint("p", i), "plain", registry.Whole)
		s.Behave(site.Mute)
		done := make(chan answer, 1)
		go func() { done <- w.post(t, "/once/1") }()
		w.log.Wait(t, false, func(c site.Call) bool { return c.Server == s.ID })
		s.Crash()
		assert.Equal(t, (<-done).status, http.StatusBadGateway)
		w.counted(t, metrics.ServersEnded, int64(i+1))
		w.view.mu.Lock()
		w.view.servers = nil
		w.view.mu.Unlock()
		sound := w.add(t, fmt.Sprint("sound", i), "plain", registry.Whole)
		assert.Equal(t, w.post(t, "/once/1").body, "answer of "+sound.ID+" to /once/1")
		w.view.mu.Lock()
		w.view.servers = nil
		w.view.mu.Unlock()
	}
	assert.Assert(t, !w.guard.Watches())
}

// TestFailureTellsNothing: a server that fails a call may have done so before it began to run it.
func TestFailureTellsNothing(t *testing.T) {
	w := plain(t)
	w.servers["p1"].EndUnder("question", nil)
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	w.counted(t, metrics.ServersEnded, 1)
	for _, id := range []string{"p2", "p3"} {
		w.servers[id].Behave(site.Fail)
	}
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusInternalServerError)
	assert.Assert(t, w.guard.Watches())
}

// TestServerGoesDark: a server ends without a word: no connection breaks, and the request there has no answer until its
// time is over. It was in progress at the end all the same, once the server's entry has lapsed; not if the server lives,
// and not if it has said that it stops.
func TestServerGoesDark(t *testing.T) {
	for _, c := range []struct {
		name            string
		listed, leaving bool
		ends            int64
	}{
		{"its entry lapses", false, false, 1},
		{"it hangs", true, false, 0},
		{"it leaves", false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.add(t, "p1", "plain", registry.Whole).Behave(site.Mute)
			done := make(chan answer, 1)
			go func() { done <- w.post(t, "/slow/1") }()
			w.log.Wait(t, false, func(c site.Call) bool { return c.Server == "p1" })
			w.view.mu.Lock()
			if c.leaving {
				w.view.leaving = "p1"
			}
			if !c.listed {
				w.view.servers = nil
			}
			w.view.mu.Unlock()
			assert.Equal(t, (<-done).status, http.StatusGatewayTimeout)
			w.fwd.Forget(w.view.Listed)
			assert.Equal(t, w.met.Counter(metrics.ServersEnded).Count(), c.ends)
		})
	}
}

// TestHeldRequestStopsWaiting: it becomes known that servers end under a request while it waits for memory that does not
// come. It is refused at once, not at the end of its time, and told for how long it is held.
func TestHeldRequestStopsWaiting(t *testing.T) {
	w, done := waitsForEngine(t)
	d := fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "h", Target: "/draft/patient/1", Body: []byte("question")})
	w.guard.Take(&peer.Suspects{Holds: []*peer.Hold{{Content: d[:], LeftMs: 500_000, ForMs: 500_000}}}, "g2")
	got := <-done
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > seconds.Seconds(), "held, not turned away for want of memory: %v", after)
}

// TestHeldRequestBlamesNoServer: a call becomes known for servers that end under it while its first attempt is in
// progress. The second attempt is not made, and the server that it would have gone to has failed nothing.
func TestHeldRequestBlamesNoServer(t *testing.T) {
	w := plain(t)
	w.servers["p1"].Behave(site.Mute)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/safe/1") }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Server == "p1" })
	d := fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "h", Target: "/safe/1", Body: []byte("question")})
	w.guard.Take(&peer.Suspects{Holds: []*peer.Hold{{Content: d[:], LeftMs: 60_000, ForMs: 60_000}}}, "g2")
	w.servers["p1"].Crash()
	assert.Equal(t, (<-done).status, http.StatusBadGateway, "it may have run")
	assert.Equal(t, len(w.log.Calls()), 1)
	assert.Equal(t, w.met.Counter(metrics.AttemptFailedPrefix+string(outcome.Quarantined)).Count(), int64(0))
}
