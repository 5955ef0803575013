package stages_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/stages"
)

// TestDemandWhileOnlyShortRunsTerminated replays the first runs after traffic begins, of which
// only the short ones have terminated. Demand must be accurate although the mean is too low.
func TestDemandWhileOnlyShortRunsTerminated(t *testing.T) {
	const perToken = 4300 * time.Microsecond
	prefill := 250 * time.Millisecond
	type run struct {
		tokens int
		ends   time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var runs []run
	var memoryRate, weightedRate, truth float64
	for i := range 40 {
		tokens := 100 + rng.IntN(1700)
		took := prefill + time.Duration(tokens)*perToken
		runs = append(runs, run{tokens, time.Duration(i)*50*time.Millisecond + took})
		// Forty requests in two seconds, of 5,000 tokens each.
		memoryRate += 5000 / 2.0
		weightedRate += 5000 / 2.0 * float64(tokens)
		truth += 5000 / 2.0 * took.Seconds()
	}
	slices.SortFunc(runs, func(a, b run) int { return int(a.ends - b.ends) })
	var h stages.HoldTime
	assert.Equal(t, h.Demand(memoryRate, weightedRate), 0.0)
	assert.Equal(t, h.Mean(), time.Duration(0))
	for _, r := range runs[:5] {
		h.Observe(prefill, time.Duration(r.tokens)*perToken, r.tokens)
	}
	assert.Assert(t, memoryRate*h.Mean().Seconds() < truth/2, "the mean of the terminated runs is far too low")
	assert.Assert(t, math.Abs(h.Demand(memoryRate, weightedRate)-truth) < truth/100)
}

func TestHoldTimeFollowsRecentRuns(t *testing.T) {
	var h stages.HoldTime
	for range 10 {
		h.Observe(0, time.Second, 100)
	}
	for range 200 {
		h.Observe(0, 3*time.Second, 100)
	}
	assert.Assert(t, h.Mean() > 2900*time.Millisecond)
}
