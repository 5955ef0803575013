package forward_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// A lookup server announced its shutdown in its answers while the store with the list of servers was unresponsive, and
// got as many requests as before.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	const requests = 12
	w := newPlainEnv(t)
	w.servers["p1"].SetLeaving()
	for i := range requests {
		assert.Equal(t, w.post(t, fmt.Sprint("/once/", i)).status, 200)
	}
	assert.Check(t, w.sent("p1", site.Plain) <= 1, "%d of %d", w.sent("p1", site.Plain), requests)
}

// The same for engines, whichever answer announces it first: of a prefill, of a reservation, or of a run.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	const requests = 6
	for _, c := range []struct {
		name, leaving string
		kinds         []string
		maxSent       int
	}{
		{"prefill engine", "pre", []string{site.Prefill}, 1},
		{"generates", "d1", []string{site.Decode}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newEngineEnv(t)
			w.add(t, "pre2", "llm", registry.Prefill)
			w.servers[c.leaving].SetLeaving()
			// d1 has the most free memory as soon as the state of the service exists.
			w.fwd.ServiceLoad("llm")
			w.fwd.SetPeerLoads(map[string]kvmemory.Load{"d2": {Tokens: 4000, Runs: 1, Forecast: kvmemory.Constant(4000)}})
			for i := range requests {
				assert.Equal(t, w.post(t, fmt.Sprint("/draft/", i)).status, 200)
			}
			got := w.sent(c.leaving, c.kinds...)
			assert.Check(t, got <= c.maxSent, "%d of %d", got, requests)
			assert.Check(t, w.sent(c.leaving, site.Hold) <= 1)
		})
	}
}

// A caller that no remaining server can serve is rejected at once.
func TestCallersAreRejectedWhenAllServersLeave(t *testing.T) {
	w := newPlainEnv(t)
	for _, s := range w.servers {
		s.SetLeaving()
	}
	for range 3 {
		assert.Equal(t, w.post(t, "/once/1").status, 200)
	}
	refused := w.post(t, "/once/2")
	assert.Equal(t, refused.status, 503)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
}
