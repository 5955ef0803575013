package stages

import (
	"math"
	"time"
)

// Rate learns how many tokens an engine reads in a second from the times that reading
// took: the slope of time over tokens, since a part of the time does not depend on the
// length. It takes the time from its caller and is not safe for concurrent use.
type Rate struct {
	n, sx, sy, sxx, sxy float64
}

const (
	// rateSamples is the number of readings from which the slope is used.
	rateSamples = 30
	// rateDecay is what an older reading counts beside the next.
	rateDecay = 0.99
)

// Observe notes that reading tokens took d.
func (r *Rate) Observe(tokens int, d time.Duration) {
	x, y := float64(tokens), d.Seconds()
	r.n = r.n*rateDecay + 1
	r.sx = r.sx*rateDecay + x
	r.sy = r.sy*rateDecay + y
	r.sxx = r.sxx*rateDecay + x*x
	r.sxy = r.sxy*rateDecay + x*y
}

// PerSecond is the rate of one engine, or zero when too little is known.
func (r *Rate) PerSecond() float64 {
	if r.n < rateSamples*rateDecay/2 {
		return 0
	}
	variance := r.n*r.sxx - r.sx*r.sx
	slope := (r.n*r.sxy - r.sx*r.sy) / variance
	if variance <= 0 || slope <= 0 {
		return 0
	}
	return 1 / slope
}

// Mean is a mean of what arrives in a second, over the last seconds.
type Mean struct {
	value float64
	at    time.Time
}

// meanLife is the time in which an arrival loses most of its weight.
const meanLife = 5 * time.Second

// Add notes that v arrived.
func (m *Mean) Add(v float64, now time.Time) {
	m.value = m.At(now) + v/meanLife.Seconds()
	m.at = now
}

// At is the mean at now.
func (m *Mean) At(now time.Time) float64 {
	return m.value * math.Exp(-float64(now.Sub(m.at))/float64(meanLife))
}
