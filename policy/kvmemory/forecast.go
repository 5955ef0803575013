package kvmemory

import (
	"math"
	"time"
)

// Ahead is the number of moments for which memory is forecast.
const Ahead = 8

// moments are how far ahead memory is forecast: from now on, doubling, so that runs of half a
// second and of half a minute are both seen to end.
var moments = [Ahead]time.Duration{
	0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// Forecast is the memory that runs hold at the moments ahead: the sums of its means, in
// tokens, and of its variances. Forecasts of different runs, and of different routers, add up.
type Forecast struct {
	Mean, Variance [Ahead]float64
}

// Constant returns the forecast of runs that hold that much memory until further notice.
func Constant(tokens int) Forecast {
	var f Forecast
	for i := range f.Mean {
		f.Mean[i] = float64(tokens)
	}
	return f
}

// Add adds sign times o.
func (f *Forecast) Add(o *Forecast, sign float64) {
	for i := range f.Mean {
		f.Mean[i] += sign * o.Mean[i]
		f.Variance[i] += sign * o.Variance[i]
	}
}

// Peak is the most memory that is held at any of the moments, in tokens: the mean and caution
// standard deviations.
func (f *Forecast) Peak(caution float64) float64 {
	peak := 0.0
	for i, mean := range f.Mean {
		peak = max(peak, mean+caution*math.Sqrt(max(f.Variance[i], 0)))
	}
	return peak
}

// Load is what runs on one engine hold.
type Load struct {
	// Tokens is the memory that they are thought to take at their ends, Runs their number.
	Tokens, Runs int
	Ahead        Forecast
}

// Add adds sign times o.
func (l *Load) Add(o *Load, sign int) {
	l.Tokens += sign * o.Tokens
	l.Runs += sign * o.Runs
	l.Ahead.Add(&o.Ahead, float64(sign))
}
