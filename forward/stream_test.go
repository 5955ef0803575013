package forward_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const whole = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"

func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name, path string
		set        func(w *testEnv)
		status     int
		body       string
		cut        bool
		calls      string
	}{
		{"reserved, prefilled, generated", "/draft/1", func(*testEnv) {}, 200, whole, false, "hold D, prefill pre, decode D"},
		{"prefill fails", "/draft/1", func(w *testEnv) { w.servers["pre"].Behave(site.Fail) }, 200, whole, false, "hold D, prefill pre, decode D"},
		{"prefill is lost", "/draft/1", func(w *testEnv) { w.servers["pre"].Behave(site.Reset) }, 200, whole, false, "hold D, prefill pre, decode D"},
		{"the cache can't be fetched", "/draft/1", func(w *testEnv) { w.setDecodeBehaviour(site.FailKVFetch) }, 200, whole, false, "hold D, prefill pre, decode D, hold D, decode D"},
		{"generating fails", "/draft/1", func(w *testEnv) { w.setDecodeBehaviour(site.Fail) }, 500, "failed at D", false, "hold D, prefill pre, decode D"},
		{"lost before the first event", "/draft/1", func(w *testEnv) { w.setDecodeBehaviour(site.Reset) }, 502, "", false, "hold D, prefill pre, decode D"},
		{"cut midway", "/draft/1", func(w *testEnv) { w.setDecodeBehaviour(site.CutStream) }, 200, whole[:42], true, "hold D, prefill pre, decode D"},
		{"no stamp", "/draft/1", func(w *testEnv) { w.setDecodeBehaviour(site.Unstamped) }, 502, "", false, "hold D, prefill pre, decode D"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newEngineEnv(t)
			c.set(w)
			got := w.post(t, c.path)
			calls := w.log.Kinds()
			d := strings.Fields(strings.SplitN(calls, ",", 2)[0])[1]
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.cut, c.cut)
			assert.Equal(t, got.body, strings.ReplaceAll(c.body, "D", d))
			assert.Equal(t, calls, strings.ReplaceAll(c.calls, "D", d))
		})
	}
}

// setDecodeBehaviour sets the behaviour of both decode engines.
func (w *testEnv) setDecodeBehaviour(b site.Behaviour) {
	w.servers["d1"].Behave(b)
	w.servers["d2"].Behave(b)
}

func TestRunGetsReservationAndKVCache(t *testing.T) {
	w := newEngineEnv(t)
	w.post(t, "/draft/1", site.Reservation, "theirs", site.KVFrom, "theirs")
	calls := w.log.Calls()
	assert.Equal(t, calls[0].Tokens, 1001, "the prompt and the first event")
	assert.Equal(t, calls[1].Header.Get(site.Reservation), "")
	assert.Equal(t, calls[2].Hold, calls[0].Hold)
	assert.Equal(t, calls[2].KVFrom, w.servers["pre"].Addr()+"/kv-id-1")
}

// TestResumed: an interrupted stream is resumed at another engine, without repeating a token and under the head of the
// first answer.
func TestResumed(t *testing.T) {
	for _, b := range []site.Behaviour{site.CutStream, site.StallStream} {
		w := newEngineEnv(t)
		// With one request at a time, the gateway sends all to the engine that it prefers.
		assert.Equal(t, w.post(t, "/resume/0").status, 200)
		first := w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode })
		w.servers[first.Server].Behave(site.Answer, b)
		got := w.post(t, "/resume/1")
		assert.Equal(t, got.body, whole)
		assert.Assert(t, !got.cut)
		assert.Equal(t, got.header.Get(site.Stamp), first.Server)
		calls := w.log.Calls()
		last := calls[len(calls)-1]
		assert.Assert(t, last.Server != first.Server)
		assert.Equal(t, last.LastEvent, "2")
	}
}

// TestNoFreeMemory: no prompt is prefilled without free memory to decode it, and the client gets a Retry-After.
func TestNoFreeMemory(t *testing.T) {
	w := newEngineEnv(t)
	w.servers["d1"].SetFull(true)
	w.servers["d2"].SetFull(true)
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, !strings.Contains(w.log.Kinds(), "prefill"), "%s", w.log.Kinds())
	got = w.post(t, "/draft/1", site.Tokens, "20000,10")
	assert.Equal(t, got.status, 503, "larger than any engine")
}

// TestRetriedRequestsAreCounted: retries after a rejection are counted, and those rejected again.
func TestRetriedRequestsAreCounted(t *testing.T) {
	w := newEngineEnvWith(t, unlimited)
	assert.Equal(t, w.post(t, "/draft/1").status, 200)
	assert.Equal(t, w.post(t, "/draft/2", site.Deadline, "9000").status, 200, "the client has already waited for seconds elsewhere")
	assert.Equal(t, w.post(t, "/draft/3", site.Deadline, "9000", site.Tokens, "20000,200").status, 503, "larger than any engine")
	assert.Equal(t, w.met.Counter(metrics.ClientRetries).Count(), int64(2))
	assert.Equal(t, w.met.Counter(metrics.ClientRetriesRejected).Count(), int64(1))
}

// TestFailedPrefillTakesRetryBudget: a failed prefill is charged to the retry budget, whatever follows it. With the
// budget exhausted the request is rejected as not run.
func TestFailedPrefillTakesRetryBudget(t *testing.T) {
	w := newEngineEnvWith(t, retrybudget.Limits{Window: time.Hour})
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.status, 200, "no retry is needed")
	w.servers["pre"].Behave(site.Fail)
	got = w.post(t, "/draft/2")
	assert.Equal(t, got.status, 503)
	calls := w.log.Calls()
	assert.Assert(t, calls[len(calls)-1].Kind != site.Decode, "%s", w.log.Kinds())
}

// TestUnsentPrefillTakesNoRetryBudget: a terminated engine refuses the connection, so nothing of the request reached
// it. When a quarter of the engines crash at once, requests must not be rejected for that.
func TestUnsentPrefillTakesNoRetryBudget(t *testing.T) {
	w := newEngineEnvWith(t, retrybudget.Limits{Window: time.Hour})
	w.servers["pre"].Close()
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.status, 200, "the decode engine prefills the prompt")
}

// TestNoFreeMemoryAfterAFailure: a stream whose engine was lost asks for memory elsewhere once, and ends if there is
// none. It does not use up the retry budget of others by asking again.
func TestNoFreeMemoryAfterAFailure(t *testing.T) {
	w := newTestEnvWith(t, retrybudget.Limits{Ratio: 100, Window: time.Hour})
	w.add(t, "d1", "llm", registry.Decode)
	w.servers["d1"].Behave(site.Reset)
	got := w.post(t, "/resume/1")
	assert.Equal(t, got.status, 502)
	assert.Equal(t, w.met.Counter(metrics.RetriedPrefix+string(outcome.EngineLost)).Count(), int64(1))
	assert.Equal(t, w.met.Counter(metrics.RetriedPrefix+string(outcome.NoDecodeSlot)).Count(), int64(0))
}

// TestResumedOnceMemoryIsFree: a stream that breaks off when no other engine has free memory waits for it briefly,
// although it is past its latency objective.
func TestResumedOnceMemoryIsFree(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "d1", "llm", registry.Decode)
	w.servers["d1"].Behave(site.StallStream)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/resume/1") }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode })
	w.add(t, "d2", "llm", registry.Decode)
	w.servers["d2"].SetFull(true)
	w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Hold && c.Server == "d2" })
	w.servers["d2"].SetFull(false)
	got := <-done
	assert.Equal(t, got.body, whole)
	assert.Assert(t, !got.cut)
}

// Model servers terminated faster than new ones came, and for a moment a gateway had no engine left. A request that
// arrived then waited until its deadline ("waited":9844 ms) and was rejected ("reason":"no_decode_place"), although a
// new engine was listed after 0.6 s: queued requests used the list of engines from when they were queued, until
// another request arrived.
func TestQueuedRequestSeesNewEngines(t *testing.T) {
	w, done := startQueuedStream(t)
	w.add(t, "d1", "llm", registry.Decode)
	got := <-done
	assert.Equal(t, got.body, whole)
}

// Guards against an answer without its server's stamp: a client that had received all events and resumes its stream got
// an empty success without the head of the engine's answer, which was sent with the first event.
func TestStreamWithoutEventsHasItsHead(t *testing.T) {
	w := newEngineEnv(t)
	a := w.post(t, "/resume/1", "Last-Event-Id", fmt.Sprint(site.Events))
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, "")
	assert.Assert(t, !a.cut)
	assert.Assert(t, a.header.Get(site.Stamp) != "", "%v", a.header)
	assert.Equal(t, a.header.Get("Content-Type"), "text/event-stream")
}

// TestRepeatedEventIsDropped guards against an event that the client gets twice: a run was complete at its engine when the
// router continued it elsewhere, and that engine sent the last event again.
func TestRepeatedEventIsDropped(t *testing.T) {
	w := newEngineEnv(t)
	assert.Equal(t, w.post(t, "/resume/0").status, 200)
	first := w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode })
	w.setDecodeBehaviour(site.RepeatEvent)
	w.servers[first.Server].Behave(site.Answer, site.CutStream)
	got := w.post(t, "/resume/1")
	assert.Equal(t, got.body, whole)
	assert.Assert(t, !got.cut)
}
