package kvmemory

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

// Run is one request that needs memory of an engine. All fields but generated are guarded by the
// lock of its Pool.
type Run struct {
	// Need is the estimated memory at the end of the run, in tokens.
	Need int
	// Prompt is the length of the prompt in tokens, Length the estimate of how much the run
	// generates. Without Length the run holds Need from its start to its end.
	Prompt int
	Length *outputlength.Run
	// FreeAtPeak is the memory of the chosen engine, in tokens, that was forecast to remain free at
	// the peak when the run was placed.
	FreeAtPeak int
	// engine is the ID of the engine that executes the run; others may hold copies of it.
	engine string
	// generated is the total number of tokens generated.
	generated atomic.Int64
	// sampled is the number of tokens generated at the latest sample, which was taken at sampledAt.
	sampled   int64
	sampledAt time.Time
	// paced is the number of tokens generated at the latest observation of the engine's pace, which
	// was taken at pacedAt; pacedAt is zero until the engine has generated a token of the run.
	paced   int64
	pacedAt time.Time
	// slowTokens and slowTime are an observation that waits for the next one to confirm it.
	slowTokens int
	slowTime   time.Duration
}

// Generated records the total number of tokens that the run has generated. It may be called by any
// goroutine.
func (r *Run) Generated(tokens int) { r.generated.Store(int64(tokens)) }

// Finish records that the run ended by itself, without being cut off.
func (r *Run) Finish() {
	if r.Length != nil {
		r.Length.Progress(int(r.generated.Load()))
		r.Length.End()
	}
}

// addTo adds the memory that the run will hold at a given generation rate.
func (r *Run) addTo(f *Forecast, tokensPerSecond float64) {
	if r.Length == nil {
		c := Constant(r.Need)
		f.Add(&c, 1)
		return
	}
	f.Max += float64(r.Prompt) + r.Length.MaxTokens()
	r.Length.Progress(int(r.generated.Load()))
	done := float64(r.Length.Tokens())
	for i, ahead := range horizons {
		tokens := done + tokensPerSecond*ahead.Seconds()
		survival := r.Length.Survival(tokens)
		size := float64(r.Prompt) + tokens
		f.Mean[i] += math.Round(survival * size)
		f.Variance[i] += math.Round(survival * (1 - survival) * size * size)
	}
}

// rateEstimator estimates how fast runs generate tokens.
type rateEstimator struct {
	// tokens and seconds are exponentially decayed sums over runs.
	tokens, seconds float64
}

const (
	// rateDecay is the factor by which the sums decay with each sample. Some two hundred samples
	// count, which a fully loaded service takes in a second or two.
	rateDecay = 0.995
	// priorRate applies until a run has been observed to generate: the highest rate at which large
	// models generate for one caller, so that free memory is not overestimated.
	priorRate = 1000.0
	// minSampleInterval is the shortest interval between two samples of a run. Several events
	// arrive in it.
	minSampleInterval = 200 * time.Millisecond
)

// sample records the progress of a run.
func (e *rateEstimator) sample(r *Run, now time.Time) {
	tokens := r.generated.Load()
	elapsed := now.Sub(r.sampledAt)
	if !r.sampledAt.IsZero() && elapsed < minSampleInterval {
		return
	}
	if r.sampled > 0 && tokens > r.sampled {
		e.tokens = rateDecay*e.tokens + float64(tokens-r.sampled)
		e.seconds = rateDecay*e.seconds + elapsed.Seconds()
	}
	r.sampled, r.sampledAt = tokens, now
}

// tokensPerSecond is the estimated rate of one run.
func (e *rateEstimator) tokensPerSecond() float64 {
	if e.seconds <= 0 {
		return priorRate
	}
	return e.tokens / e.seconds
}

// TokensPerSecond is the estimated rate at which one run generates tokens, over all engines.
func (p *Pool) TokensPerSecond() float64 { return p.rate.tokensPerSecond() }
