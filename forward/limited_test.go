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
	// scarce is a limit of which no test lives to see a second request.
	scarce = "0.01"
	// afterTold is how many requests a server that names it may get once it was heard.
	afterTold = 1
)

// sent is the number of requests of a kind that reached a server, and were not reservations or other calls of ours.
func (w *world) sent(server string, kinds ...string) int {
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

// Servers of receipts in need had named limits of 1 and 3.2 requests a second, and got 33 and 28 in four seconds.
func TestServerGetsNoMoreThanItNames(t *testing.T) {
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
			w := plain(t)
			w.servers["p1"].SetLimit(scarce)
			w.servers["p1"].Behave(c.behaves)
			for i := range requests {
				assert.Equal(t, w.post(t, fmt.Sprint(c.path, i)).status, 200)
			}
			got := w.sent("p1", site.Plain)
			assert.Check(t, got <= 1+afterTold, "%d of %d", got, requests)
		})
	}
}

// The same of an engine that reads prompts: others read them.
func TestReaderGetsNoMoreThanItNames(t *testing.T) {
	const requests = 6
	w := engines(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	w.servers["pre"].SetLimit(scarce)
	for i := range requests {
		assert.Equal(t, w.post(t, fmt.Sprint("/draft/", i)).status, 200)
	}
	got := w.sent("pre", site.Prefill)
	assert.Check(t, got <= 1+afterTold, "%d of %d", got, requests)
}

// The same of the only engine that generates, also where a run that could not fetch its KV cache is sent to it once more:
// who can't be placed in time is told at once.
func TestEngineGetsNoMoreThanItNames(t *testing.T) {
	const requests = 6
	for _, c := range []struct {
		name string
		next []site.Behaviour
	}{
		{"sent once", nil},
		{"sent once more", []site.Behaviour{site.LostKV, site.Answer, site.LostKV}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.add(t, "pre", "llm", registry.Prefill)
			w.add(t, "d1", "llm", registry.Decode).SetLimit(scarce)
			w.servers["d1"].Behave(site.Answer, c.next...)
			refused := 0
			for i := range requests {
				if w.post(t, fmt.Sprint("/resume/", i)).status == 503 {
					refused++
				}
			}
			got := w.sent("d1", site.Decode)
			assert.Check(t, got <= 1+afterTold, "%d of %d", got, requests)
			assert.Check(t, refused >= requests-1-afterTold, "%d refused", refused)
		})
	}
}

// A server in need that doesn't name its limit in every answer still has it: refusals, failures and answers to other calls
// than requests end none.
func TestLimitHoldsThroughAnswersThatDoNotNameIt(t *testing.T) {
	w := newWorld(t)
	w.add(t, "p1", "plain", registry.Whole).SetLimit("40")
	w.servers["p1"].NameSparingly()
	w.servers["p1"].Behave(site.Shed, site.Answer, site.Fail, site.Answer)
	limited := func() bool { return w.met.Gauge(metrics.ServersLimited).Value() == 1 }
	const asks = 3000
	for i := 0; i < asks && w.sent("p1", site.Plain) < 4; i++ {
		w.post(t, "/unsafe/1")
		assert.Assert(t, limited(), "after %d answers", w.sent("p1", site.Plain))
	}
	assert.Equal(t, w.sent("p1", site.Plain), 4)

	w = newWorld(t)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode).SetLimit("40")
	w.servers["d1"].NameSparingly()
	for i := 0; i < asks && w.sent("d1", site.Hold) < 3; i++ {
		w.post(t, "/resume/1")
	}
	assert.Equal(t, w.met.Gauge(metrics.ServersLimited).Value(), int64(1), "reservations don't name it")
}

// Callers are told at once where all servers are in need, and served as before once they name no limit any more.
func TestCallersAreToldWhenAllServersAreLimited(t *testing.T) {
	w := plain(t)
	limit := func(limit string) {
		for _, s := range w.servers {
			s.SetLimit(limit)
		}
	}
	limit("20")
	const asks = 500
	var refused answer
	for range asks {
		if got := w.post(t, "/once/1"); got.status != 200 {
			refused = got
			break
		}
	}
	assert.Equal(t, refused.status, 503, "of %d calls", asks)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	limit("")
	served := 0
	for range 20 * asks {
		if served++; w.post(t, "/once/2").status != 200 {
			served = 0
		}
		if served == asks {
			return
		}
	}
	t.Errorf("%d served in a row", served)
}
