package overload_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/overload"
)

var start = time.Unix(1000, 0)

const (
	objective   = 150 * time.Millisecond
	serviceTime = 30 * time.Millisecond
	slots       = 6
	queue       = 24
	routers     = 23
	// networkDelay is the delay between router and caller.
	networkDelay = 10 * time.Millisecond
)

// call is one call at the server.
type call struct {
	router    int
	sent, end time.Time
}

// byEnd is a heap of calls by completion time.
type byEnd []call

func (b byEnd) Len() int           { return len(b) }
func (b byEnd) Less(i, j int) bool { return b[i].end.Before(b[j].end) }
func (b byEnd) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *byEnd) Push(x any)        { *b = append(*b, x.(call)) }
func (b *byEnd) Pop() any {
	old := *b
	last := old[len(old)-1]
	*b = old[:len(old)-1]
	return last
}

// simulation is one server that many routers send calls to.
type simulation struct {
	rng      *rand.Rand
	limiters []*overload.Limiter
	running  byEnd
	queued   []call
	// inTime and late are the numbers of answers in each second, rejected those of rejected calls.
	inTime, late, rejected [30]int
}

func newSimulation() *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(1, 2))}
	for range routers {
		s.limiters = append(s.limiters, overload.New())
	}
	return s
}

// step simulates a millisecond at a rate of calls per second.
func (s *simulation) step(now time.Time, rate float64, limited bool) {
	second := int(now.Sub(start) / time.Second)
	for len(s.running) > 0 && !s.running[0].end.After(now) {
		s.complete(heap.Pop(&s.running).(call), now, second)
	}
	for len(s.queued) > 0 && len(s.running) < slots {
		c := s.queued[0]
		s.queued = s.queued[1:]
		s.begin(c, now)
	}
	if s.rng.Float64() > rate/1000 {
		return
	}
	c := call{router: s.rng.IntN(routers), sent: now}
	switch l := s.limiters[c.router]; {
	case limited && !admits(l, "a", false, s.rng.Float64(), now):
		s.rejected[second]++
	case len(s.queued) >= queue:
		l.Observe("a", overload.Outcome{Objective: objective, Rejected: true}, now)
		s.rejected[second]++
	default:
		s.queued = append(s.queued, c)
	}
}

func (s *simulation) begin(c call, now time.Time) {
	c.end = now.Add(serviceTime/2 + time.Duration(s.rng.Int64N(int64(serviceTime))))
	heap.Push(&s.running, c)
}

func (s *simulation) complete(c call, now time.Time, second int) {
	took := now.Sub(c.sent)
	s.limiters[c.router].Observe("a", overload.Outcome{Took: took, Objective: objective}, now)
	if took+networkDelay <= objective {
		s.inTime[second]++
	} else {
		s.late[second]++
	}
}

// run simulates 30 s: normal load, then from second 5 to 20 a third more than the server can
// answer, then normal load again.
func run(limited bool) *simulation {
	s := newSimulation()
	for i := range 30_000 {
		rate := 120.0
		if i >= 5000 && i < 20_000 {
			rate = 267
		}
		s.step(start.Add(time.Duration(i)*time.Millisecond), rate, limited)
	}
	return s
}

func sum(seconds []int) int {
	n := 0
	for _, v := range seconds {
		n += v
	}
	return n
}

// TestServersAreLost guards against a queue that stays full after servers are lost. Of the 200
// calls a second that the server can answer, most are answered in time from two seconds after
// the loss, and less than half without a limit; no call is rejected before the loss, and hardly
// any from two seconds after the load is normal again.
func TestServersAreLost(t *testing.T) {
	limited, unlimited := run(true), run(false)
	t.Logf("answered in time per second %v, rejected %v; without a limit %v, %v", limited.inTime, limited.rejected, unlimited.inTime, unlimited.rejected)
	const capacity = 200
	assert.Assert(t, sum(limited.inTime[7:20]) >= 13*capacity*8/10, "%d", sum(limited.inTime[7:20]))
	assert.Assert(t, sum(unlimited.inTime[7:20]) <= 13*capacity/2, "%d", sum(unlimited.inTime[7:20]))
	assert.Assert(t, sum(limited.rejected[:5]) == 0)
	assert.Assert(t, sum(limited.rejected[22:]) <= 8, "%v", limited.rejected[22:])
}

// TestSlowServiceIsNotOverloaded: a service that never meets its objective keeps its full share.
func TestSlowServiceIsNotOverloaded(t *testing.T) {
	l := overload.New()
	for i := range 200 {
		l.Observe("a", overload.Outcome{Took: 400 * time.Millisecond, Objective: objective}, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Equal(t, l.Share("a"), 1.0)
}

// admits reports whether a call is sent to a server, with u a random number in [0, 1).
func admits(l *overload.Limiter, id string, pastObjective bool, u float64, now time.Time) bool {
	c, reduced := l.Condition(id, pastObjective, now)
	return !reduced || u < c.Share
}

// TestPastObjectiveIsAdmittedLess: under overload, calls past their objective are admitted less,
// and none at a share of half or below.
func TestPastObjectiveIsAdmittedLess(t *testing.T) {
	l := overload.New()
	for range 12 {
		l.Observe("a", overload.Outcome{Rejected: true}, start)
	}
	share := l.Share("a")
	assert.Assert(t, share > 0.4 && share < 0.5, "%g", share)
	assert.Assert(t, admits(l, "a", false, share-0.01, start))
	assert.Assert(t, !admits(l, "a", true, 0, start))
}

// TestIdleServerRecovers: a server that got no call for some time is tried again.
func TestIdleServerRecovers(t *testing.T) {
	l := overload.New()
	for i := range 200 {
		l.Observe("a", overload.Outcome{Rejected: true}, start.Add(time.Duration(i)))
	}
	assert.Assert(t, !admits(l, "a", false, 0.5, start))
	assert.Assert(t, admits(l, "a", false, 0.5, start.Add(4*time.Second)))
	l.Forget(func(string) bool { return false })
	assert.Equal(t, l.Share("a"), 1.0)
}

func ExampleLimiter() {
	l := overload.New()
	l.Observe("i-1", overload.Outcome{Took: 40 * time.Millisecond, Objective: objective}, start)
	fmt.Println(admits(l, "i-1", false, 0.99, start))
	// Output: true
}

// TestCondition: a server that rejects calls is sent a share of them, and less of those past their objective.
func TestCondition(t *testing.T) {
	l := overload.New()
	_, ok := l.Condition("a", false, start)
	assert.Assert(t, !ok, "healthy")
	for range 10 {
		l.Observe("a", overload.Outcome{Rejected: true}, start)
	}
	c, ok := l.Condition("a", false, start)
	assert.Assert(t, ok)
	assert.Equal(t, c.Reason, eligibility.Overload)
	assert.Assert(t, c.Share > 0 && c.Share < 1, "%v", c.Share)
	assert.Equal(t, c.Share, l.Share("a"))
	late, ok := l.Condition("a", true, start)
	assert.Assert(t, ok)
	assert.Assert(t, late.Share >= 0 && late.Share < c.Share, "%v", late.Share)
	_, ok = l.Condition("a", false, start.Add(time.Minute))
	assert.Assert(t, !ok, "an idle server recovers")
}
