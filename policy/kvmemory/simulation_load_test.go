package kvmemory_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// Parameters of the replayed requests, as on the users' large deployment: 759 generated tokens in
// the mean, one every 4.3 ms after prefill. Hints are right at the median.
const (
	simTick            = 5 * time.Millisecond
	simDuration        = 34 * time.Second
	simMeanTokens      = 759.0
	simLengthSigma     = 0.7
	simMaxTokens       = 1870
	simHintSigma       = 0.5
	simEventTokens     = 11
	simTokensPerSecond = 235.0
	simPrefillPerToken = 24 * time.Microsecond
	simPrefillOverhead = 80 * time.Millisecond
	simObjective       = 900 * time.Millisecond
	simClientTimeout   = 14 * time.Second
	// simRunDuration is how long a run holds memory, in the mean.
	simRunDuration = 3600 * time.Millisecond
	// simReportDelay is the time until other routers receive a placement, simReportInterval the
	// interval between full reports.
	simReportDelay    = 5 * time.Millisecond
	simReportInterval = 250 * time.Millisecond
	// simReservationDelay is how long a reservation takes, including the wait for a processor.
	simReservationDelay = 10 * time.Millisecond
	// simOvertakeLimit is how long smaller requests may overtake a larger one in the queue.
	simOvertakeLimit = 300 * time.Millisecond
)

// requestKind describes a kind of request.
type requestKind struct {
	name      string
	perSecond float64
	// prompt draws the length of a prompt.
	prompt func(rng *rand.Rand) float64
}

// deployment is a load and the engines that serve it.
type deployment struct {
	routers, engines, memory, slots int
	kinds                           []requestKind
	// burst multiplies the load in seconds 6 to 11, 17 to 21 and 27 to 31.
	burst float64
	seed  uint64
	// meanTokens and maxTokens describe the lengths of runs; simMeanTokens and simMaxTokens if zero.
	meanTokens float64
	maxTokens  int
	// speeds are the speeds of the engines relative to simStepTime; nil if all generate
	// simTokensPerSecond.
	speeds []float64
	// slowdown is the factor by which an engine is slower at a time; nil if none ever is.
	slowdown func(engine int, at time.Time) float64
}

// lengths returns the mean and the maximum number of generated tokens.
func (d *deployment) lengths() (mean float64, maximum int) {
	if d.maxTokens == 0 {
		return simMeanTokens, simMaxTokens
	}
	return d.meanTokens, d.maxTokens
}

// lognormal draws from a lognormal distribution with the given mean, standard deviation of the
// logarithm and upper limit.
func lognormal(rng *rand.Rand, mean, sigma, limit float64) float64 {
	return min(mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), limit)
}

func plainPrompt(rng *rand.Rand) float64 { return lognormal(rng, 5000, 0.5, 11_000) }

// longPrompts is a load whose prompts are long relative to an engine's memory: the largest kind
// takes half of it in the mean and nine tenths at most. The demand is half as much again as the
// engines' capacity.
func longPrompts() deployment {
	return deployment{
		routers: 18, engines: 18, memory: 41_434, slots: 48, burst: 1.8,
		kinds: []requestKind{
			{"summary", 7.5, func(r *rand.Rand) float64 { return min(lognormal(r, 13_300, 0.7, 39_900)+plainPrompt(r), 40_000) }},
			{"draft", 4, func(r *rand.Rand) float64 {
				return lognormal(r, 2520, 0.4, 6290) + lognormal(r, 3780, 0.7, 11_300) + plainPrompt(r)
			}},
			{"reply", 12, func(r *rand.Rand) float64 { return 350 + plainPrompt(r) }},
		},
	}
}

// shortPrompts is a load whose prompts take an eighth of an engine's memory, with bursts of twice
// the mean, which is two thirds of the engines' capacity.
func shortPrompts(routers, engines int) deployment {
	return deployment{
		routers: routers, engines: engines, memory: 41_434, slots: 48, burst: 2.1,
		kinds: []requestKind{{"draft", 1.37 * float64(engines), func(r *rand.Rand) float64 { return 200 + plainPrompt(r) }}},
	}
}

// simRequest is one request, from its first arrival to its result.
type simRequest struct {
	kind                *requestKind
	number              int
	prompt, total, hint int
	router              int
	firstArrival        time.Time
	waiter              *waitqueue.Waiter
	run                 *kvmemory.Run
	engine              string
	// firstEvent is when the first event is due, generated the number of tokens generated.
	firstEvent time.Time
	generated  float64
	preempted  bool
	// longestEvent is the longest time that an event took.
	longestEvent time.Duration
	result       requestResult
	// customer and priority are set in replays of customers that compete for memory; rejections counts how often the
	// request was rejected.
	customer             string
	priority, rejections int
}

type requestResult int

const (
	resultPending requestResult = iota
	resultInTime
	resultLate
	resultRejected
	// resultDeadline is that of a run that has not ended at its deadline.
	resultDeadline
)

func inBurst(at time.Time) bool {
	s := at.Sub(start).Seconds()
	return s >= 6 && s < 11 || s >= 17 && s < 21 || s >= 27 && s < 31
}

// requests draws all requests of a simulation, ordered by arrival.
func (d *deployment) requests(rng *rand.Rand) []*simRequest {
	var out []*simRequest
	mean, maximum := d.lengths()
	for at := start; at.Before(start.Add(simDuration)); at = at.Add(simTick) {
		for k := range d.kinds {
			rate := d.kinds[k].perSecond * simTick.Seconds()
			if inBurst(at) {
				rate *= d.burst
			}
			for ; rng.Float64() < rate; rate-- {
				r := &simRequest{kind: &d.kinds[k], number: len(out), prompt: int(d.kinds[k].prompt(rng)), router: rng.IntN(d.routers), firstArrival: at}
				r.total = max(int(lognormal(rng, mean, simLengthSigma, float64(maximum))), simEventTokens)
				r.hint = min(max(int(float64(r.total)*math.Exp(simHintSigma*rng.NormFloat64())), 1), maximum)
				out = append(out, r)
			}
		}
	}
	return out
}

// resultShares holds the results of a group of requests: inTime, served and rejected as shares of
// their number, value as a share of the value if all were answered in time.
type resultShares struct{ inTime, served, rejected, value float64 }

func sharesOf(requests []*simRequest) resultShares {
	var sum resultShares
	mean, maxValue := 0.0, 0.0
	for _, r := range requests {
		mean += r.cost() / float64(len(requests))
	}
	for _, r := range requests {
		value := 0.3 + 0.7*r.cost()/mean
		maxValue += value
		switch r.result {
		case resultInTime:
			sum.inTime++
			sum.value += value
		case resultLate:
			sum.served++
			sum.value += lateValue * value
		case resultRejected:
			sum.rejected++
		}
	}
	n := float64(len(requests))
	return resultShares{sum.inTime / n, (sum.inTime + sum.served) / n, sum.rejected / n, sum.value / maxValue}
}

// cost is the weight of a request: prompt tokens plus ten times the generated tokens.
func (r *simRequest) cost() float64 { return float64(r.prompt + 10*r.total) }

// fifths are the results of a kind of request by fifths of the prompt length, the shortest first.
func (s *simulation) fifths(name string) [5]resultShares {
	var requests []*simRequest
	for _, r := range s.all {
		if r.kind.name == name {
			requests = append(requests, r)
		}
	}
	slices.SortStableFunc(requests, func(a, b *simRequest) int { return a.prompt - b.prompt })
	var out [5]resultShares
	for i := range out {
		out[i] = sharesOf(requests[i*len(requests)/5 : (i+1)*len(requests)/5])
	}
	return out
}
