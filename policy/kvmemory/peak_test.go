package kvmemory_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

// The replayed load: prompts of some 5,000 tokens with answers of the same length, so that a run's
// memory doubles in the four seconds that it lasts; bursts of four times the mean; engines with
// memory for some ten runs.
const (
	peakEngines         = 6
	peakMemory          = 107_000
	peakSlots           = 16
	peakTokensPerSecond = 1300.0
	peakMaxTokens       = 9_360
	peakMeanRate        = 9.0
	peakBurstRate       = 36.0
	peakSigma           = 0.5
	peakMaxWait         = 600 * time.Millisecond
	peakDuration        = 60 * time.Second
)

// growingRun is one request of the replay.
type growingRun struct {
	run           *kvmemory.Run
	length        *outputlength.Run
	prompt, total int
	arrived       time.Time
	generated     float64
	engine        string
}

// sizeFunc returns the run with the memory estimate that placement uses.
type sizeFunc func(l *outputlength.Learner, g *growingRun, hint int) *kvmemory.Run

func byForecast(l *outputlength.Learner, g *growingRun, hint int) *kvmemory.Run {
	g.length = l.Begin(hint, peakMaxTokens)
	return &kvmemory.Run{Need: g.prompt + hint, Prompt: g.prompt, Length: g.length}
}

func byHint(_ *outputlength.Learner, g *growingRun, hint int) *kvmemory.Run {
	return run(g.prompt + max(hint, peakMaxTokens*boolInt(hint == 0)))
}

func byMaxLength(_ *outputlength.Learner, g *growingRun, _ int) *kvmemory.Run {
	return run(g.prompt + peakMaxTokens)
}

// byOracle uses the true lengths, but adds up the sizes of runs at their ends.
func byOracle(_ *outputlength.Learner, g *growingRun, _ int) *kvmemory.Run {
	return run(g.prompt + g.total)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// replayResult counts the requests of a replay by result.
type replayResult struct{ inTime, preempted, rejected int }

// hintFunc returns the caller's hint for a length.
type hintFunc func(rng *rand.Rand, length float64) float64

func accurateHint(rng *rand.Rand, length float64) float64 {
	return length * math.Exp(peakSigma*rng.NormFloat64())
}
func hintFourTimesTooLow(rng *rand.Rand, length float64) float64 {
	return accurateHint(rng, length) / 4
}
func noHint(*rand.Rand, float64) float64 { return 0 }

func replayPeak(size sizeFunc, hints hintFunc) replayResult {
	rng := rand.New(rand.NewPCG(11, 12))
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	list := servers(peakEngines)
	for i := range list {
		list[i].Capacity, list[i].Slots = peakMemory, peakSlots
	}
	p.Sync(list)
	l := outputlength.New()
	var queued, running []*growingRun
	var out replayResult
	for now := start; now.Before(start.Add(peakDuration)); now = now.Add(tick) {
		rate := peakMeanRate
		if now.Sub(start)%(10*time.Second) >= 6*time.Second {
			rate = peakBurstRate
		}
		if rng.Float64() < rate*tick.Seconds() {
			g := &growingRun{prompt: 2500 + rng.IntN(5400), arrived: now}
			length := min(4500*math.Exp(peakSigma*rng.NormFloat64()), peakMaxTokens)
			g.total = int(length)
			g.run = size(l, g, min(int(hints(rng, length)), peakMaxTokens))
			queued = append(queued, g)
		}
		running = slices.DeleteFunc(running, func(g *growingRun) bool { return g.advance(p, now) })
		queued = slices.DeleteFunc(queued, func(g *growingRun) bool {
			if now.Sub(g.arrived) > peakMaxWait {
				out.rejected++
				return true
			}
			id, ok := p.Pick(kvmemory.Request{Run: g.run}, now)
			if !ok {
				return false
			}
			p.Place(id, g.run)
			g.engine = id
			running = append(running, g)
			out.inTime++
			return true
		})
		running = preempt(p, running, &out, now)
	}
	return out
}

// advance simulates one tick of a run and reports whether it has ended.
func (g *growingRun) advance(p *kvmemory.Pool, now time.Time) bool {
	g.generated += peakTokensPerSecond * tick.Seconds()
	if g.generated < float64(g.total) {
		g.run.Generated(int(g.generated))
		return false
	}
	g.run.Generated(g.total)
	g.run.Finish()
	p.Release(g.engine, g.run, now)
	return true
}

// preempt ends the newest runs of engines that have run out of memory.
func preempt(p *kvmemory.Pool, running []*growingRun, out *replayResult, now time.Time) []*growingRun {
	used := map[string]float64{}
	return slices.DeleteFunc(running, func(g *growingRun) bool {
		used[g.engine] += float64(g.prompt) + g.generated
		if used[g.engine] <= peakMemory {
			return false
		}
		used[g.engine] -= float64(g.prompt) + g.generated
		p.Release(g.engine, g.run, now)
		out.preempted++
		out.inTime--
		return true
	})
}

// TestPeakOfGrowingRuns: when the forecast peak of all runs has to fit, more requests are answered
// in time and fewer runs are preempted than when the sum of their hints has to fit, and nearly as
// many are answered in time as with the sum of the true lengths. Hints may be wrong or missing.
func TestPeakOfGrowingRuns(t *testing.T) {
	oracle := replayPeak(byOracle, accurateHint)
	for _, c := range []struct {
		name  string
		hints hintFunc
		// minGain is the minimum ratio of requests in time to those with hints only.
		minGain float64
	}{
		{"hints right at the median", accurateHint, 1.02},
		{"hints four times too low", hintFourTimesTooLow, 1.05},
		{"no hints", noHint, 1.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, hint, maxLength := replayPeak(byForecast, c.hints), replayPeak(byHint, c.hints), replayPeak(byMaxLength, c.hints)
			t.Logf("forecast %+v, hint %+v, maximum %+v, oracle %+v", got, hint, maxLength, oracle)
			assert.Assert(t, float64(got.inTime) >= c.minGain*float64(hint.inTime))
			assert.Assert(t, got.inTime > maxLength.inTime)
			assert.Assert(t, float64(got.inTime) >= 0.97*float64(oracle.inTime))
			assert.Assert(t, 40*got.preempted <= got.inTime, "at most one in forty preempted")
		})
	}
}
