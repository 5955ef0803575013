package kvmemory_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// What a request of the replay takes, as on the users' large deployment: 759 tokens in the mean, one each
// 4.3 ms, once the prompt was read. Hints are right at the median.
const (
	crowdTick      = 5 * time.Millisecond
	crowdDay       = 34 * time.Second
	crowdTokens    = 759.0
	crowdSpread    = 0.7
	crowdMost      = 1870
	crowdHint      = 0.5
	crowdEvent     = 11
	crowdPace      = 235.0
	crowdRead      = 24 * time.Microsecond
	crowdHead      = 80 * time.Millisecond
	crowdObjective = 900 * time.Millisecond
	crowdPatience  = 14 * time.Second
	// crowdHolds is how long a run holds memory, in the mean.
	crowdHolds = 3600 * time.Millisecond
	// crowdHears is when other routers hear of a placement, crowdRefresh how often all is told.
	crowdHears   = 5 * time.Millisecond
	crowdRefresh = 250 * time.Millisecond
	// crowdReserves is how long a reservation takes, with the wait for a processor.
	crowdReserves = 10 * time.Millisecond
	// crowdPass is how long smaller requests pass a larger one in line.
	crowdPass = 300 * time.Millisecond
)

// kind is a kind of request.
type kind struct {
	name string
	perS float64
	// prompt draws the length of a prompt.
	prompt func(rng *rand.Rand) float64
}

// site is a load and the engines that it meets.
type site struct {
	routers, engines, memory, slots int
	kinds                           []kind
	// burst multiplies the load in seconds 6 to 11, 17 to 21 and 27 to 31.
	burst float64
	seed  uint64
}

// lognormal draws with a mean, a spread of the logarithm and an upper bound.
func lognormal(rng *rand.Rand, mean, spread, most float64) float64 {
	return min(mean*math.Exp(spread*rng.NormFloat64()-spread*spread/2), most)
}

func plainPrompt(rng *rand.Rand) float64 { return lognormal(rng, 5000, 0.5, 11_000) }

// longPrompts is a load of prompts that are long against an engine's memory: the largest kind takes half of it
// in the mean and nine tenths at most. Half as much again is asked for as the engines bear.
func longPrompts() site {
	return site{
		routers: 18, engines: 18, memory: 41_434, slots: 48, burst: 1.8,
		kinds: []kind{
			{"summary", 7.5, func(r *rand.Rand) float64 { return min(lognormal(r, 13_300, 0.7, 39_900)+plainPrompt(r), 40_000) }},
			{"draft", 4, func(r *rand.Rand) float64 {
				return lognormal(r, 2520, 0.4, 6290) + lognormal(r, 3780, 0.7, 11_300) + plainPrompt(r)
			}},
			{"reply", 12, func(r *rand.Rand) float64 { return 350 + plainPrompt(r) }},
		},
	}
}

// shortPrompts is a load of prompts of an eighth of an engine's memory, with bursts of twice the mean, which is
// two thirds of what the engines bear.
func shortPrompts(routers, engines int) site {
	return site{
		routers: routers, engines: engines, memory: 41_434, slots: 48, burst: 2.1,
		kinds: []kind{{"draft", 1.37 * float64(engines), func(r *rand.Rand) float64 { return 200 + plainPrompt(r) }}},
	}
}

// visit is one request, from its first arrival to its end.
type visit struct {
	kind                *kind
	number              int
	prompt, total, hint int
	router              int
	first               time.Time
	waiter              *waitqueue.Waiter
	run                 *kvmemory.Run
	engine              string
	// event is when the first event comes; done is what was generated.
	event     time.Time
	done      float64
	preempted bool
	end       visitEnd
}

type visitEnd int

const (
	visitOpen visitEnd = iota
	visitInTime
	visitLate
	visitRefused
)

func inBurst(at time.Time) bool {
	s := at.Sub(start).Seconds()
	return s >= 6 && s < 11 || s >= 17 && s < 21 || s >= 27 && s < 31
}

// visits draws all requests of a day, by their arrival.
func (s *site) visits(rng *rand.Rand) []*visit {
	var out []*visit
	for at := start; at.Before(start.Add(crowdDay)); at = at.Add(crowdTick) {
		for k := range s.kinds {
			rate := s.kinds[k].perS * crowdTick.Seconds()
			if inBurst(at) {
				rate *= s.burst
			}
			for ; rng.Float64() < rate; rate-- {
				v := &visit{kind: &s.kinds[k], number: len(out), prompt: int(s.kinds[k].prompt(rng)), router: rng.IntN(s.routers), first: at}
				v.total = max(int(lognormal(rng, crowdTokens, crowdSpread, crowdMost)), crowdEvent)
				v.hint = min(max(int(float64(v.total)*math.Exp(crowdHint*rng.NormFloat64())), 1), crowdMost)
				out = append(out, v)
			}
		}
	}
	return out
}

// tally is how a group of requests ended, in shares: of its number, and worth of what is owed.
type tally struct{ inTime, served, refused, worth float64 }

func tallyOf(vs []*visit) tally {
	var t tally
	mean, owed := 0.0, 0.0
	for _, v := range vs {
		mean += v.size() / float64(len(vs))
	}
	for _, v := range vs {
		worth := 0.3 + 0.7*v.size()/mean
		owed += worth
		switch v.end {
		case visitInTime:
			t.inTime++
			t.worth += worth
		case visitLate:
			t.served++
			t.worth += lateWorth * worth
		case visitRefused:
			t.refused++
		}
	}
	n := float64(len(vs))
	return tally{t.inTime / n, (t.inTime + t.served) / n, t.refused / n, t.worth / owed}
}

// size is what a request counts: tokens read and ten times tokens generated.
func (v *visit) size() float64 { return float64(v.prompt + 10*v.total) }

// fifths are the requests of a kind by fifths of their prompts' lengths, the shortest first.
func (c *crowd) fifths(name string) [5]tally {
	var vs []*visit
	for _, v := range c.all {
		if v.kind.name == name {
			vs = append(vs, v)
		}
	}
	slices.SortStableFunc(vs, func(a, b *visit) int { return a.prompt - b.prompt })
	var out [5]tally
	for i := range out {
		out[i] = tallyOf(vs[i*len(vs)/5 : (i+1)*len(vs)/5])
	}
	return out
}
