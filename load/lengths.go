package load

import (
	"math"
	"math/rand/v2"
)

// Lengths is a log-normal distribution of lengths in tokens, clamped to [Min, Max].
type Lengths struct {
	// Mean is the mean before clamping.
	Mean float64
	// Sigma is the standard deviation of the logarithm.
	Sigma    float64
	Min, Max int
}

// Fixed returns a distribution that always draws n.
func Fixed(n int) Lengths {
	return Lengths{Mean: float64(n), Min: n, Max: n}
}

// Draw returns one length.
func (l Lengths) Draw(r *rand.Rand) int {
	mu := math.Log(l.Mean) - l.Sigma*l.Sigma/2
	n := int(math.Round(math.Exp(mu + l.Sigma*r.NormFloat64())))
	return min(max(n, l.Min), l.Max)
}
