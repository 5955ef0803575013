package forward_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// A decode engine lost its power and stayed in the list until its lease lapsed. Each of thirty gateways sent it requests
// until one of its own had failed there, though the first had known it two seconds before: of 187 attempts that failed
// that way 186 came after one of another gateway. Requests came late or used up the repeats of others.
func TestEnginesThatFailElsewhereAreAvoided(t *testing.T) {
	w := engines(t)
	w.fwd.ReceiveFailure("g2", "d1")
	for range 3 {
		assert.Equal(t, w.post(t, "/draft/1").status, 200)
	}
	for _, c := range w.log.Calls() {
		assert.Check(t, c.Server != "d1", "%s", c.Kind)
	}
	w.servers["d2"].SetFull(true)
	assert.Equal(t, w.post(t, "/draft/2").status, 200, "a doubtful engine is asked where no other has room")
}

// The same with engines that read prompts.
func TestReadersThatFailElsewhereAreAvoided(t *testing.T) {
	w := engines(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	w.fwd.ReceiveFailure("g2", "pre")
	for range 3 {
		assert.Equal(t, w.post(t, "/draft/1").status, 200)
	}
	for _, c := range w.log.Calls() {
		assert.Check(t, c.Server != "pre", "%s", c.Kind)
	}
}

// TestFailuresAreTold: the other gateways are told of an engine that broke off a request or failed it, and not of one that
// had no room.
func TestFailuresAreTold(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(w *world)
		told []string
	}{
		{"lost", func(w *world) { w.servers["pre"].Behave(site.Reset) }, []string{"pre"}},
		{"failed", func(w *world) { w.servers["pre"].Behave(site.Fail) }, []string{"pre"}},
		{"full", func(w *world) { w.servers["d1"].SetFull(true); w.servers["d2"].SetFull(true) }, nil},
		{"well", func(*world) {}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := engines(t)
			c.set(w)
			w.post(t, "/draft/1")
			assert.DeepEqual(t, w.fwd.TakeFailures(), c.told)
			assert.Equal(t, len(w.fwd.TakeFailures()), 0)
		})
	}
}
