// Package outputlength learns how many tokens runs generate, as a distribution and not as one
// number.
//
// Load pattern: a caller's hint is right at the median and wrong by a factor of two for a
// third of the runs, and the memory of a run doubles while it generates. Memory set apart
// for the hint is too little for half of the runs and stands empty in the other half. What
// counts is how likely a run that has come so far goes on, and until where.
//
// Lengths are learned relative to the hint, or to the most that may be generated where there
// is none, as a hazard: of the runs that reached a length, the share that ended there. Runs
// that are still going on, and those that were cut off, count up to where they came (the
// Kaplan-Meier estimate for right-censored data), so that the long runs of a burst tell
// before they end.
//
// A Learner is deterministic and not safe for concurrent use.
package outputlength

import "math"

const (
	// perOctave is the number of buckets in which a length doubles: a quarter of an octave
	// is a fifth more, less than the error of any hint.
	perOctave = 4
	// octaves is how far below and above its hint a length is told apart.
	octaves = 4
	buckets = 2*octaves*perOctave + 1
	// forget is what is left of earlier runs with each new one that ends: some hundred
	// count, those of ten seconds of a small fleet.
	forget = 0.99
	// priorRuns is the weight, in runs, of what is believed before any run was seen: the
	// hint at the median, with a spread of priorSpread octaves. Eight runs end in the first
	// seconds of any load.
	priorRuns   = 8
	priorSpread = 1.0
	// maxHazard bounds the share of runs that end in a bucket, so that a run which has
	// outlived all others is not believed to end at once.
	maxHazard = 0.95
)

// Learner holds what was learned of the runs of one route.
type Learner struct {
	// hinted is of runs with a hint, relative to it; bounded of those without, relative to
	// the most that they may generate.
	hinted, bounded curve
}

// New returns a Learner that has seen no run.
func New() *Learner {
	l := &Learner{}
	l.hinted.begin(0)
	// Without a hint the bound is all that is known; runs end well before it.
	l.bounded.begin(-1)
	return l
}

// curve is the hazard by bucket.
type curve struct {
	// reached and ended are the weights of runs that reached a bucket and ended there.
	reached, ended [buckets]float64
	// hazard is the sum, up to the lower bound of each bucket, of the logarithms of the share
	// of runs that went on; stale once reached or ended have changed.
	hazard [buckets + 1]float64
	stale  bool
}

// begin sets what is believed before any run was seen, with a median that many octaves
// from the scale.
func (c *curve) begin(median float64) {
	left := float64(priorRuns)
	for b := range buckets {
		high := (float64(b+1)/perOctave - octaves - median) / priorSpread
		after := priorRuns * 0.5 * math.Erfc(high/math.Sqrt2)
		c.reached[b], c.ended[b] = left, left-after
		left = after
	}
	c.stale = true
}

// decay lets earlier runs count less.
func (c *curve) decay() {
	for b := range buckets {
		c.reached[b] *= forget
		c.ended[b] *= forget
	}
}

// sum brings hazard up to date.
func (c *curve) sum() {
	if !c.stale {
		return
	}
	c.stale = false
	for b := range buckets {
		share := maxHazard
		if c.reached[b] > 0 {
			share = min(c.ended[b]/c.reached[b], maxHazard)
		}
		c.hazard[b+1] = c.hazard[b] - math.Log1p(-share)
	}
}

// upTo is the hazard up to a position, in buckets.
func (c *curve) upTo(at float64) float64 {
	at = min(max(at, 0), buckets)
	b := min(int(at), buckets-1)
	return c.hazard[b] + (at-float64(b))*(c.hazard[b+1]-c.hazard[b])
}

// Run is one run. It is not safe for concurrent use, and belongs to the lock of its Learner.
type Run struct {
	c *curve
	// scale is what lengths are relative to, most the most that the run generates, both in
	// tokens.
	scale, most float64
	// tokens is what it has generated, bucket the bucket that this lies in.
	tokens float64
	bucket int
}

// Begin returns a run that has generated nothing yet. Hint is zero if there is none.
func (l *Learner) Begin(hint, most int) *Run {
	r := &Run{c: &l.hinted, scale: float64(hint), most: float64(max(most, 1))}
	if hint <= 0 || hint > most {
		r.c, r.scale = &l.bounded, r.most
	}
	r.c.reached[0]++
	r.c.stale = true
	return r
}

// position is where a length lies, in buckets.
func (r *Run) position(tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	return (math.Log2(tokens/r.scale) + octaves) * perOctave
}

// Progress notes that the run has generated that many tokens in all.
func (r *Run) Progress(tokens int) {
	if float64(tokens) <= r.tokens {
		return
	}
	r.tokens = float64(tokens)
	now := min(max(int(r.position(r.tokens)), 0), buckets-1)
	for ; r.bucket < now; r.bucket++ {
		r.c.reached[r.bucket+1]++
		r.c.stale = true
	}
}

// End notes that the run has come to its own end. A run that was cut off has none.
func (r *Run) End() {
	r.c.ended[r.bucket]++
	r.c.decay()
	r.c.stale = true
}

// Tokens is what the run has generated, in tokens.
func (r *Run) Tokens() int { return int(r.tokens) }

// MaxTokens is the most that the run generates, in tokens.
func (r *Run) MaxTokens() float64 { return r.most }

// Survival is the probability that the run generates more tokens than that in all, given how
// far it has come.
func (r *Run) Survival(tokens float64) float64 {
	if tokens <= r.tokens {
		return 1
	}
	if tokens >= r.most {
		return 0
	}
	r.c.sum()
	return math.Exp(r.c.upTo(r.position(r.tokens)) - r.c.upTo(r.position(tokens)))
}

// Median is the length, in tokens, that the run is as likely to exceed as not.
func (r *Run) Median() int {
	low, high := r.tokens, r.most
	for high-low > max(r.most/64, 1) {
		mid := (low + high) / 2
		if r.Survival(mid) > 0.5 {
			low = mid
		} else {
			high = mid
		}
	}
	return int(high)
}
