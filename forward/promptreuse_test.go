package forward_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestLostRunReturnsToItsPrefillEngine guards against the prompt of an interrupted run that is prefilled again by another
// engine than the one that has it in its cache, because other prompts have been sent there since.
func TestLostRunReturnsToItsPrefillEngine(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "pre2", "llm", registry.Prefill)
	first := ""
	w.log.Watch(func(c site.Call) {
		if c.Kind == site.Prefill && first == "" {
			first = c.Server
			w.fwd.SetPeerLoads(map[string]kvmemory.Load{first: {Tokens: 2500}})
		}
	})
	w.servers["d1"].Behave(site.Answer, site.CutStream)
	w.servers["d2"].Behave(site.Answer, site.CutStream)
	got := w.post(t, "/resume/1", site.Tokens, "5000,200")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.cut || len(got.body) > 0)
	var prefills []string
	for _, c := range w.log.Calls() {
		if c.Kind == site.Prefill {
			prefills = append(prefills, c.Server)
		}
	}
	assert.DeepEqual(t, prefills, []string{first, first})
}

// TestWastedPrefillIsCounted: the counters and the log line of a request name the tokens that were prefilled in vain.
func TestWastedPrefillIsCounted(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(w *testEnv)
		path   string
		cause  string
		tokens int64
	}{
		{"answered", func(*testEnv) {}, "/draft/1", "engine_lost", 0},
		{"failed before the first event", func(w *testEnv) { w.fail("d1", "d2") }, "/draft/1", "engine_lost", 1000},
		{"not fetched", func(w *testEnv) {
			w.servers["d1"].Behave(site.Answer, site.FailKVFetch)
			w.servers["d2"].Behave(site.Answer, site.FailKVFetch)
		}, "/draft/1", "no_memory", 1000},
		{"the decode engine prefilled itself", func(w *testEnv) { w.fail("pre") }, "/draft/1", "no_memory", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newEngineEnv(t)
			c.set(w)
			w.post(t, c.path)
			assert.Equal(t, w.met.Counter("wasted_prefill."+c.cause).Count(), c.tokens)
			assert.Equal(t, strings.Contains(w.logged.String(), `"wasted":1000,"wasted_by":["`+c.cause+`"]`), c.tokens > 0, "%s", w.logged)
		})
	}
}

func (w *testEnv) fail(ids ...string) {
	for _, id := range ids {
		w.servers[id].Behave(site.Fail)
	}
}
