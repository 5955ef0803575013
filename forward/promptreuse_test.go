package forward_test

import (
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
