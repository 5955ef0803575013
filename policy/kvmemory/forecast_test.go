package kvmemory_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/runlength"
)

// told is the load of one run of 5,000 prompt tokens and about 4,000 generated ones.
func told(t *testing.T) kvmemory.Load {
	t.Helper()
	p := pool("g", 1)
	r := &kvmemory.Run{Need: 9000, Prompt: 5000, Length: runlength.New().Begin(4000, 9360)}
	id, ok := p.Pick(kvmemory.Request{Run: r}, start)
	assert.Assert(t, ok)
	p.Place(id, r)
	return p.OwnLoad(id, start)
}

// TestForecast: a run grows from its prompt, and is likely to have ended in the end.
func TestForecast(t *testing.T) {
	f := told(t).Forecast
	assert.Equal(t, f.Mean[0], 5000.0)
	assert.Equal(t, f.Variance[0], 0.0, "what it holds now is known")
	assert.Assert(t, f.Mean[3] > 5800, "a second ahead: %g", f.Mean[3])
	assert.Equal(t, f.Mean[kvmemory.NumHorizons-1], 0.0, "it can't last for sixteen seconds")
	none, deviations, both := kvmemory.Margin{}, kvmemory.Margin{Deviations: 2}, kvmemory.Margin{Deviations: 2, Growth: 0.1}
	assert.Assert(t, f.Peak(deviations) > f.Peak(none) && f.Peak(none) >= f.Mean[3])
	assert.Assert(t, f.Peak(both) > f.Peak(deviations) && f.Peak(both) <= f.Max)
}

// TestAfter: what was told half a second ago is worth as much as what is told now, and adds up.
func TestAfter(t *testing.T) {
	f := told(t).Forecast
	aged := f.Aged(500 * time.Millisecond)
	assert.Equal(t, aged.Mean[0], f.Mean[2])
	assert.Equal(t, aged.Variance[1], math.Round((f.Variance[2]+f.Variance[3])/2))
	assert.Equal(t, aged.Mean[kvmemory.NumHorizons-1], f.Mean[kvmemory.NumHorizons-1])
	assert.Equal(t, f.Aged(0), f)
	sum := f
	sum.Add(&aged, 1)
	sum.Add(&aged, -1)
	assert.Equal(t, sum, f, "nothing is left of what was taken off again")
}

// TestLongPromptFitsAnEmptyEngine: mean and two deviations of one run whose end is as likely as not are half
// as much again as it can hold. What fits is decided by the engine's memory, not by that sum.
func TestLongPromptFitsAnEmptyEngine(t *testing.T) {
	const capacity, hint, most = 50_000, 800, 1900
	for tenth := 1; tenth <= 9; tenth++ {
		p := pool("g", 1)
		prompt := tenth * capacity / 10
		r := &kvmemory.Run{Need: prompt + hint, Prompt: prompt, Length: runlength.New().Begin(hint, most)}
		id, ok := p.Pick(kvmemory.Request{Run: r}, start)
		assert.Assert(t, ok, "%d tenths of an engine's memory", tenth)
		p.Place(id, r)
		over := &kvmemory.Run{Need: capacity - prompt, Prompt: capacity - prompt, Length: runlength.New().Begin(hint, most)}
		_, ok = p.Pick(kvmemory.Request{Run: over}, start)
		assert.Assert(t, !ok, "what is left beside %d tenths is known", tenth)
	}
}

// TestGoingOn: a run of which no end was told still holds what it held, and may end from now on.
func TestGoingOn(t *testing.T) {
	f := told(t).Forecast
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, time.Minute} {
		now := f.AgedStillRunning(age, 1)
		assert.Assert(t, now.Mean[0] >= f.Mean[0], "after %s: %g", age, now.Mean[0])
		assert.Assert(t, now.Peak(kvmemory.DefaultMargin()) <= f.Max)
	}
	assert.Equal(t, f.AgedStillRunning(0, 1), f)
	late := f.AgedStillRunning(5*time.Second, 1)
	assert.Assert(t, late.Mean[kvmemory.NumHorizons-1] < late.Mean[0], "it ends some time")
}
