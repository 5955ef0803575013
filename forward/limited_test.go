package forward_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	// lowLimit is a limit so low that no test reaches the second request.
	lowLimit = "0.01"
	// maxAfterReport is how many requests a server may still get after it has declared the limit.
	maxAfterReport = 1
)

// sent is the number of requests of some kinds that reached a server; reservations and other calls don't count unless
// named.
func (w *testEnv) sent(server string, kinds ...string) int {
	n := 0
	for _, c := range w.log.Calls() {
		for _, kind := range kinds {
			if c.Server == server && c.Kind == kind {
				n++
			}
		}
	}
	return n
}

// Servers that had declared limits of 1 and 3.2 requests a second got 33 and 28 in four seconds.
func TestServerLimitIsKept(t *testing.T) {
	const requests = 12
	for _, c := range []struct {
		name    string
		path    string
		behaves site.Behaviour
	}{
		{"calls", "/once/", site.Answer},
		{"repeats", "/safe/", site.Fail},
		{"refused and sent elsewhere", "/unsafe/", site.Shed},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPlainEnv(t)
			w.servers["p1"].SetLimit(lowLimit)
			w.servers["p1"].Behave(c.behaves)
			for i := range requests {
				assert.Equal(t, w.post(t, fmt.Sprint(c.path, i)).status, 200)
			}
			got := w.sent("p1", site.Plain)
			assert.Check(t, got <= 1+maxAfterReport, "%d of %d", got, requests)
		})
	}
}

// The same for a prefill engine: others prefill instead.
func TestPrefillEngineLimitIsKept(t *testing.T) {
	const requests = 6
	w := newEngineEnv(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	w.servers["pre"].SetLimit(lowLimit)
	for i := range requests {
		assert.Equal(t, w.post(t, fmt.Sprint("/draft/", i)).status, 200)
	}
	got := w.sent("pre", site.Prefill)
	assert.Check(t, got <= 1+maxAfterReport, "%d of %d", got, requests)
}

// The same for the only decode engine, also if a run that could not fetch its KV cache is sent to it again: requests
// that can't be placed in time are rejected at once.
func TestDecodeEngineLimitIsKept(t *testing.T) {
	const requests = 6
	for _, c := range []struct {
		name string
		next []site.Behaviour
	}{
		{"sent once", nil},
		{"sent again", []site.Behaviour{site.FailKVFetch, site.Answer, site.FailKVFetch}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t)
			w.add(t, "pre", "llm", registry.Prefill)
			w.add(t, "d1", "llm", registry.Decode).SetLimit(lowLimit)
			w.servers["d1"].Behave(site.Answer, c.next...)
			refused := 0
			for i := range requests {
				if w.post(t, fmt.Sprint("/resume/", i)).status == 503 {
					refused++
				}
			}
			got := w.sent("d1", site.Decode)
			assert.Check(t, got <= 1+maxAfterReport, "%d of %d", got, requests)
			assert.Check(t, refused >= requests-1-maxAfterReport, "%d refused", refused)
		})
	}
}

// A server that does not declare its limit in every answer still has it: refusals, failures, and answers to calls
// other than requests don't end it.
func TestLimitSurvivesAnswersWithoutIt(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "p1", "plain", registry.Whole).SetLimit("40")
	w.servers["p1"].NameLimitOnSuccessOnly()
	w.servers["p1"].Behave(site.Shed, site.Answer, site.Fail, site.Answer)
	limited := func() bool { return w.met.Gauge(metrics.ServersLimited).Value() == 1 }
	const maxCalls = 3000
	for i := 0; i < maxCalls && w.sent("p1", site.Plain) < 4; i++ {
		w.post(t, "/unsafe/1")
		assert.Assert(t, limited(), "after %d answers", w.sent("p1", site.Plain))
	}
	assert.Equal(t, w.sent("p1", site.Plain), 4)

	w = newTestEnv(t)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode).SetLimit("40")
	w.servers["d1"].NameLimitOnSuccessOnly()
	for i := 0; i < maxCalls && w.sent("d1", site.Hold) < 3; i++ {
		w.post(t, "/resume/1")
	}
	assert.Equal(t, w.met.Gauge(metrics.ServersLimited).Value(), int64(1), "answers to reservations don't declare the limit")
}

// Callers are rejected at once if all servers are at their limits, and served as before once no server declares a
// limit.
func TestCallersAreRejectedWhenAllServersAreLimited(t *testing.T) {
	w := newPlainEnv(t)
	limit := func(limit string) {
		for _, s := range w.servers {
			s.SetLimit(limit)
		}
	}
	limit("20")
	const calls = 500
	var refused answer
	for range calls {
		if got := w.post(t, "/once/1"); got.status != 200 {
			refused = got
			break
		}
	}
	assert.Equal(t, refused.status, 503, "of %d calls", calls)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	limit("")
	served := 0
	for range 20 * calls {
		if served++; w.post(t, "/once/2").status != 200 {
			served = 0
		}
		if served == calls {
			return
		}
	}
	t.Errorf("%d served in a row", served)
}
