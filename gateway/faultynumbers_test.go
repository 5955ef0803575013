package gateway

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
)

// TestNumbersOfFaultyPeers guards against a number of another gateway after which a customer's quota admits nobody, or all,
// as long as the process runs.
func TestNumbersOfFaultyPeers(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64, -math.MaxFloat64}
	for _, n := range odd {
		now := time.Now()
		q := limit.NewSharedQuotas(now)
		terms := limit.Terms{Rate: 10, Burst: 10, Cost: 1}
		now = now.Add(time.Minute)
		assert.Assert(t, q.Admit("c", terms, now, nil).Admitted)
		for _, u := range []*peer.Usage{
			{Customer: "c", Charged: n}, {Customer: "c", Returned: n}, {Customer: "c", Demand: n}, {Customer: "c", Left: n},
			{Customer: "c", Ordered: true, DemandByClass: []float32{float32(n)}},
		} {
			q.Receive("peer", 1, true, true, decodeUsages(&peer.Usages{Customers: []*peer.Usage{u}}), now)
		}
		now = now.Add(time.Minute)
		admitted := 0
		for range 100 {
			if q.Admit("c", terms, now, nil).Admitted {
				admitted++
			}
		}
		assert.Assert(t, admitted >= 5 && admitted <= 10, "%g: %d of 100 at once, 10 allowed", n, admitted)
	}
}
