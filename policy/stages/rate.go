package stages

import (
	"math"
	"time"
)

// PrefillRate estimates how many tokens per second an engine prefills from observed prefill times.
// Under load a prefill also waits in the queue, so only the shortest time observed for each length
// counts. Part of that time is independent of the length, so the rate is the slope of a linear
// regression over lengths. It is not safe for concurrent use.
type PrefillRate struct {
	fastest [lengthClasses]prefillSample
}

type prefillSample struct {
	count   int
	tokens  float64
	seconds float64
}

const (
	// lengthClasses is the number of classes of prompt length, each lengthClassWidth tokens wide.
	lengthClasses    = 16
	lengthClassWidth = 1024
	// minClassCount is the number of prefills in a class from which its shortest time counts.
	minClassCount = 3
	// fastestGrowth lets the shortest time grow with each prefill, so that an engine that has
	// become slower is detected after about a hundred prefills.
	fastestGrowth = 1.002
)

// Observe records that the prefill of that many tokens took d.
func (r *PrefillRate) Observe(tokens int, d time.Duration) {
	s := &r.fastest[min(max(tokens/lengthClassWidth, 0), lengthClasses-1)]
	s.count++
	s.seconds *= fastestGrowth
	if s.count == 1 || d.Seconds() < s.seconds {
		s.tokens, s.seconds = float64(tokens), d.Seconds()
	}
}

// TokensPerSecond is the rate of one engine, or zero with too few observations.
func (r *PrefillRate) TokensPerSecond() float64 {
	var n, sx, sy, sxx, sxy float64
	for _, s := range r.fastest {
		if s.count < minClassCount {
			continue
		}
		n++
		sx += s.tokens
		sy += s.seconds
		sxx += s.tokens * s.tokens
		sxy += s.tokens * s.seconds
	}
	variance := n*sxx - sx*sx
	if n < 3 || variance <= 0 {
		return 0
	}
	slope := (n*sxy - sx*sy) / variance
	if slope <= 0 {
		return 0
	}
	return 1 / slope
}

// ArrivalRate is an exponentially decaying average of the amount that arrives per second.
type ArrivalRate struct {
	value          float64
	first, updated time.Time
}

// arrivalTimeConstant is the time in which an arrival loses most of its weight.
const arrivalTimeConstant = 5 * time.Second

// Add records that v arrived.
func (a *ArrivalRate) Add(v float64, now time.Time) {
	if a.first.IsZero() {
		a.first, a.updated = now, now
	}
	a.value = a.decayed(now) + v/arrivalTimeConstant.Seconds()
	a.updated = now
}

// At is the average at now. Soon after the first arrival it is the mean since then.
func (a *ArrivalRate) At(now time.Time) float64 {
	if a.first.IsZero() {
		return 0
	}
	observed := 1 - math.Exp(-float64(now.Sub(a.first))/float64(arrivalTimeConstant))
	return a.decayed(now) / max(observed, minObservedShare)
}

// minObservedShare bounds the correction for an average that has just begun.
const minObservedShare = 0.2

func (a *ArrivalRate) decayed(now time.Time) float64 {
	return a.value * math.Exp(-float64(now.Sub(a.updated))/float64(arrivalTimeConstant))
}
