package forward_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// A lookup server said in its answers that it leaves, while the store with the list of servers was silent, and got as many
// requests as before.
func TestServerThatSaysThatItLeavesGetsNothing(t *testing.T) {
	const requests = 12
	w := plain(t)
	w.servers["p1"].SetLeaving()
	for i := range requests {
		assert.Equal(t, w.post(t, fmt.Sprint("/once/", i)).status, 200)
	}
	assert.Check(t, w.sent("p1", site.Plain) <= 1, "%d of %d", w.sent("p1", site.Plain), requests)
}

// The same of engines, whichever answer says it first: of a prompt that is read, of a reservation, or of a run.
func TestEngineThatSaysThatItLeavesGetsNothing(t *testing.T) {
	const requests = 6
	for _, c := range []struct {
		name, leaving string
		kinds         []string
		most          int
	}{
		{"reads prompts", "pre", []string{site.Prefill}, 1},
		{"generates", "d1", []string{site.Decode}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := engines(t)
			w.add(t, "pre2", "llm", registry.Prefill)
			w.servers[c.leaving].SetLeaving()
			// d1 has the most memory, as soon as the service is known.
			w.fwd.Use("llm")
			w.fwd.SetOthers(map[string]kvmemory.Load{"d2": {Tokens: 4000, Runs: 1, Forecast: kvmemory.Constant(4000)}})
			for i := range requests {
				assert.Equal(t, w.post(t, fmt.Sprint("/draft/", i)).status, 200)
			}
			got := w.sent(c.leaving, c.kinds...)
			assert.Check(t, got <= c.most, "%d of %d", got, requests)
			assert.Check(t, w.sent(c.leaving, site.Hold) <= 1)
		})
	}
}

// Who finds no server that stays is told at once.
func TestCallersAreToldWhenAllServersLeave(t *testing.T) {
	w := plain(t)
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
