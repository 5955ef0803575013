package kvmemory

import (
	"math"
	"time"
)

// NumHorizons is the number of moments for which memory is forecast.
const NumHorizons = 8

// moments are how far ahead memory is forecast: from now on, doubling, so that runs of half a
// second and of half a minute are both seen to end.
var moments = [NumHorizons]time.Duration{
	0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// Forecast is the memory that runs hold at the moments ahead: the sums of its means, in
// tokens, and of its variances. Forecasts of different runs, and of different routers, add up.
type Forecast struct {
	Mean, Variance [NumHorizons]float64
	// Max is what they hold at most, in tokens: all of them at the longest that they may generate.
	// Mean and deviation alone exceed it where runs are few: a run that ends in the next second with a
	// chance of one half counts half as much again as it can hold. Requests of six tenths of an engine's
	// memory were refused by empty engines for that.
	Max float64
}

// Constant returns the forecast of runs that hold that much memory until further notice.
func Constant(tokens int) Forecast {
	var f Forecast
	for i := range f.Mean {
		f.Mean[i] = float64(tokens)
	}
	f.Max = float64(tokens)
	return f
}

// Add adds sign times o.
func (f *Forecast) Add(o *Forecast, sign float64) {
	for i := range f.Mean {
		f.Mean[i] += sign * o.Mean[i]
		f.Variance[i] += sign * o.Variance[i]
	}
	f.Max += sign * o.Max
}

// Aged is what a forecast that was made that long ago says of now.
func (f *Forecast) Aged(age time.Duration) Forecast {
	out := Forecast{Max: f.Max}
	for i, ahead := range moments {
		out.Mean[i], out.Variance[i] = f.at(ahead + age)
	}
	return out
}

// AgedStillRunning is what a forecast of that many runs, made that long ago, says of now, given that none of them has
// ended since: ends are told at once, so that silence means that they go on. Without that, in a replay of 40 routers
// that report once a second, 131 runs of 3,268 are preempted instead of 51 (TestSilenceMeansThatRunsGoOn).
func (f *Forecast) AgedStillRunning(age time.Duration, runs int) Forecast {
	out := f.Aged(age)
	held, likely := f.Mean[0], out.Mean[0]
	if runs <= 0 || likely >= held {
		return out
	}
	for i, mean := range out.Mean {
		if likely > 0 {
			mean = math.Round(min(mean*held/likely, f.Max))
		} else {
			mean = held
		}
		out.Mean[i] = mean
		out.Variance[i] = math.Round(max(mean*(held-mean), 0) / float64(runs))
	}
	return out
}

// at is the forecast between two moments.
func (f *Forecast) at(ahead time.Duration) (mean, variance float64) {
	for i := 1; i < NumHorizons; i++ {
		if ahead > moments[i] {
			continue
		}
		part := float64(ahead-moments[i-1]) / float64(moments[i]-moments[i-1])
		mean = math.Round(f.Mean[i-1] + part*(f.Mean[i]-f.Mean[i-1]))
		variance = math.Round(f.Variance[i-1] + part*(f.Variance[i]-f.Variance[i-1]))
		return mean, variance
	}
	return f.Mean[NumHorizons-1], f.Variance[NumHorizons-1]
}

// Margin is what is kept for what is not known of the lengths of runs.
type Margin struct {
	// Deviations is by how many standard deviations the sum may exceed its mean: some runs last longer
	// than expected and others end sooner.
	Deviations float64
	// Growth is the share of what all runs may still grow by that is kept besides: what was learned of
	// lengths, and of the pace at which they grow, is wrong for all runs of a burst alike.
	Growth float64
}

// DefaultMargin returns the margin that was measured by replay. With two deviations and no growth as many are
// answered in time where answers are as long as prompts, but three times as many runs are preempted
// (TestPeakOfGrowingRuns, 928 and 7 against 925 and 20); where prompts are most of the memory, 0.88 of what is
// owed is earned instead of 0.90, and 0.064 of all are turned away for good instead of 0.044
// (TestMarginAtManyRouters).
func DefaultMargin() Margin { return Margin{Deviations: 1, Growth: 0.1} }

// Peak is the most memory that is held at any of the moments, in tokens: the mean and the margin, or what can
// be held at most if that is less.
func (f *Forecast) Peak(m Margin) float64 {
	var none Forecast
	return peak(m, f, &none)
}

// peak is the peak of a sum. A choice among hundreds of engines works it out for each: it
// takes a root only where the highest moment is not known yet.
func peak(m Margin, a, b *Forecast) float64 {
	highest := 0.0
	for i := range a.Mean {
		mean := a.Mean[i] + b.Mean[i]
		variance := a.Variance[i] + b.Variance[i]
		if below := highest - mean; below >= 0 && below*below >= m.Deviations*m.Deviations*variance {
			continue
		}
		held := mean
		if variance > 0 {
			held += m.Deviations * math.Sqrt(variance)
		}
		if held > highest {
			highest = held
		}
	}
	most := a.Max + b.Max
	// Comparisons: min and max of floats heed NaN and signed zero, which took a tenth of a choice among 350 engines.
	if growth := most - a.Mean[0] - b.Mean[0]; growth > 0 {
		highest += m.Growth * growth
	}
	if highest > most {
		return most
	}
	return highest
}

// Load is what runs on one engine hold.
type Load struct {
	// Tokens is the memory that they are thought to take at their ends, Runs their number.
	Tokens, Runs int
	Forecast     Forecast
}

// Add adds sign times o.
func (l *Load) Add(o *Load, sign int) {
	l.Tokens += sign * o.Tokens
	l.Runs += sign * o.Runs
	l.Forecast.Add(&o.Forecast, float64(sign))
}
