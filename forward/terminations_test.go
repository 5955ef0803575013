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

// awaitCounter waits until a counter has reached a value.
func (w *testEnv) awaitCounter(t *testing.T, name string, want int64) {
	t.Helper()
	for w.met.Counter(name).Count() < want {
		assert.NilError(t, t.Context().Err())
	}
	assert.Equal(t, w.met.Counter(name).Count(), want, name)
}

// TestServerTerminatesDuringRequests: the termination of a server is detected at once, with the requests that were in
// progress there, although nothing else is sent to it.
func TestServerTerminatesDuringRequests(t *testing.T) {
	w := newPlainEnv(t)
	p1 := w.servers["p1"]
	p1.Behave(site.Answer, site.Mute)
	p1.EndUnder("question", nil)
	slow := make(chan answer, 1)
	go func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+w.addr+"/once/2", nil)
		assert.Check(t, err)
		r.Host = "h"
		r.Header.Set(site.RequestID, "id-2")
		r.Header.Set(site.Deadline, clientDeadline)
		res, err := http.DefaultClient.Do(r)
		assert.Check(t, err)
		slow <- answer{status: res.StatusCode}
	}()
	w.log.Wait(t, false, func(c site.Call) bool { return c.ID == "id-2" })
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	assert.Equal(t, (<-slow).status, http.StatusBadGateway)
	w.awaitCounter(t, metrics.ServersTerminated, 1)
	w.awaitCounter(t, metrics.RequestsInterrupted, 2)
}

// TestResetByALiveServer: connections that a server resets without terminating raise no suspicion against a request,
// nor do those of a server that has announced its shutdown.
func TestResetByALiveServer(t *testing.T) {
	w := newPlainEnv(t)
	w.servers["p1"].Behave(site.Reset)
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	w.fwd.Forget(w.view.Listed)
	assert.Equal(t, w.met.Counter(metrics.ServersTerminated).Count(), int64(0))

	w = newPlainEnv(t)
	w.servers["p1"].EndUnder("question", nil)
	// Announced only after the request has reached it; otherwise it would get none.
	w.log.Watch(func(c site.Call) {
		w.view.mu.Lock()
		defer w.view.mu.Unlock()
		w.view.leaving = c.Server
	})
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	assert.Equal(t, w.met.Counter(metrics.ServersTerminated).Count(), int64(0))
}

// TestQuarantineAfterThreeTerminations: a retryable call crashes the server that it was sent to, and the next one.
// After three terminations it is sent to no server, and its client gets the remaining time; another call of the same
// path is answered.
func TestQuarantineAfterThreeTerminations(t *testing.T) {
	w := newPlainEnv(t)
	w.add(t, "p4", "plain", registry.Whole)
	for _, s := range w.servers {
		s.EndUnder("question", nil)
	}
	assert.Equal(t, w.post(t, "/safe/1").status, http.StatusBadGateway)
	w.awaitCounter(t, metrics.ServersTerminated, 2)
	assert.Equal(t, w.post(t, "/safe/1").status, http.StatusBadGateway)
	w.awaitCounter(t, metrics.ServersTerminated, 4)
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

// TestQuarantinedBeforeDispatch: a request is quarantined while it waits for memory. It is not sent when it leaves the
// queue, and no engine is avoided because of it.
func TestQuarantinedBeforeDispatch(t *testing.T) {
	w := newEngineEnv(t)
	for _, id := range []string{"d1", "d2"} {
		w.servers[id].SetFull(true)
	}
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/patient/1") }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Hold })
	d := fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "h", Target: "/draft/patient/1", Body: []byte("question")})
	now := time.Now()
	w.guard.Receive(&peer.Suspects{Holds: []*peer.Hold{{Content: d[:], LeftMs: 60_000, ForMs: 60_000}}}, "g2")
	for _, id := range []string{"d1", "d2"} {
		w.servers[id].SetFull(false)
	}
	got := <-done
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(now) < longTimeout)
	for _, c := range w.log.Calls() {
		assert.Assert(t, c.Kind == site.Hold || c.Kind == site.Drop, "%s reached %s", c.Kind, c.Server)
	}
	assert.Equal(t, w.post(t, "/draft/patient/2").body, whole)
}

// TestAnsweredRequestIsNotSuspected: servers terminate for other reasons during a call that is repeated all the time
// and answered in between: it is never quarantined.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	w := newTestEnv(t)
	for i := range quarantine.MaxTerminations + 1 {
		s := w.add(t, fmt.Sprint("p", i), "plain", registry.Whole)
		s.Behave(site.Mute)
		done := make(chan answer, 1)
		go func() { done <- w.post(t, "/once/1") }()
		w.log.Wait(t, false, func(c site.Call) bool { return c.Server == s.ID })
		s.Crash()
		assert.Equal(t, (<-done).status, http.StatusBadGateway)
		w.awaitCounter(t, metrics.ServersTerminated, int64(i+1))
		w.view.mu.Lock()
		w.view.servers = nil
		w.view.mu.Unlock()
		healthy := w.add(t, fmt.Sprint("sound", i), "plain", registry.Whole)
		assert.Equal(t, w.post(t, "/once/1").body, "answer of "+healthy.ID+" to /once/1")
		w.view.mu.Lock()
		w.view.servers = nil
		w.view.mu.Unlock()
	}
	assert.Assert(t, !w.guard.Active())
}

// TestFailureDoesNotClearSuspicion: a server may fail a call before it starts to run it.
func TestFailureDoesNotClearSuspicion(t *testing.T) {
	w := newPlainEnv(t)
	w.servers["p1"].EndUnder("question", nil)
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusBadGateway)
	w.awaitCounter(t, metrics.ServersTerminated, 1)
	for _, id := range []string{"p2", "p3"} {
		w.servers[id].Behave(site.Fail)
	}
	assert.Equal(t, w.post(t, "/once/1").status, http.StatusInternalServerError)
	assert.Assert(t, w.guard.Active())
}

// TestServerBecomesUnresponsive: a server terminates without closing its connections, and the request there gets no
// answer until its deadline. It still counts as in progress at the termination once the server's entry has expired,
// but not if the server is alive, and not if it has announced its shutdown.
func TestServerBecomesUnresponsive(t *testing.T) {
	for _, c := range []struct {
		name            string
		listed, leaving bool
		terminations    int64
	}{
		{"its entry expires", false, false, 1},
		{"it hangs", true, false, 0},
		{"it leaves", false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t)
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
			assert.Equal(t, w.met.Counter(metrics.ServersTerminated).Count(), c.terminations)
		})
	}
}

// TestQuarantinedRequestLeavesQueue: a request is quarantined while it waits for memory that does not become free. It
// is refused at once, not at its deadline, with the remaining time of the quarantine.
func TestQuarantinedRequestLeavesQueue(t *testing.T) {
	w, done := startQueuedStream(t)
	d := fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "h", Target: "/draft/patient/1", Body: []byte("question")})
	w.guard.Receive(&peer.Suspects{Holds: []*peer.Hold{{Content: d[:], LeftMs: 500_000, ForMs: 500_000}}}, "g2")
	got := <-done
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > longTimeout.Seconds(), "rejected for want of memory instead of quarantined: %v", after)
}

// TestQuarantinedRequestCountsNoFailure: a call is quarantined while its first attempt is in progress. There is no
// second attempt, and no failure is counted for the server that it would have gone to.
func TestQuarantinedRequestCountsNoFailure(t *testing.T) {
	w := newPlainEnv(t)
	w.servers["p1"].Behave(site.Mute)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/safe/1") }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Server == "p1" })
	d := fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "h", Target: "/safe/1", Body: []byte("question")})
	w.guard.Receive(&peer.Suspects{Holds: []*peer.Hold{{Content: d[:], LeftMs: 60_000, ForMs: 60_000}}}, "g2")
	w.servers["p1"].Crash()
	assert.Equal(t, (<-done).status, http.StatusBadGateway, "it may have run")
	assert.Equal(t, len(w.log.Calls()), 1)
	assert.Equal(t, w.met.Counter(metrics.AttemptFailedPrefix+string(outcome.Quarantined)).Count(), int64(0))
}
