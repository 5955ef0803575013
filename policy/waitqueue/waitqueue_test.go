package waitqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func fitsAlways(*waitqueue.Waiter) bool { return true }

func fitsUpTo(n int) func(*waitqueue.Waiter) bool {
	return func(w *waitqueue.Waiter) bool { return w.Need <= n }
}

func TestOrder(t *testing.T) {
	urgent := &waitqueue.Waiter{Arrived: ms(30), Priority: 0}
	first := &waitqueue.Waiter{Arrived: ms(10), Priority: 1}
	second := &waitqueue.Waiter{Arrived: ms(20), Priority: 1}
	retried := &waitqueue.Waiter{Arrived: ms(0), Priority: 0, Late: true}
	var q waitqueue.Queue
	for _, w := range []*waitqueue.Waiter{retried, second, urgent, first} {
		q.Add(w)
	}
	for _, want := range []*waitqueue.Waiter{urgent, first, second, retried} {
		assert.Equal(t, q.Next(fitsAlways, time.Second, ms(40)), want)
	}
	assert.Assert(t, q.Next(fitsAlways, time.Second, ms(40)) == nil)
}

func TestLargeRequestIsBypassedForLimitedTime(t *testing.T) {
	var q waitqueue.Queue
	large := &waitqueue.Waiter{Need: 10_000, Arrived: ms(0)}
	small := &waitqueue.Waiter{Need: 3000, Arrived: ms(10)}
	q.Add(large)
	q.Add(small)
	assert.Assert(t, q.Next(fitsUpTo(5000), 300*time.Millisecond, ms(301)) == nil, "memory is reserved for the large request")
	assert.Equal(t, q.Next(fitsUpTo(5000), 300*time.Millisecond, ms(299)), small)
	assert.Equal(t, q.Next(fitsUpTo(10_000), 300*time.Millisecond, ms(400)), large)
}

// TestBoundRequestWithholdsItsVersion: a request that needs engines of one version delays those behind it at these engines
// only, once it has waited for long.
func TestBoundRequestWithholdsItsVersion(t *testing.T) {
	var q waitqueue.Queue
	bound := &waitqueue.Waiter{Need: 10_000, Arrived: ms(0), Version: "v1"}
	boundLater := &waitqueue.Waiter{Need: 3000, Arrived: ms(10), Version: "v1"}
	free := &waitqueue.Waiter{Need: 3000, Arrived: ms(20)}
	for _, w := range []*waitqueue.Waiter{bound, boundLater, free} {
		q.Add(w)
	}
	// Only v1 has memory for a small request, and v2 none.
	fits := func(w *waitqueue.Waiter) bool { return w.Need <= 3000 && !slices.Contains(q.Withheld(), "v1") }
	assert.Assert(t, q.Next(fits, 300*time.Millisecond, ms(301)) == nil, "the engines of v1 are kept for the first")
	assert.Equal(t, q.Next(fits, 300*time.Millisecond, ms(299)), boundLater)
	assert.Equal(t, q.Next(func(w *waitqueue.Waiter) bool { return w.Version == "" }, 300*time.Millisecond, ms(301)), free, "v2 has memory")
}

func TestRemove(t *testing.T) {
	var q waitqueue.Queue
	w := &waitqueue.Waiter{Need: 7}
	q.Add(w)
	assert.Equal(t, q.Ahead(w), 7)
	assert.Assert(t, q.Remove(w))
	assert.Assert(t, !q.Remove(w))
	assert.Equal(t, q.Len(), 0)
}

func TestGiveUpAt(t *testing.T) {
	policy := waitqueue.DefaultPolicy()
	for _, c := range []struct {
		name            string
		objective, left time.Duration
		prompt          int
		late            bool
		want            time.Duration
	}{
		{"as long as it can begin in time", 900 * time.Millisecond, 14 * time.Second, 5000, false, 600 * time.Millisecond},
		{"a long prompt leaves less", 900 * time.Millisecond, 14 * time.Second, 10_000, false, 420 * time.Millisecond},
		{"no time left to wait", 100 * time.Millisecond, 14 * time.Second, 5000, false, 0},
		{"a retry waits longer", 900 * time.Millisecond, 10 * time.Second, 5000, true, 3 * time.Second},
		{"but at most half of the time left", 900 * time.Millisecond, 2 * time.Second, 5000, true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := policy.GiveUpAt(start, c.objective, c.left, c.prompt, c.late)
			assert.Equal(t, got.Sub(start), c.want)
		})
	}
}

// TestRetryDetector: retries are distinguished from first requests by the timeouts that clients state.
func TestRetryDetector(t *testing.T) {
	var d waitqueue.RetryDetector
	for _, c := range []struct {
		timeout int
		want    bool
	}{
		{12_000, false}, {14_000, false}, {11_900, false}, {9900, true}, {13_000, false}, {0, false}, {4000, true},
	} {
		got := d.Observe(time.Duration(c.timeout) * time.Millisecond)
		assert.Equal(t, got, c.want, "%d", c.timeout)
	}
	for range 1000 {
		d.Observe(5 * time.Second)
	}
	assert.Assert(t, !d.Observe(5*time.Second), "timeouts are shorter than before")
}

func TestGiveUpAfterFailure(t *testing.T) {
	policy := waitqueue.DefaultPolicy()
	for _, c := range []struct{ until, now, deadline, want int }{
		{600, 3000, 14_000, 4000},
		{600, 100, 14_000, 1100},
		{5000, 3000, 14_000, 5000},
		{600, 13_500, 14_000, 14_000},
	} {
		assert.Equal(t, policy.GiveUpAfterFailure(ms(c.until), ms(c.now), ms(c.deadline)), ms(c.want), "%+v", c)
	}
}

func TestRetryAfter(t *testing.T) {
	policy := waitqueue.DefaultPolicy()
	assert.Equal(t, policy.RetryAfter(14*time.Second, 0), policy.MinRetryAfter)
	assert.Assert(t, policy.RetryAfter(14*time.Second, 0.999) > 4500*time.Millisecond)
	assert.Equal(t, policy.RetryAfter(6*time.Second, 0.5), 2*time.Second, "a third of the time left")
}

func TestShouldReject(t *testing.T) {
	policy := waitqueue.DefaultPolicy()
	for _, c := range []struct {
		ahead int
		rate  float64
		wait  time.Duration
		want  bool
	}{
		{0, 10_000, 600 * time.Millisecond, false},
		{6000, 10_000, 600 * time.Millisecond, false},
		{12_000, 10_000, 600 * time.Millisecond, true},
		{12_000, 10_000, 3 * time.Second, false},
		{1 << 30, 0, time.Second, false},
	} {
		assert.Equal(t, policy.ShouldReject(c.ahead, c.rate, c.wait), c.want, "%+v", c)
	}
}

// replayed is a request of a replayed burst.
type replayed struct {
	waitqueue.Waiter
	at      time.Time
	runTime time.Duration
	// late is set once the request is retried; u is the random number of its retry delay.
	late bool
	u    float64
}

// result counts the requests of a replay by outcome.
type result struct{ inTime, late, refused int }

const (
	memory        = 12 * 53_125
	objective     = 900 * time.Millisecond
	clientTimeout = 14 * time.Second
	tick          = 10 * time.Millisecond
)

// generateLoad returns the replayed load: 34 s with three bursts of twice the load, as on the
// users' calm days, with prompts of about 5,200 tokens and 759 tokens generated in about 3.3 s.
func generateLoad() []*replayed {
	rng := rand.New(rand.NewPCG(3, 4))
	var out []*replayed
	for now := start; now.Before(start.Add(34 * time.Second)); now = now.Add(tick) {
		for range arrivals(rng, now) {
			tokens := 100 + rng.IntN(1300)
			out = append(out, &replayed{
				Waiter: waitqueue.Waiter{Need: 2500 + rng.IntN(5400) + tokens},
				at:     now, u: rng.Float64(),
				runTime: 300*time.Millisecond + time.Duration(tokens)*4300*time.Microsecond,
			})
		}
	}
	return out
}

// replay runs the load through one router with the memory of 12 engines. giveUpAt returns when a
// request stops waiting, retryAfter the delay until a rejected one is retried (zero for never).
func replay(next func(q *waitqueue.Queue, fits func(*waitqueue.Waiter) bool, now time.Time) *waitqueue.Waiter,
	giveUpAt func(r *replayed) time.Time, retryAfter func(r *replayed) time.Duration) result {
	var q waitqueue.Queue
	var res result
	used := 0
	byWaiter := map[*waitqueue.Waiter]*replayed{}
	var queued []*replayed
	releases := map[time.Time][]int{}
	dueArrivals := map[time.Time][]*replayed{}
	for _, r := range generateLoad() {
		dueArrivals[r.at] = append(dueArrivals[r.at], r)
	}
	enqueue := func(r *replayed, now time.Time) {
		r.Arrived, r.Late = now, r.late
		r.GiveUpAt = giveUpAt(r)
		byWaiter[&r.Waiter] = r
		queued = append(queued, r)
		q.Add(&r.Waiter)
	}
	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(tick) {
		for _, n := range releases[now] {
			used -= n
		}
		for _, r := range dueArrivals[now] {
			enqueue(r, now)
		}
		for {
			w := next(&q, func(w *waitqueue.Waiter) bool { return used+w.Need <= memory }, now)
			if w == nil {
				break
			}
			r := byWaiter[w]
			used += w.Need
			releases[now.Add(r.runTime.Round(tick))] = append(releases[now.Add(r.runTime.Round(tick))], w.Need)
			if !r.late && now.Sub(r.Arrived) <= objective-300*time.Millisecond {
				res.inTime++
			} else {
				res.late++
			}
		}
		queued = slices.DeleteFunc(queued, func(r *replayed) bool {
			if now.Before(r.GiveUpAt) {
				return false
			}
			if !q.Remove(&r.Waiter) {
				return true
			}
			if d := retryAfter(r).Round(tick); d > 0 && !r.late {
				r.late = true
				dueArrivals[now.Add(d)] = append(dueArrivals[now.Add(d)], r)
				return true
			}
			res.refused++
			return true
		})
	}
	res.refused += q.Len()
	return res
}

func arrivals(rng *rand.Rand, now time.Time) int {
	at := now.Sub(start)
	rate := 17.0
	for _, from := range []time.Duration{6, 17, 27} {
		if at >= from*time.Second && at < (from+5)*time.Second {
			rate = 36
		}
	}
	n := 0
	for rng.Float64() < rate*tick.Seconds()/float64(n+1) && n < 3 {
		n++
	}
	return n
}

func nextByPolicy(q *waitqueue.Queue, fits func(*waitqueue.Waiter) bool, now time.Time) *waitqueue.Waiter {
	return q.Next(fits, 300*time.Millisecond, now)
}

// TestBursts compares the policy with a FIFO queue in which every request waits until it is
// served, under the same load: many more are answered in time, and nearly all in the end.
func TestBursts(t *testing.T) {
	policy := waitqueue.DefaultPolicy()
	byPolicy := replay(nextByPolicy,
		func(r *replayed) time.Time {
			return policy.GiveUpAt(r.Arrived, objective, clientTimeout-4*time.Second, r.Need, r.late)
		},
		func(r *replayed) time.Duration { return policy.RetryAfter(clientTimeout, r.u) })
	fifo := replay(func(q *waitqueue.Queue, fits func(*waitqueue.Waiter) bool, now time.Time) *waitqueue.Waiter {
		return q.Next(fits, 0, now)
	},
		func(r *replayed) time.Time { return r.Arrived.Add(clientTimeout) },
		func(*replayed) time.Duration { return 0 })
	t.Logf("policy %+v, FIFO %+v", byPolicy, fifo)
	total := byPolicy.inTime + byPolicy.late + byPolicy.refused
	assert.Equal(t, total, fifo.inTime+fifo.late+fifo.refused, "the same load")
	assert.Assert(t, byPolicy.inTime*10 >= fifo.inTime*11, "a tenth more in time")
	assert.Assert(t, byPolicy.refused*25 <= total, "at most one in 25 rejected for good")
	assert.Assert(t, slices.Max([]int{byPolicy.inTime, byPolicy.late}) == byPolicy.inTime)
}
