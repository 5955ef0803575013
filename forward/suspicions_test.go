package forward_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// A decode engine lost power and stayed listed until its lease expired. Each of thirty gateways sent it requests until
// one of its own had failed there, although the first gateway had known two seconds before: of 187 attempts that
// failed that way, 186 came after a failure at another gateway. Requests were answered late or used up the retry
// budget of others.
func TestEnginesThatFailElsewhereAreAvoided(t *testing.T) {
	w := newEngineEnv(t)
	w.fwd.ReceiveFailure("g2", forward.EngineFailure{ID: "d1"})
	for range 3 {
		assert.Equal(t, w.post(t, "/draft/1").status, 200)
	}
	for _, c := range w.log.Calls() {
		assert.Check(t, c.Server != "d1", "%s", c.Kind)
	}
	w.servers["d2"].SetFull(true)
	assert.Equal(t, w.post(t, "/draft/2").status, 200, "a suspected engine is used if no other has free memory")
}

// The same for prefill engines.
func TestPrefillEnginesThatFailElsewhereAreAvoided(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	w.fwd.ReceiveFailure("g2", forward.EngineFailure{ID: "pre"})
	for range 3 {
		assert.Equal(t, w.post(t, "/draft/1").status, 200)
	}
	for _, c := range w.log.Calls() {
		assert.Check(t, c.Server != "pre", "%s", c.Kind)
	}
}

// TestFailuresAreReported: engines that broke off or failed a request are reported to the other gateways, engines
// without free memory are not.
func TestFailuresAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		set      func(w *testEnv)
		reported []forward.EngineFailure
	}{
		{"lost", func(w *testEnv) { w.servers["pre"].Behave(site.Reset) }, []forward.EngineFailure{{ID: "pre"}}},
		{"failed", func(w *testEnv) { w.servers["pre"].Behave(site.Fail) }, []forward.EngineFailure{{ID: "pre"}}},
		{"full", func(w *testEnv) { w.servers["d1"].SetFull(true); w.servers["d2"].SetFull(true) }, nil},
		{"well", func(*testEnv) {}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newEngineEnv(t)
			c.set(w)
			w.post(t, "/draft/1")
			assert.DeepEqual(t, w.fwd.TakeFailures(), c.reported)
			assert.Equal(t, len(w.fwd.TakeFailures()), 0)
		})
	}
}

// TestExcludedEnginesAreNoLastResort: an engine at which the requests of two gateways failed gets no request even if no
// other has free memory, as opposed to one that is only suspected.
func TestExcludedEnginesAreNoLastResort(t *testing.T) {
	w := newEngineEnv(t)
	assert.Equal(t, w.post(t, "/draft/1").status, 200)
	before := len(w.log.Calls())
	w.fwd.ReceiveFailure("g2", forward.EngineFailure{ID: "d1"})
	w.fwd.ReceiveFailure("g3", forward.EngineFailure{ID: "d1"})
	w.servers["d2"].SetFull(true)
	assert.Equal(t, w.post(t, "/draft/2").status, 503)
	for _, c := range w.log.Calls()[before:] {
		assert.Check(t, c.Server != "d1", "%s", c.Kind)
	}
}
