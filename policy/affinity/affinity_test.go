package affinity_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
)

// TestSpread: of a hundred routers and three servers, each server is preferred by at least a fifth
// of the routers.
func TestSpread(t *testing.T) {
	preferred := map[string]int{}
	for r := range 100 {
		router := fmt.Sprintf("edge-%d", r)
		best, highest := "", -1.0
		for s := range 3 {
			server := fmt.Sprintf("i-%d", s)
			a := affinity.Of(router, server)
			assert.Assert(t, a >= 0 && a < 1)
			assert.Equal(t, a, affinity.Of(router, server))
			if a > highest {
				best, highest = server, a
			}
		}
		preferred[best]++
	}
	for server, n := range preferred {
		assert.Assert(t, n >= 20, "%s: %d", server, n)
	}
	assert.Equal(t, len(preferred), 3)
}

// Names of gateways and servers often differ only in their last digits. All affinities of a gateway
// to a hundred such servers lay in one half of the range, with none of 100 below a half, so that
// the gateway preferred the same few servers as every other gateway with a similar name. Of 100,
// between 30 and 70 have to be below a half: four standard deviations.
func TestSpreadOverLikeNames(t *testing.T) {
	for _, names := range []struct{ router, server string }{
		{"edge-%d", "e-%03d"}, {"edge-hall-a-%d", "i-%08x"}, {"g%d", "server-%d"}, {"10.1.0.%d:8144", "10.2.0.%d:8604"},
	} {
		for r := range 20 {
			router, belowHalf := fmt.Sprintf(names.router, r), 0
			for s := range 100 {
				if affinity.Of(router, fmt.Sprintf(names.server, s)) < 0.5 {
					belowHalf++
				}
			}
			assert.Check(t, belowHalf >= 30 && belowHalf <= 70, "%s before %s: %d of 100 below a half", router, names.server, belowHalf)
		}
	}
}
