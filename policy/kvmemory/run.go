package kvmemory

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

// Run is one request that needs memory of an engine. All but Generated belongs to the lock
// of its Pool.
type Run struct {
	// Need is the memory that it is thought to take at its end, in tokens.
	Need int
	// Prompt is the length of its prompt, in tokens, and Length what is known of how much it
	// generates. Without Length it holds Need from the start to its end.
	Prompt int
	Length *outputlength.Run
	// Room is the memory, in tokens, that was thought to stay free at its engine's fullest
	// moment when it was placed.
	Room int
	// generated is the tokens that it has generated in all.
	generated atomic.Int64
	// seen is the tokens that it had generated when it was last looked at.
	seen   int64
	seenAt time.Time
}

// Generated notes that the run has generated that many tokens in all. It may be called by
// any goroutine.
func (r *Run) Generated(tokens int) { r.generated.Store(int64(tokens)) }

// Finish notes that the run has come to its own end.
func (r *Run) Finish() {
	if r.Length != nil {
		r.Length.Progress(int(r.generated.Load()))
		r.Length.End()
	}
}

// add adds the memory that the run will hold, at a pace in tokens per second.
func (r *Run) add(f *Forecast, pace float64) {
	if r.Length == nil {
		c := Constant(r.Need)
		f.Add(&c, 1)
		return
	}
	f.Most += float64(r.Prompt) + r.Length.MaxTokens()
	r.Length.Progress(int(r.generated.Load()))
	done := float64(r.Length.Tokens())
	for i, ahead := range moments {
		tokens := done + pace*ahead.Seconds()
		lasts := r.Length.Survival(tokens)
		holds := float64(r.Prompt) + tokens
		f.Mean[i] += math.Round(lasts * holds)
		f.Variance[i] += math.Round(lasts * (1 - lasts) * holds * holds)
	}
}

// pace learns how fast runs generate tokens.
type pace struct {
	// tokens and seconds are sums over runs, older ones counting less.
	tokens, seconds float64
}

const (
	// paceForget is what is left of earlier looks at a run with each new one: some two
	// hundred count, a second or two of a full service.
	paceForget = 0.995
	// priorPace holds until a run was seen to generate: the fastest that large models
	// generate for one caller, so that memory is not thought to be freer than it is.
	priorPace = 1000.0
	// minLook is the shortest time between two looks at a run that tells its pace: several
	// events come in it.
	minLook = 200 * time.Millisecond
)

// look notes how far a run has come.
func (p *pace) look(r *Run, now time.Time) {
	tokens := r.generated.Load()
	took := now.Sub(r.seenAt)
	if !r.seenAt.IsZero() && took < minLook {
		return
	}
	if r.seen > 0 && tokens > r.seen {
		p.tokens = paceForget*p.tokens + float64(tokens-r.seen)
		p.seconds = paceForget*p.seconds + took.Seconds()
	}
	r.seen, r.seenAt = tokens, now
}

// perSecond is the pace of one run, in tokens per second.
func (p *pace) perSecond() float64 {
	if p.seconds <= 0 {
		return priorPace
	}
	return p.tokens / p.seconds
}
