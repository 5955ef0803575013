package forward_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestClientThatWaitsForever guards against a request that is run and whose connection is closed before the end of its
// answer, since the client's time limit is more than a time.Duration holds.
func TestClientThatWaitsForever(t *testing.T) {
	for _, limit := range []string{"9223372036855", "9223372036854775807", "1e300", "1e400", "Inf"} {
		for path, body := range map[string]string{"/draft/1": whole, "/resume/1": whole, "/once/1": "answer of p to /once/1", "/safe/1": "answer of p to /safe/1"} {
			t.Run(limit+path, func(t *testing.T) {
				w := newTestEnv(t)
				w.add(t, "p", "plain", registry.Whole)
				w.add(t, "pre", "llm", registry.Prefill)
				w.add(t, "d1", "llm", registry.Decode)
				got := w.post(t, path, site.Deadline, limit)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, body)
				assert.Assert(t, !got.cut)
				assert.Assert(t, strings.Contains(w.logged.String(), `"outcome":"completed"`))
			})
		}
	}
}

// TestImpossibleSizes guards against a request whose stated size overflows: it fitted any engine, or was demand for which
// engines are ordered to other stages.
func TestImpossibleSizes(t *testing.T) {
	for _, sizes := range []string{"9223372036854775807,1", "1000,9223372036854775807", "9223372036854775807,9223372036854775807"} {
		t.Run(sizes, func(t *testing.T) {
			w := newTestEnv(t)
			w.add(t, "pre", "llm", registry.Prefill)
			w.add(t, "d1", "llm", registry.Decode)
			got := w.post(t, "/draft/1", site.Tokens, sizes, site.LengthHint, "9223372036854775807")
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, len(w.log.Calls()), 0)
			load := w.fwd.ServiceLoad("llm")
			assert.Equal(t, load.PromptRate, 0.0)
			assert.Equal(t, load.MemoryDemand, 0.0)
		})
	}
}
