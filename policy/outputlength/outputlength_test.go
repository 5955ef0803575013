package outputlength_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

const most = 10_000

// feed lets n runs end at times times their hint, with a spread of sigma.
func feed(l *outputlength.Learner, rng *rand.Rand, n int, times, sigma float64) {
	for range n {
		hint := 200 + rng.IntN(2000)
		length := min(int(float64(hint)*times*math.Exp(sigma*rng.NormFloat64())), most)
		r := l.Begin(hint, most)
		for done := 0; done < length; done += 100 {
			r.Progress(done)
		}
		r.Progress(length)
		r.End()
	}
}

// TestExpect: what is expected follows what runs did, not what callers said.
func TestExpect(t *testing.T) {
	for _, c := range []struct {
		name      string
		runs      int
		times     float64
		hint      int
		low, high int
	}{
		{"nothing is known: the hint", 0, 1, 1000, 900, 1100},
		{"nothing is known, no hint: half of the bound", 0, 1, 0, 4500, 5500},
		{"hints are right", 100, 1, 1000, 800, 1250},
		{"hints are four times too low", 100, 4, 1000, 3300, 4800},
		{"hints are four times too high", 100, 0.25, 1000, 200, 320},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := outputlength.New()
			feed(l, rand.New(rand.NewPCG(1, 2)), c.runs, c.times, 0.3)
			got := l.Begin(c.hint, most).Median()
			assert.Assert(t, got >= c.low && got <= c.high, "%d", got)
		})
	}
}

// TestWorkloadChanges: two hundred runs after answers became three times as long, that is
// what is expected.
func TestWorkloadChanges(t *testing.T) {
	l := outputlength.New()
	rng := rand.New(rand.NewPCG(3, 4))
	feed(l, rng, 300, 1, 0.3)
	before := l.Begin(1000, most).Median()
	feed(l, rng, 200, 3, 0.3)
	after := l.Begin(1000, most).Median()
	assert.Assert(t, before < 1300 && after > 2300, "%d, %d", before, after)
}

// TestRunsInProgressTell: long runs that have not ended yet count up to where they came. A
// mean over those that ended would be that of the short ones.
func TestRunsInProgressTell(t *testing.T) {
	l := outputlength.New()
	for i := range 60 {
		r := l.Begin(1000, most)
		if i%3 == 0 {
			r.Progress(500)
			r.End()
			continue
		}
		r.Progress(4000)
	}
	got := l.Begin(1000, most).Median()
	assert.Assert(t, got > 3000, "%d", got)
}

// TestLasts is a distribution: it falls from one to zero, and what has been reached is sure.
func TestLasts(t *testing.T) {
	l := outputlength.New()
	feed(l, rand.New(rand.NewPCG(5, 6)), 50, 1, 0.5)
	r := l.Begin(1000, most)
	r.Progress(700)
	assert.Equal(t, r.Survival(700), 1.0)
	last := 1.0
	for tokens := 700.0; tokens < most; tokens += 50 {
		got := r.Survival(tokens)
		assert.Assert(t, got <= last && got >= 0, "%g at %g", got, tokens)
		last = got
	}
	assert.Equal(t, r.Survival(most), 0.0)
	young := l.Begin(1000, most)
	assert.Assert(t, r.Survival(1500) > young.Survival(1500), "one that has come far is likelier to go on")
}

// TestLastsIsRight: of many runs, as many outlast a length as was said when they were half way
// there.
func TestLastsIsRight(t *testing.T) {
	l := outputlength.New()
	rng := rand.New(rand.NewPCG(7, 8))
	feed(l, rng, 400, 1, 0.5)
	var said, saw float64
	const n = 400
	for range n {
		hint := 200 + rng.IntN(2000)
		length := float64(hint) * math.Exp(0.5*rng.NormFloat64())
		r := l.Begin(hint, most)
		if length < 0.7*float64(hint) {
			continue
		}
		r.Progress(int(0.7 * float64(hint)))
		said += r.Survival(1.4 * float64(hint))
		if length > 1.4*float64(hint) {
			saw++
		}
	}
	assert.Assert(t, math.Abs(said-saw) < 0.1*n, "said %.0f, saw %.0f", said, saw)
}
