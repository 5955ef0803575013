// Package outputlength learns how many tokens runs generate, as a distribution instead of a
// single number.
//
// Load pattern: a caller's hint is right at the median and off by a factor of two for a third
// of the runs, and the memory of a run doubles while it generates. Memory reserved by the hint
// is too little for half of the runs and partly unused for the other half. What counts is the
// probability that a run continues from the length it has reached, and up to which length.
//
// Lengths are learned relative to the hint, or to the maximum length where there is none, as a
// hazard: of the runs that reached a length, the share that completed there. Runs in progress
// and runs that were cut off count up to the length they reached (the Kaplan-Meier estimator
// for right-censored data), so that the long runs of a burst count before they complete.
//
// A Learner is deterministic and not safe for concurrent use.
package outputlength

import "math"

const (
	// perOctave is the number of buckets in which a length doubles: a quarter of an octave
	// is a fifth more, less than the error of any hint.
	perOctave = 4
	// octaves is how far below and above the hint lengths are distinguished.
	octaves = 4
	buckets = 2*octaves*perOctave + 1
	// decayFactor is the weight that earlier runs retain with each run that completes: some
	// hundred count, those of ten seconds in a small cluster.
	decayFactor = 0.99
	// priorRuns is the weight, in runs, of the prior distribution: the hint at the median, with a
	// spread of priorSpread octaves. Eight runs complete in the first seconds of any load.
	priorRuns   = 8
	priorSpread = 1.0
	// maxHazard bounds the share of runs that complete in a bucket, so that a run which has
	// outlived all others is not expected to complete at once.
	maxHazard = 0.95
)

// Learner holds the length distribution of the runs of one route.
type Learner struct {
	// hinted is the curve of runs with a hint, relative to it; bounded is that of runs without,
	// relative to their maximum length.
	hinted, bounded curve
}

// New returns a Learner that has observed no run.
func New() *Learner {
	l := &Learner{}
	l.hinted.setPrior(0)
	// Without a hint only the maximum length is known; runs complete well before it.
	l.bounded.setPrior(-1)
	return l
}

// curve is the hazard by bucket.
type curve struct {
	// reached and ended are the weights of runs that reached a bucket and completed there.
	reached, ended [buckets]float64
	// cumulative is the hazard summed up to the lower bound of each bucket, as the negative
	// logarithm of the share of runs that continued; stale once reached or ended have changed.
	cumulative [buckets + 1]float64
	stale      bool
}

// setPrior sets the distribution that is assumed before any run is observed, with a median
// that many octaves from the scale.
func (c *curve) setPrior(median float64) {
	left := float64(priorRuns)
	for b := range buckets {
		high := (float64(b+1)/perOctave - octaves - median) / priorSpread
		after := priorRuns * 0.5 * math.Erfc(high/math.Sqrt2)
		c.reached[b], c.ended[b] = left, left-after
		left = after
	}
	c.stale = true
}

// decay lowers the weight of earlier runs.
func (c *curve) decay() {
	for b := range buckets {
		c.reached[b] *= decayFactor
		c.ended[b] *= decayFactor
	}
}

// update recomputes cumulative if it is stale.
func (c *curve) update() {
	if !c.stale {
		return
	}
	c.stale = false
	for b := range buckets {
		share := maxHazard
		if c.reached[b] > 0 {
			share = min(c.ended[b]/c.reached[b], maxHazard)
		}
		c.cumulative[b+1] = c.cumulative[b] - math.Log1p(-share)
	}
}

// hazardUpTo is the cumulative hazard up to a position, in buckets.
func (c *curve) hazardUpTo(at float64) float64 {
	at = min(max(at, 0), buckets)
	b := min(int(at), buckets-1)
	return c.cumulative[b] + (at-float64(b))*(c.cumulative[b+1]-c.cumulative[b])
}

// Run is the state of one run. It is not safe for concurrent use; the lock that guards its Learner
// guards it too.
type Run struct {
	curve *curve
	// scale is the length that positions are relative to, maxTokens the maximum length, both in
	// tokens.
	scale, maxTokens float64
	// tokens is the number of tokens generated so far, bucket the bucket of that length.
	tokens float64
	bucket int
}

// Begin returns a run that has generated nothing yet. The hint is zero if there is none.
func (l *Learner) Begin(hint, maxTokens int) *Run {
	r := &Run{curve: &l.hinted, scale: float64(hint), maxTokens: float64(max(maxTokens, 1))}
	if hint <= 0 || hint > maxTokens {
		r.curve, r.scale = &l.bounded, r.maxTokens
	}
	r.curve.reached[0]++
	r.curve.stale = true
	return r
}

// position returns where a length lies, in buckets.
func (r *Run) position(tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	return (math.Log2(tokens/r.scale) + octaves) * perOctave
}

// Progress records that the run has generated that many tokens in all.
func (r *Run) Progress(tokens int) {
	if float64(tokens) <= r.tokens {
		return
	}
	r.tokens = float64(tokens)
	target := min(max(int(r.position(r.tokens)), 0), buckets-1)
	for ; r.bucket < target; r.bucket++ {
		r.curve.reached[r.bucket+1]++
		r.curve.stale = true
	}
}

// End records that the run has completed. It is not called for a run that was cut off.
func (r *Run) End() {
	r.curve.ended[r.bucket]++
	r.curve.decay()
	r.curve.stale = true
}

// Tokens returns the number of tokens that the run has generated so far.
func (r *Run) Tokens() int { return int(r.tokens) }

// MaxTokens returns the maximum length of the run, in tokens.
func (r *Run) MaxTokens() float64 { return r.maxTokens }

// Survival returns the probability that the run generates more than that many tokens in all,
// given the length it has reached.
func (r *Run) Survival(tokens float64) float64 {
	if tokens <= r.tokens {
		return 1
	}
	if tokens >= r.maxTokens {
		return 0
	}
	r.curve.update()
	return math.Exp(r.curve.hazardUpTo(r.position(r.tokens)) - r.curve.hazardUpTo(r.position(tokens)))
}

// Median returns the length, in tokens, that the run is as likely to exceed as not.
func (r *Run) Median() int {
	low, high := r.tokens, r.maxTokens
	for high-low > max(r.maxTokens/64, 1) {
		mid := (low + high) / 2
		if r.Survival(mid) > 0.5 {
			low = mid
		} else {
			high = mid
		}
	}
	return int(high)
}
