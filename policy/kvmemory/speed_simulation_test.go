package kvmemory_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

const (
	// simStepTime is the time per token of an engine of speed 1 with no other run, simStepGrowth the
	// share by which each concurrent run increases it.
	simStepTime   = 5950 * time.Microsecond
	simStepGrowth = 0.03
	// simStartDelay is the time that routers expect from a choice to the first token.
	simStartDelay = 300 * time.Millisecond
	// simSpeedEventTokens is the number of tokens in an event, simMaxEventTime the longest time
	// between two events that callers accept.
	simSpeedEventTokens = 7
	simMaxEventTime     = 300 * time.Millisecond
)

// threeClasses is a load on 24 decode engines in three classes of speed, with bursts of twice the
// mean that fill their memory.
func threeClasses(seed uint64) deployment {
	d := deployment{
		routers: 20, engines: 24, memory: 43_777, slots: 64, burst: 2.1, seed: seed, meanTokens: 560, maxTokens: 1190,
		kinds: []requestKind{{"draft", 34.5, func(r *rand.Rand) float64 { return lognormal(r, 5300, 0.5, 11_000) }}},
	}
	for i := range d.engines {
		d.speeds = append(d.speeds, []float64{1.6, 0.6, 1, 1.6, 1, 0.6, 1.6}[i%7])
	}
	return d
}

// updateSpeeds computes the time per token of each engine from the number of its runs.
func (s *simulation) updateSpeeds(now time.Time) {
	for _, id := range s.ids {
		s.held += s.used[id] / float64(s.memory*s.engines)
	}
	if s.speeds == nil {
		return
	}
	runs := map[string]int{}
	for _, r := range s.running {
		runs[r.engine]++
	}
	s.perToken = map[string]float64{}
	for i, id := range s.ids {
		s.perToken[id] = simStepTime.Seconds() * (1 + simStepGrowth*float64(runs[id])) / s.speeds[i]
		if s.slowdown != nil {
			s.perToken[id] *= s.slowdown(i, now)
		}
	}
}

// rate is the rate at which a run generates, in tokens per second.
func (s *simulation) rate(r *simRequest) float64 {
	if s.speeds == nil {
		return simTokensPerSecond
	}
	event := time.Duration(simSpeedEventTokens * s.perToken[r.engine] * float64(time.Second))
	r.longestEvent = max(r.longestEvent, event)
	return 1 / s.perToken[r.engine]
}

// useOracle gives every router the exact length of each run and the speed of each engine.
func (s *simulation) useOracle() {
	s.beginLength = func(r *simRequest) *outputlength.Run {
		l := outputlength.New()
		for range 600 {
			known := l.Begin(r.total, r.total+1)
			known.Progress(r.total)
			known.End()
		}
		return l.Begin(r.total, r.total+1)
	}
	for _, p := range s.pools {
		for tick := range 20 {
			at := start.Add(time.Duration(tick-20) * 200 * time.Millisecond)
			for i, id := range s.ids {
				perToken := simStepTime.Seconds() * (1 + 6*simStepGrowth) / s.speeds[i]
				p.SetPeerLoad(id, kvmemory.Load{Pace: enginepace.Evidence{Tokens: int(10 / perToken), Micros: 10_000_000}}, at)
				p.OwnLoad(id, at)
			}
		}
		for _, id := range s.ids {
			p.SetPeerLoad(id, kvmemory.Load{}, start)
		}
	}
}

// speedResult are the results of replays on engines of different speed.
type speedResult struct {
	all                              []*simRequest
	preempted, refusals, simulations int
	held                             float64
}

// replaySpeeds replays a load with several seeds at once.
func replaySpeeds(d func(seed uint64) deployment, seeds uint64, pace kvmemory.PaceConfig, oracle bool) *speedResult {
	replays := make([]*simulation, seeds)
	var wg sync.WaitGroup
	for seed := range seeds {
		wg.Go(func() {
			cfg := kvmemory.DefaultConfig()
			cfg.Pace = pace
			s := newSimulation(d(seed), cfg)
			s.leaveSaturated = true
			if oracle {
				s.useOracle()
			}
			replays[seed] = s.simulate()
		})
	}
	wg.Wait()
	out := &speedResult{simulations: len(replays)}
	for _, s := range replays {
		out.all = append(out.all, s.all...)
		out.preempted += s.preempted
		out.refusals += s.refusals
		out.held += s.held * simTick.Seconds() / simDuration.Seconds()
	}
	return out
}

// speedShares are results as shares of a number of requests.
type speedShares struct{ inTime, deadline, rejected, gaps float64 }

func speedSharesOf(requests []*simRequest) speedShares {
	var out speedShares
	each := 1 / float64(len(requests))
	for _, r := range requests {
		switch r.result {
		case resultInTime:
			out.inTime += each
		case resultDeadline:
			out.deadline += each
		case resultRejected:
			out.rejected += each
		}
		if r.longestEvent > simMaxEventTime {
			out.gaps += each
		}
	}
	return out
}

// bySize returns the results of all requests, of the largest tenth, and of the fifth below.
func (r *speedResult) bySize() (all, largest, below speedShares) {
	sorted := slices.Clone(r.all)
	slices.SortStableFunc(sorted, func(a, b *simRequest) int { return int(math.Round(a.cost() - b.cost())) })
	n := len(sorted)
	return speedSharesOf(sorted), speedSharesOf(sorted[n*9/10:]), speedSharesOf(sorted[n*7/10 : n*9/10])
}

// worth is the value of the requests as a share of the possible one.
func (r *speedResult) worth() float64 { return sharesOf(r.all).value }

func (r *speedResult) log(t *testing.T, name string) {
	t.Helper()
	all, largest, below := r.bySize()
	t.Logf("%-22s in time %.3f (largest tenth %.3f, fifth below %.3f), worth %.3f, deadline %.4f (%.4f, %.4f), rejected %.3f, gaps %.3f, preempted %d, refused %d of %d, memory held %.3f",
		name, all.inTime, largest.inTime, below.inTime, r.worth(), all.deadline, largest.deadline, below.deadline, all.rejected, all.gaps,
		r.preempted, r.refusals, len(r.all), r.held/float64(r.simulations))
}
