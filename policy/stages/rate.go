package stages

import (
	"math"
	"time"
)

// PrefillRate learns how many tokens an engine reads in a second from the times that readings
// took. Under load a reading waits behind others, so only the shortest time that was
// seen for each length counts; a part of it does not depend on the length, so the rate
// is the slope over lengths. It is not safe for concurrent use.
type PrefillRate struct {
	shortest [rateLengths]sample
}

type sample struct {
	seen   int
	tokens float64
	took   float64
}

const (
	// rateLengths is the number of classes of length, each rateWidth tokens wide.
	rateLengths = 16
	rateWidth   = 1024
	// rateSeen is the number of readings in a class from which its shortest counts.
	rateSeen = 3
	// rateForget lets the shortest time grow with each reading, so that an engine that
	// has become slower is noticed after some hundred.
	rateForget = 1.002
)

// Observe notes that reading tokens took d.
func (r *PrefillRate) Observe(tokens int, d time.Duration) {
	s := &r.shortest[min(max(tokens/rateWidth, 0), rateLengths-1)]
	s.seen++
	s.took *= rateForget
	if s.seen == 1 || d.Seconds() < s.took {
		s.tokens, s.took = float64(tokens), d.Seconds()
	}
}

// TokensPerSecond is the rate of one engine, or zero when too little is known.
func (r *PrefillRate) TokensPerSecond() float64 {
	var n, sx, sy, sxx, sxy float64
	for _, s := range r.shortest {
		if s.seen < rateSeen {
			continue
		}
		n++
		sx += s.tokens
		sy += s.took
		sxx += s.tokens * s.tokens
		sxy += s.tokens * s.took
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

// ArrivalRate is a mean of what arrives in a second, over the last seconds.
type ArrivalRate struct {
	value     float64
	began, at time.Time
}

// meanLife is the time in which an arrival loses most of its weight.
const meanLife = 5 * time.Second

// Add notes that v arrived.
func (m *ArrivalRate) Add(v float64, now time.Time) {
	if m.began.IsZero() {
		m.began, m.at = now, now
	}
	m.value = m.decayed(now) + v/meanLife.Seconds()
	m.at = now
}

// At is the mean at now. Soon after the first arrival it is the mean since then.
func (m *ArrivalRate) At(now time.Time) float64 {
	if m.began.IsZero() {
		return 0
	}
	known := 1 - math.Exp(-float64(now.Sub(m.began))/float64(meanLife))
	return m.decayed(now) / max(known, meanKnown)
}

// meanKnown bounds the correction for a mean that has just begun.
const meanKnown = 0.2

func (m *ArrivalRate) decayed(now time.Time) float64 {
	return m.value * math.Exp(-float64(now.Sub(m.at))/float64(meanLife))
}
