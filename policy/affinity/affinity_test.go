package affinity_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
)

// TestSpread: of a hundred routers before three servers, each server is preferred by a fifth
// at least.
func TestSpread(t *testing.T) {
	preferred := map[string]int{}
	for r := range 100 {
		router := fmt.Sprintf("edge-%d", r)
		best, most := "", -1.0
		for s := range 3 {
			server := fmt.Sprintf("i-%d", s)
			a := affinity.Of(router, server)
			assert.Assert(t, a >= 0 && a < 1)
			assert.Equal(t, a, affinity.Of(router, server))
			if a > most {
				best, most = server, a
			}
		}
		preferred[best]++
	}
	for server, n := range preferred {
		assert.Assert(t, n >= 20, "%s: %d", server, n)
	}
	assert.Equal(t, len(preferred), 3)
}
