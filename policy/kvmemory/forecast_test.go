package kvmemory_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

// loadOfOneRun is the load of one run of 5,000 prompt tokens and about 4,000 generated ones.
func loadOfOneRun(t *testing.T) kvmemory.Load {
	t.Helper()
	p := pool("g", 1)
	r := &kvmemory.Run{Need: 9000, Prompt: 5000, Length: outputlength.New().Begin(4000, 9360)}
	id, ok := p.Pick(kvmemory.Request{Run: r}, start)
	assert.Assert(t, ok)
	p.Place(id, r)
	return p.OwnLoad(id, start)
}

// TestForecast: the forecast of a run grows from the size of its prompt, and at the last horizon
// the run has ended.
func TestForecast(t *testing.T) {
	f := loadOfOneRun(t).Forecast
	assert.Equal(t, f.Mean[0], 5000.0)
	assert.Equal(t, f.Variance[0], 0.0, "the memory held now is known")
	assert.Assert(t, f.Mean[3] > 5800, "a second ahead: %g", f.Mean[3])
	assert.Equal(t, f.Mean[kvmemory.NumHorizons-1], 0.0, "the run can't last sixteen seconds")
	noMargin, deviations, both := kvmemory.Margin{}, kvmemory.Margin{Deviations: 2}, kvmemory.Margin{Deviations: 2, Growth: 0.1}
	assert.Assert(t, f.Peak(deviations) > f.Peak(noMargin) && f.Peak(noMargin) >= f.Mean[3])
	assert.Assert(t, f.Peak(both) > f.Peak(deviations) && f.Peak(both) <= f.Max)
}

// TestAged: a forecast made half a second ago predicts the same as a new one, and aged forecasts
// can be added and subtracted without a remainder.
func TestAged(t *testing.T) {
	f := loadOfOneRun(t).Forecast
	aged := f.Aged(500 * time.Millisecond)
	assert.Equal(t, aged.Mean[0], f.Mean[2])
	assert.Equal(t, aged.Variance[1], math.Round((f.Variance[2]+f.Variance[3])/2))
	assert.Equal(t, aged.Mean[kvmemory.NumHorizons-1], f.Mean[kvmemory.NumHorizons-1])
	assert.Equal(t, f.Aged(0), f)
	sum := f
	sum.Add(&aged, 1)
	sum.Add(&aged, -1)
	assert.Equal(t, sum, f, "subtracting a forecast leaves no remainder")
}

// TestLongPromptFitsAnEmptyEngine: for a single run that is as likely to end as not, the mean plus
// two deviations is half as much again as it can hold. The run must still fit an empty engine whose
// memory suffices.
func TestLongPromptFitsAnEmptyEngine(t *testing.T) {
	const capacity, hint, maxLength = 50_000, 800, 1900
	for tenth := 1; tenth <= 9; tenth++ {
		p := pool("g", 1)
		prompt := tenth * capacity / 10
		r := &kvmemory.Run{Need: prompt + hint, Prompt: prompt, Length: outputlength.New().Begin(hint, maxLength)}
		id, ok := p.Pick(kvmemory.Request{Run: r}, start)
		assert.Assert(t, ok, "%d tenths of an engine's memory", tenth)
		p.Place(id, r)
		tooLarge := &kvmemory.Run{Need: capacity - prompt, Prompt: capacity - prompt, Length: outputlength.New().Begin(hint, maxLength)}
		_, ok = p.Pick(kvmemory.Request{Run: tooLarge}, start)
		assert.Assert(t, !ok, "no memory remains beside %d tenths", tenth)
	}
}

// TestAgedStillRunning: a run whose end was not reported still holds its memory, and may end at any
// time from now on.
func TestAgedStillRunning(t *testing.T) {
	f := loadOfOneRun(t).Forecast
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, time.Minute} {
		now := f.AgedStillRunning(age, 1)
		assert.Assert(t, now.Mean[0] >= f.Mean[0], "after %s: %g", age, now.Mean[0])
		assert.Assert(t, now.Peak(kvmemory.DefaultMargin()) <= f.Max)
	}
	assert.Equal(t, f.AgedStillRunning(0, 1), f)
	later := f.AgedStillRunning(5*time.Second, 1)
	assert.Assert(t, later.Mean[kvmemory.NumHorizons-1] < later.Mean[0], "the run is expected to end")
}
