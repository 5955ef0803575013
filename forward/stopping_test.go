package forward_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Six engines were shut down while the platform's store was unresponsive, so that thirty gateways did not learn of it.
// They refused 7,304 reservations in six seconds, each on a new connection since they closed the old one: whenever a
// run ended there, every gateway assumed that memory had become free and asked again.
func TestStoppingEnginesAreNotAskedAgain(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode)
	w.add(t, "d2", "llm", registry.Decode)
	w.servers["d1"].Stop()
	others := func(on1 int) map[string]kvmemory.Load {
		return map[string]kvmemory.Load{
			"d1": {Tokens: on1, Runs: 1, Forecast: kvmemory.Constant(on1)}, "d2": {Tokens: 5000, Runs: 1, Forecast: kvmemory.Constant(5000)},
		}
	}
	const requests = 10
	for i := range requests {
		assert.Equal(t, w.post(t, fmt.Sprint("/draft/", i)).status, 200)
		w.fwd.SetPeerLoads(others(2000 - 100*i))
	}
	asked := 0
	for _, c := range w.log.Calls() {
		if c.Server == "d1" && c.Kind == site.Hold {
			asked++
		}
	}
	assert.Check(t, asked <= 2, "asked %d times in %d requests", asked, requests)
	assert.DeepEqual(t, w.fwd.TakeFailures(), []forward.EngineFailure{{ID: "d1", Inconclusive: true}})
}
