package kvmemory_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/runlength"
)

// The load that is replayed: prompts of some 5,000 tokens whose answers are as long again, so
// that a run's memory doubles in the four seconds that it lasts; bursts of four times the
// mean; engines that hold some ten of them.
const (
	peakEngines = 6
	peakMemory  = 107_000
	peakSlots   = 16
	peakPace    = 1300.0
	peakMost    = 9_360
	peakMean    = 9.0
	peakBurst   = 36.0
	peakSpread  = 0.5
	peakWait    = 600 * time.Millisecond
	peakDay     = 60 * time.Second
)

// growing is one request of the replay.
type growing struct {
	run           *kvmemory.Run
	length        *runlength.Run
	prompt, total int
	arrived       time.Time
	done          float64
	engine        string
}

// sizing says what placement knows of a request's memory.
type sizing func(l *runlength.Learner, g *growing, hint int) *kvmemory.Run

func byForecast(l *runlength.Learner, g *growing, hint int) *kvmemory.Run {
	g.length = l.Begin(hint, peakMost)
	return &kvmemory.Run{Need: g.prompt + hint, Prompt: g.prompt, Length: g.length}
}

func byHint(_ *runlength.Learner, g *growing, hint int) *kvmemory.Run {
	return run(g.prompt + max(hint, peakMost*boolInt(hint == 0)))
}

func byMost(_ *runlength.Learner, g *growing, _ int) *kvmemory.Run { return run(g.prompt + peakMost) }

// byOracle knows the lengths, but adds up what runs hold at their ends.
func byOracle(_ *runlength.Learner, g *growing, _ int) *kvmemory.Run { return run(g.prompt + g.total) }

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// replayed is how a replay ended, in requests.
type replayed struct{ inTime, preempted, turnedAway int }

// hinted is what callers say of a length.
type hinted func(rng *rand.Rand, length float64) float64

func rightly(rng *rand.Rand, length float64) float64 {
	return length * math.Exp(peakSpread*rng.NormFloat64())
}
func fourTimesLow(rng *rand.Rand, length float64) float64 { return rightly(rng, length) / 4 }
func missing(*rand.Rand, float64) float64                 { return 0 }

func replayPeak(size sizing, hints hinted) replayed {
	rng := rand.New(rand.NewPCG(11, 12))
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	list := servers(peakEngines)
	for i := range list {
		list[i].Capacity, list[i].Slots = peakMemory, peakSlots
	}
	p.Sync(list)
	l := runlength.New()
	var waiting, running []*growing
	var out replayed
	for now := start; now.Before(start.Add(peakDay)); now = now.Add(tick) {
		rate := peakMean
		if now.Sub(start)%(10*time.Second) >= 6*time.Second {
			rate = peakBurst
		}
		if rng.Float64() < rate*tick.Seconds() {
			g := &growing{prompt: 2500 + rng.IntN(5400), arrived: now}
			length := min(4500*math.Exp(peakSpread*rng.NormFloat64()), peakMost)
			g.total = int(length)
			g.run = size(l, g, min(int(hints(rng, length)), peakMost))
			waiting = append(waiting, g)
		}
		running = slices.DeleteFunc(running, func(g *growing) bool { return g.grow(p, now) })
		waiting = slices.DeleteFunc(waiting, func(g *growing) bool {
			if now.Sub(g.arrived) > peakWait {
				out.turnedAway++
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

// grow plays one tick of a run and reports whether it has ended.
func (g *growing) grow(p *kvmemory.Pool, now time.Time) bool {
	g.done += peakPace * tick.Seconds()
	if g.done < float64(g.total) {
		g.run.Generated(int(g.done))
		return false
	}
	g.run.Generated(g.total)
	g.run.Finish()
	p.Release(g.engine, g.run, now)
	return true
}

// preempt ends the newest runs of engines whose memory has run out.
func preempt(p *kvmemory.Pool, running []*growing, out *replayed, now time.Time) []*growing {
	used := map[string]float64{}
	return slices.DeleteFunc(running, func(g *growing) bool {
		used[g.engine] += float64(g.prompt) + g.done
		if used[g.engine] <= peakMemory {
			return false
		}
		used[g.engine] -= float64(g.prompt) + g.done
		p.Release(g.engine, g.run, now)
		out.preempted++
		out.inTime--
		return true
	})
}

// TestPeakOfGrowingRuns: more requests are answered in time, and fewer runs are preempted,
// when the peak of all runs has to fit than when the sum of their hints has to; and nearly as
// many as if the lengths were known and added up. Hints may be wrong or missing.
func TestPeakOfGrowingRuns(t *testing.T) {
	oracle := replayPeak(byOracle, rightly)
	for _, c := range []struct {
		name  string
		hints hinted
		// gain is the least ratio of requests in time to those with hints alone.
		gain float64
	}{
		{"hints right at the median", rightly, 1.02},
		{"hints four times too low", fourTimesLow, 1.05},
		{"no hints", missing, 1.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, hint, most := replayPeak(byForecast, c.hints), replayPeak(byHint, c.hints), replayPeak(byMost, c.hints)
			t.Logf("forecast %+v, hint %+v, most %+v, oracle %+v", got, hint, most, oracle)
			assert.Assert(t, float64(got.inTime) >= c.gain*float64(hint.inTime))
			assert.Assert(t, got.inTime > most.inTime)
			assert.Assert(t, float64(got.inTime) >= 0.97*float64(oracle.inTime))
			assert.Assert(t, 40*got.preempted <= got.inTime, "one in forty at most")
		})
	}
}
