package limit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
)

// TestSlowestQuota guards against a quota so slow that the time until it admits a request overflows: rejected callers were
// told to come back at once.
func TestSlowestQuota(t *testing.T) {
	for _, rate := range []float64{1e-11, 1e-300, math.SmallestNonzeroFloat64} {
		limiters := map[string]limit.Limiter{"shared": limit.NewSharedQuotas(time.Time{})}
		for _, name := range limit.Names() {
			l, err := limit.New(name, 1)
			assert.NilError(t, err)
			limiters[name] = l
		}
		for name, l := range limiters {
			now := time.Now()
			terms := limit.Terms{Rate: rate, Burst: 1}
			rng := rand.New(rand.NewPCG(1, 2))
			var d limit.Decision
			for range 20 {
				now = now.Add(time.Second)
				d = l.Admit("c", terms, now, rng)
			}
			assert.Assert(t, !d.Admitted, "%s %g", name, rate)
			assert.Assert(t, d.RetryAfter > 10*time.Second, "%s %g: %v", name, rate, d.RetryAfter)
		}
	}
}
