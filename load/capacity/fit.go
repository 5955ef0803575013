package capacity

import "math"

// Fit is a least-squares line through points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the standard deviation of the points from the line, in the unit of y.
	Residual float64 `json:"residual"`
}

// NewFit fits y over x. With fewer than two different values of x, the line is flat at the
// mean.
func NewFit(x, y []float64) Fit {
	mx, my := mean(x), mean(y)
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	var f Fit
	if sxx > 0 {
		f.Slope = sxy / sxx
	}
	f.Intercept = my - f.Slope*mx
	f.Residual = f.residual(x, y)
	return f
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

func (f Fit) residual(x, y []float64) float64 {
	const parameters = 2
	if len(x) <= parameters {
		return 0
	}
	var sum float64
	for i := range x {
		d := y[i] - f.At(x[i])
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(x)-parameters))
}

func mean(v []float64) float64 {
	var sum float64
	for _, a := range v {
		sum += a
	}
	return sum / float64(max(len(v), 1))
}
