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

func any(*waitqueue.Waiter) bool { return true }

func upTo(n int) func(*waitqueue.Waiter) bool {
	return func(w *waitqueue.Waiter) bool { return w.Need <= n }
}

func TestOrder(t *testing.T) {
	urgent := &waitqueue.Waiter{Arrived: ms(30), Priority: 0}
	first := &waitqueue.Waiter{Arrived: ms(10), Priority: 1}
	second := &waitqueue.Waiter{Arrived: ms(20), Priority: 1}
	returned := &waitqueue.Waiter{Arrived: ms(0), Priority: 0, Late: true}
	var l waitqueue.Queue
	for _, w := range []*waitqueue.Waiter{returned, second, urgent, first} {
		l.Add(w)
	}
	for _, want := range []*waitqueue.Waiter{urgent, first, second, returned} {
		assert.Equal(t, l.Next(any, time.Second, ms(40)), want)
	}
	assert.Assert(t, l.Next(any, time.Second, ms(40)) == nil)
}

func TestLargeRequestIsPassedForAWhileOnly(t *testing.T) {
	var l waitqueue.Queue
	large := &waitqueue.Waiter{Need: 10_000, Arrived: ms(0)}
	small := &waitqueue.Waiter{Need: 3000, Arrived: ms(10)}
	l.Add(large)
	l.Add(small)
	assert.Assert(t, l.Next(upTo(5000), 300*time.Millisecond, ms(301)) == nil, "memory is kept for the large one")
	assert.Equal(t, l.Next(upTo(5000), 300*time.Millisecond, ms(299)), small)
	assert.Equal(t, l.Next(upTo(10_000), 300*time.Millisecond, ms(400)), large)
}

func TestRemove(t *testing.T) {
	var l waitqueue.Queue
	w := &waitqueue.Waiter{Need: 7}
	l.Add(w)
	assert.Equal(t, l.Ahead(w), 7)
	assert.Assert(t, l.Remove(w))
	assert.Assert(t, !l.Remove(w))
	assert.Equal(t, l.Len(), 0)
}

func TestUntil(t *testing.T) {
	terms := waitqueue.DefaultPolicy()
	for _, c := range []struct {
		name            string
		objective, left time.Duration
		prompt          int
		late            bool
		want            time.Duration
	}{
		{"as long as it can begin in time", 900 * time.Millisecond, 14 * time.Second, 5000, false, 600 * time.Millisecond},
		{"a long prompt leaves less", 900 * time.Millisecond, 14 * time.Second, 10_000, false, 420 * time.Millisecond},
		{"no time at all", 100 * time.Millisecond, 14 * time.Second, 5000, false, 0},
		{"who came back waits longer", 900 * time.Millisecond, 10 * time.Second, 5000, true, 3 * time.Second},
		{"but not past half of what is left", 900 * time.Millisecond, 2 * time.Second, 5000, true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := terms.GiveUpAt(start, c.objective, c.left, c.prompt, c.late)
			assert.Equal(t, got.Sub(start), c.want)
		})
	}
}

// TestReturned: those that were turned away are told from those that come for the first time,
// by what they say themselves.
func TestReturned(t *testing.T) {
	var r waitqueue.RetryDetector
	for _, c := range []struct {
		patience int
		want     bool
	}{
		{12_000, false}, {14_000, false}, {11_900, false}, {9900, true}, {13_000, false}, {0, false}, {4000, true},
	} {
		got := r.Observe(time.Duration(c.patience) * time.Millisecond)
		assert.Equal(t, got, c.want, "%d", c.patience)
	}
	for range 1000 {
		r.Observe(5 * time.Second)
	}
	assert.Assert(t, !r.Observe(5*time.Second), "clients wait for less than before")
}

func TestAgain(t *testing.T) {
	terms := waitqueue.DefaultPolicy()
	for _, c := range []struct{ until, now, deadline, want int }{
		{600, 3000, 14_000, 4000},
		{600, 100, 14_000, 1100},
		{5000, 3000, 14_000, 5000},
		{600, 13_500, 14_000, 14_000},
	} {
		assert.Equal(t, terms.GiveUpAfterFailure(ms(c.until), ms(c.now), ms(c.deadline)), ms(c.want), "%+v", c)
	}
}

func TestComeBack(t *testing.T) {
	terms := waitqueue.DefaultPolicy()
	assert.Equal(t, terms.RetryAfter(14*time.Second, 0), terms.BackMin)
	assert.Assert(t, terms.RetryAfter(14*time.Second, 0.999) > 4500*time.Millisecond)
	assert.Equal(t, terms.RetryAfter(6*time.Second, 0.5), 2*time.Second, "a third of the time left")
}

func TestHopeless(t *testing.T) {
	terms := waitqueue.DefaultPolicy()
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
		assert.Equal(t, terms.ShouldReject(c.ahead, c.rate, c.wait), c.want, "%+v", c)
	}
}

// replayed is a request of a replayed burst.
type replayed struct {
	waitqueue.Waiter
	at   time.Time
	runs time.Duration
	// late is set once it came back; u is its chance.
	late bool
	u    float64
}

// end is how a replay ended, in requests.
type end struct{ inTime, late, refused int }

const (
	memory    = 12 * 53_125
	objective = 900 * time.Millisecond
	patience  = 14 * time.Second
	tick      = 10 * time.Millisecond
)

// day is the load that is replayed: 34 s with three bursts of twice the load, as on the
// users' calm days: prompts of about 5,200 tokens, 759 tokens generated in about 3.3 s.
func day() []*replayed {
	rng := rand.New(rand.NewPCG(3, 4))
	var out []*replayed
	for now := start; now.Before(start.Add(34 * time.Second)); now = now.Add(tick) {
		for range arrivals(rng, now) {
			tokens := 100 + rng.IntN(1300)
			out = append(out, &replayed{
				Waiter: waitqueue.Waiter{Need: 2500 + rng.IntN(5400) + tokens},
				at:     now, u: rng.Float64(),
				runs: 300*time.Millisecond + time.Duration(tokens)*4300*time.Microsecond,
			})
		}
	}
	return out
}

// replay drives one router before 12 engines' memory through the day. Until says how long a
// request waits, and back when one that is turned away comes back (zero for never).
func replay(order func(l *waitqueue.Queue, fits func(*waitqueue.Waiter) bool, now time.Time) *waitqueue.Waiter,
	until func(r *replayed) time.Time, back func(r *replayed) time.Duration) end {
	var l waitqueue.Queue
	var e end
	used := 0
	byWaiter := map[*waitqueue.Waiter]*replayed{}
	var inLine []*replayed
	ends := map[time.Time][]int{}
	comes := map[time.Time][]*replayed{}
	for _, r := range day() {
		comes[r.at] = append(comes[r.at], r)
	}
	enter := func(r *replayed, now time.Time) {
		r.Arrived, r.Late = now, r.late
		r.GiveUpAt = until(r)
		byWaiter[&r.Waiter] = r
		inLine = append(inLine, r)
		l.Add(&r.Waiter)
	}
	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(tick) {
		for _, n := range ends[now] {
			used -= n
		}
		for _, r := range comes[now] {
			enter(r, now)
		}
		for {
			w := order(&l, func(w *waitqueue.Waiter) bool { return used+w.Need <= memory }, now)
			if w == nil {
				break
			}
			r := byWaiter[w]
			used += w.Need
			ends[now.Add(r.runs.Round(tick))] = append(ends[now.Add(r.runs.Round(tick))], w.Need)
			if !r.late && now.Sub(r.Arrived) <= objective-300*time.Millisecond {
				e.inTime++
			} else {
				e.late++
			}
		}
		inLine = slices.DeleteFunc(inLine, func(r *replayed) bool {
			if now.Before(r.GiveUpAt) {
				return false
			}
			if !l.Remove(&r.Waiter) {
				return true
			}
			if d := back(r).Round(tick); d > 0 && !r.late {
				r.late = true
				comes[now.Add(d)] = append(comes[now.Add(d)], r)
				return true
			}
			e.refused++
			return true
		})
	}
	e.refused += l.Len()
	return e
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

func inOrder(l *waitqueue.Queue, fits func(*waitqueue.Waiter) bool, now time.Time) *waitqueue.Waiter {
	return l.Next(fits, 300*time.Millisecond, now)
}

// TestBursts compares the policy with a line in order of arrival that everybody stands in
// until served, on the same load: many more are answered in time, and nearly all in the end.
func TestBursts(t *testing.T) {
	terms := waitqueue.DefaultPolicy()
	ours := replay(inOrder,
		func(r *replayed) time.Time {
			return terms.GiveUpAt(r.Arrived, objective, patience-4*time.Second, r.Need, r.late)
		},
		func(r *replayed) time.Duration { return terms.RetryAfter(patience, r.u) })
	line := replay(func(l *waitqueue.Queue, fits func(*waitqueue.Waiter) bool, now time.Time) *waitqueue.Waiter {
		return l.Next(fits, 0, now)
	},
		func(r *replayed) time.Time { return r.Arrived.Add(patience) },
		func(*replayed) time.Duration { return 0 })
	t.Logf("ours %+v, line %+v", ours, line)
	total := ours.inTime + ours.late + ours.refused
	assert.Equal(t, total, line.inTime+line.late+line.refused, "the same load")
	assert.Assert(t, ours.inTime*10 >= line.inTime*11, "a tenth more in time")
	assert.Assert(t, ours.refused*25 <= total, "one in 25 refused for good at most")
	assert.Assert(t, slices.Max([]int{ours.inTime, ours.late}) == ours.inTime)
}
