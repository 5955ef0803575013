package eligibility_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/cooldown"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/outlier"
	"github.com/hibiscusspur/hibiscusspur/policy/overload"
)

// The replayed load: three routers send 60 calls a second together to three servers, each answered in 50 ms.
const (
	routers     = 3
	servers     = 3
	interval    = 50 * time.Millisecond
	answerTime  = 50 * time.Millisecond
	objective   = time.Second
	duration    = 30 * time.Second
	failingCost = 30.0
)

// evidence is what routers conclude from the outcomes of calls at a server that asks for cooldowns.
type evidence int

const (
	// allOutcomes: every outcome counts, refusals too.
	allOutcomes evidence = iota
	// noRefusals: refusals that ask for a cooldown do not count.
	noRefusals
	// noneInCooldown: besides, no outcome counts that comes while the server is in a cooldown.
	noneInCooldown
)

// String returns e for logs.
func (e evidence) String() string {
	return [...]string{"all outcomes", "no refusals", "none in a cooldown"}[e]
}

// router is one router of the replay, with the policies that state conditions of servers.
type router struct {
	cooldowns *cooldown.Cooldowns
	outliers  *outlier.Tracker
	limits    *overload.Limiter
}

// verdict combines what the router knows of a server.
func (r *router) verdict(id string, now time.Time) eligibility.Verdict {
	v := eligibility.NewVerdict()
	add := func(c eligibility.Condition) { v.Add(c, now) }
	if c, ok := r.cooldowns.Condition(id, now); ok {
		add(c)
	}
	if c, ok := r.limits.Condition(id, false, now); ok {
		add(c)
	}
	r.outliers.Conditions(id, failingCost, now, add)
	return v
}

// choose returns the server for a call, empty if there is none. Equal servers are chosen at random.
func (r *router) choose(rng *rand.Rand, now time.Time) string {
	best, lowest := "", 0.0
	var bestVerdict eligibility.Verdict
	for _, i := range rng.Perm(servers) {
		id := fmt.Sprint("s", i)
		v := r.verdict(id, now)
		if v.Excluded || v.Share < 1 && rng.Float64() >= v.Share {
			continue
		}
		if best == "" || v.Precedes(&bestVerdict, v.Cost < lowest) {
			best, bestVerdict, lowest = id, v, v.Cost
		}
	}
	return best
}

// call is a call in progress.
type call struct {
	router  *router
	server  string
	sent    time.Time
	outcome callOutcome
}

type callOutcome int

const (
	answered callOutcome = iota
	refused
	failed
)

// fault decides how server s0 handles a call that is sent at a time after the start.
type fault func(rng *rand.Rand, at time.Duration) callOutcome

// result counts calls of a replay: those sent to s0 by second, and those that failed.
type result struct {
	bySecond [duration / time.Second]int
	failed   int
}

// replay replays the load with cooldowns of a duration in each refusal.
func replay(seed uint64, e evidence, period time.Duration, f fault) (out result) {
	start := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []*router
	for range routers {
		list = append(list, &router{cooldown.New(), outlier.New(), overload.New()})
	}
	var calls []call
	for now := start; now.Before(start.Add(duration)); now = now.Add(interval) {
		for ; len(calls) > 0 && !now.Before(calls[0].sent.Add(answerTime)); calls = calls[1:] {
			calls[0].observe(e, period, now)
		}
		for _, r := range list {
			c := call{router: r, server: r.choose(rng, now), sent: now}
			if c.server == "s0" {
				c.outcome = f(rng, now.Sub(start))
				out.bySecond[now.Sub(start)/time.Second]++
			}
			if c.outcome == failed {
				out.failed++
			}
			if c.server != "" {
				calls = append(calls, c)
			}
		}
	}
	return out
}

// observe has the router of a call take its outcome.
func (c *call) observe(e evidence, period time.Duration, now time.Time) {
	r := c.router
	if e == noneInCooldown && r.cooldowns.Remaining(c.server, now) > 0 {
		return
	}
	if c.outcome == refused {
		r.cooldowns.Record(c.server, period, now)
		if e != allOutcomes {
			return
		}
	}
	r.outliers.Observe(c.server, c.outcome == answered, now)
	if c.outcome != failed {
		r.limits.Observe(c.server, overload.Outcome{Took: now.Sub(c.sent), Objective: objective, Rejected: c.outcome == refused}, now)
	}
}

// between sums the calls of some seconds.
func (r *result) between(from, to int) (sum int) {
	for _, n := range r.bySecond[from:to] {
		sum += n
	}
	return sum
}

// TestServerReturnsAfterItsCooldown replays a server that refuses all calls for seven seconds and asks for a cooldown of
// three each time. Once the last one is over, at 15 s at the latest, it has to get its share of the calls again. If
// refusals count as failures, it gets nothing for seconds more.
func TestServerReturnsAfterItsCooldown(t *testing.T) {
	refuses := func(_ *rand.Rand, at time.Duration) callOutcome {
		if at >= 5*time.Second && at < 12*time.Second {
			return refused
		}
		return answered
	}
	const share = 3 * routers * int(time.Second/interval) / servers
	for seed := range uint64(4) {
		got := map[evidence]int{}
		for _, e := range []evidence{allOutcomes, noRefusals, noneInCooldown} {
			r := replay(seed, e, 3*time.Second, refuses)
			got[e] = r.between(15, 18)
			t.Logf("seed %d, %s: %d calls from 15 to 18 s, of %d; %d from 5 to 12 s", seed, e, got[e], share, r.between(5, 12))
		}
		assert.Check(t, got[noRefusals] >= share/2)
		assert.Check(t, got[noRefusals] > 2*got[allOutcomes])
	}
}

// TestFailuresBesideRefusalsCount replays a server that refuses one call in ten, with a cooldown of half a second, and
// fails half of the others. Failures that come during a cooldown are evidence as well: without them more calls fail.
func TestFailuresBesideRefusalsCount(t *testing.T) {
	sick := func(rng *rand.Rand, at time.Duration) callOutcome {
		switch u := rng.Float64(); {
		case at < 5*time.Second:
			return answered
		case u < 0.1:
			return refused
		case u < 0.55:
			return failed
		default:
			return answered
		}
	}
	sum := map[evidence]int{}
	for seed := range uint64(20) {
		for _, e := range []evidence{allOutcomes, noRefusals, noneInCooldown} {
			r := replay(seed, e, 500*time.Millisecond, sick)
			sum[e] += r.failed
		}
	}
	t.Logf("failed calls: %d if all outcomes count, %d without refusals, %d without any in a cooldown", sum[allOutcomes], sum[noRefusals], sum[noneInCooldown])
	assert.Check(t, sum[noRefusals] <= sum[noneInCooldown])
}
