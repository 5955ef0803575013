package gateway

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/serverlimit"
)

// TestServerLimitsAreTold: what one gateway tells of limits is what another one hears.
func TestServerLimitsAreTold(t *testing.T) {
	now := start.Add(time.Minute)
	told := forward.ServerLimitUpdates{
		Limits: []serverlimit.ReportedLimit{
			{ID: "a@1", Statement: serverlimit.Statement{Limit: serverlimit.Limit{Limited: true, PerSecond: 3.2}, At: now.Add(-time.Second)}},
			{ID: "b", Statement: serverlimit.Statement{At: now.Add(-2 * time.Second)}},
		},
		Used:     []limit.ReportedUsage{{Customer: "a@1", Charged: 7, Returned: 1, Demand: 2, Remaining: -0.5}},
		Informed: true,
	}
	assert.DeepEqual(t, decodeServerLimits(encodeServerLimits(told, now), now), told)
	assert.Assert(t, encodeServerLimits(forward.ServerLimitUpdates{Informed: true}, now) == nil, "nothing to tell")
}

// TestServerLimitsThatCanNotBe: a faulty gateway's limits are passed over.
func TestServerLimitsThatCanNotBe(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		l := &peer.ServerLimits{Limits: []*peer.ServerLimit{{Server: "a", Limited: true, PerSecond: perSecond}}}
		assert.Equal(t, len(decodeServerLimits(l, start).Limits), 0, "%g", perSecond)
	}
	assert.Equal(t, len(decodeServerLimits(nil, start).Limits), 0)
}
