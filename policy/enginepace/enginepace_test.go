package enginepace_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
)

var start = time.Unix(1000, 0)

const step = 200 * time.Millisecond

// feed updates an estimate for a period with the evidence of some runs at a pace in seconds, and
// returns the end of the period and when the engine last changed between usual and slow.
func feed(e *enginepace.Estimate, runs int, perToken float64, from time.Time, period time.Duration) (end, changed time.Time) {
	var w enginepace.Window
	now := from
	for ; now.Before(from.Add(period)); now = now.Add(step) {
		for range runs {
			w.Observe(int(math.Round(step.Seconds()/perToken)), step, now)
		}
		if e.Update(w.Evidence(now), now) {
			changed = now
		}
	}
	return now, changed
}

// TestEstimateLearnsAndFollows: an engine is known after some seconds, becomes slow within two seconds,
// and has recovered as soon. A slowdown must not change what is usual.
func TestEstimateLearnsAndFollows(t *testing.T) {
	for _, c := range []struct {
		name string
		runs int
	}{{"one run", 1}, {"five runs", 5}, {"forty runs", 40}} {
		t.Run(c.name, func(t *testing.T) {
			var e enginepace.Estimate
			assert.Equal(t, e.PerToken(), 0.0)
			now, _ := feed(&e, c.runs, 0.008, start, 8*time.Second)
			assert.Assert(t, math.Abs(e.PerToken()-0.008) < 0.0005, "%g", e.PerToken())
			slowFrom := now
			now, changed := feed(&e, c.runs, 0.032, now, 6*time.Second)
			assert.Assert(t, e.Slow() && changed.Sub(slowFrom) <= 2*time.Second, "after %s", changed.Sub(slowFrom))
			assert.Assert(t, e.PerToken() > 0.028, "%g", e.PerToken())
			assert.Assert(t, e.Usual() < 0.012, "%g", e.Usual())
			recoveredFrom := now
			_, changed = feed(&e, c.runs, 0.008, now, 6*time.Second)
			assert.Assert(t, !e.Slow() && changed.Sub(recoveredFrom) <= 3*time.Second, "after %s", changed.Sub(recoveredFrom))
		})
	}
}

// TestSlowEngineWithoutRuns: an engine that is avoided gives no evidence, and must be tried again.
func TestSlowEngineWithoutRuns(t *testing.T) {
	var e enginepace.Estimate
	now, _ := feed(&e, 3, 0.008, start, 3*time.Second)
	now, _ = feed(&e, 3, 0.04, now, 3*time.Second)
	assert.Assert(t, e.Slow())
	assert.Assert(t, !e.Update(enginepace.Evidence{}, now.Add(time.Second)) && e.Slow())
	assert.Assert(t, e.Update(enginepace.Evidence{}, now.Add(5*time.Second)) && !e.Slow())
	assert.Assert(t, math.Abs(e.PerToken()-0.008) < 0.003, "%g", e.PerToken())
}

// TestLastingChange: an engine that remains slow is a slow engine, not a faulty one.
func TestLastingChange(t *testing.T) {
	var e enginepace.Estimate
	now, _ := feed(&e, 3, 0.008, start, 5*time.Second)
	feed(&e, 3, 0.024, now, 5*time.Minute)
	assert.Assert(t, !e.Slow() && e.PerToken() > 0.02, "%g", e.PerToken())
}

// TestEvidence: evidence of several routers can be added and subtracted without a remainder, and
// wears off.
func TestEvidence(t *testing.T) {
	var w enginepace.Window
	w.Observe(100, 700*time.Millisecond, start)
	a := w.Evidence(start)
	assert.Equal(t, a, enginepace.Evidence{Tokens: 100, Micros: 700_000})
	assert.Assert(t, math.Abs(a.PerToken()-0.007) < 1e-9)
	sum := a
	sum.Add(w.Evidence(start.Add(time.Second)), 1)
	sum.Add(w.Evidence(start.Add(time.Second)), -1)
	assert.Equal(t, sum, a)
	assert.Equal(t, w.Evidence(start.Add(time.Minute)), enginepace.Evidence{})
}

func TestFleet(t *testing.T) {
	for _, c := range []struct {
		name    string
		paces   []float64
		median  float64
		unequal bool
	}{
		{"none known", []float64{0, 0}, 0, false},
		{"two known", []float64{0.004, 0.012, 0}, 0.012, false},
		{"load alone", []float64{0.0040, 0.0042, 0.0052}, 0.0042, false},
		{"speeds of 1, 1 and 1.3", []float64{0.0046, 0.006, 0.007}, 0.006, false},
		{"three classes", []float64{0.0044, 0, 0.0075, 0.012}, 0.0075, true},
	} {
		f := enginepace.Summarize(c.paces)
		assert.Equal(t, f.Median, c.median, c.name)
		assert.Equal(t, f.Unequal(), c.unequal, c.name)
	}
}
