package outputlength_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

const maxTokens = 10_000

// completeRuns completes n runs at factor times their hint, with a spread of sigma.
func completeRuns(l *outputlength.Learner, rng *rand.Rand, n int, factor, sigma float64) {
	for range n {
		hint := 200 + rng.IntN(2000)
		length := min(int(float64(hint)*factor*math.Exp(sigma*rng.NormFloat64())), maxTokens)
		r := l.Begin(hint, maxTokens)
		for done := 0; done < length; done += 100 {
			r.Progress(done)
		}
		r.Progress(length)
		r.End()
	}
}

// TestMedian: the median follows the observed runs, not the hints of callers.
func TestMedian(t *testing.T) {
	for _, c := range []struct {
		name      string
		runs      int
		factor    float64
		hint      int
		low, high int
	}{
		{"no runs observed: the hint", 0, 1, 1000, 900, 1100},
		{"no runs observed, no hint: half of the maximum", 0, 1, 0, 4500, 5500},
		{"hints are right", 100, 1, 1000, 800, 1250},
		{"hints are four times too low", 100, 4, 1000, 3300, 4800},
		{"hints are four times too high", 100, 0.25, 1000, 200, 320},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := outputlength.New()
			completeRuns(l, rand.New(rand.NewPCG(1, 2)), c.runs, c.factor, 0.3)
			got := l.Begin(c.hint, maxTokens).Median()
			assert.Assert(t, got >= c.low && got <= c.high, "%d", got)
		})
	}
}

// TestWorkloadChanges: the median follows within two hundred runs when answers become three
// times as long.
func TestWorkloadChanges(t *testing.T) {
	l := outputlength.New()
	rng := rand.New(rand.NewPCG(3, 4))
	completeRuns(l, rng, 300, 1, 0.3)
	before := l.Begin(1000, maxTokens).Median()
	completeRuns(l, rng, 200, 3, 0.3)
	after := l.Begin(1000, maxTokens).Median()
	assert.Assert(t, before < 1300 && after > 2300, "%d, %d", before, after)
}

// TestRunsInProgressCount: long runs in progress count up to the length they reached. The mean of
// the completed runs alone would be that of the short ones.
func TestRunsInProgressCount(t *testing.T) {
	l := outputlength.New()
	for i := range 60 {
		r := l.Begin(1000, maxTokens)
		if i%3 == 0 {
			r.Progress(500)
			r.End()
			continue
		}
		r.Progress(4000)
	}
	got := l.Begin(1000, maxTokens).Median()
	assert.Assert(t, got > 3000, "%d", got)
}

// TestSurvival: survival is a distribution, which falls from one to zero and is one up to the
// length reached.
func TestSurvival(t *testing.T) {
	l := outputlength.New()
	completeRuns(l, rand.New(rand.NewPCG(5, 6)), 50, 1, 0.5)
	r := l.Begin(1000, maxTokens)
	r.Progress(700)
	assert.Equal(t, r.Survival(700), 1.0)
	last := 1.0
	for tokens := 700.0; tokens < maxTokens; tokens += 50 {
		got := r.Survival(tokens)
		assert.Assert(t, got <= last && got >= 0, "%g at %g", got, tokens)
		last = got
	}
	assert.Equal(t, r.Survival(maxTokens), 0.0)
	shorter := l.Begin(1000, maxTokens)
	assert.Assert(t, r.Survival(1500) > shorter.Survival(1500), "a run that has generated more is likelier to continue")
}

// TestSurvivalIsCalibrated: of many runs, as many exceed a length as was predicted when they were
// half way there.
func TestSurvivalIsCalibrated(t *testing.T) {
	l := outputlength.New()
	rng := rand.New(rand.NewPCG(7, 8))
	completeRuns(l, rng, 400, 1, 0.5)
	var predicted, observed float64
	const n = 400
	for range n {
		hint := 200 + rng.IntN(2000)
		length := float64(hint) * math.Exp(0.5*rng.NormFloat64())
		r := l.Begin(hint, maxTokens)
		if length < 0.7*float64(hint) {
			continue
		}
		r.Progress(int(0.7 * float64(hint)))
		predicted += r.Survival(1.4 * float64(hint))
		if length > 1.4*float64(hint) {
			observed++
		}
	}
	assert.Assert(t, math.Abs(predicted-observed) < 0.1*n, "predicted %.0f, observed %.0f", predicted, observed)
}
