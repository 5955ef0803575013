package overload_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/overload"
)

var start = time.Unix(1000, 0)

const (
	objective = 150 * time.Millisecond
	work      = 30 * time.Millisecond
	slots     = 6
	queue     = 24
	routers   = 23
	// way is the time between router and caller.
	way = 10 * time.Millisecond
)

// call is one call at the server.
type call struct {
	router    int
	sent, end time.Time
}

// byEnd orders calls by their ends.
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

// plant is one server before many routers.
type plant struct {
	rng      *rand.Rand
	limiters []*overload.Limiter
	running  byEnd
	waiting  []call
	// inTime and late are the answers in each second, away the calls turned away.
	inTime, late, away [30]int
}

func newPlant() *plant {
	p := &plant{rng: rand.New(rand.NewPCG(1, 2))}
	for range routers {
		p.limiters = append(p.limiters, overload.New())
	}
	return p
}

// step plays a millisecond with that many calls a second.
func (p *plant) step(now time.Time, rate float64, limited bool) {
	second := int(now.Sub(start) / time.Second)
	for len(p.running) > 0 && !p.running[0].end.After(now) {
		p.answer(heap.Pop(&p.running).(call), now, second)
	}
	for len(p.waiting) > 0 && len(p.running) < slots {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.begin(c, now)
	}
	if p.rng.Float64() > rate/1000 {
		return
	}
	c := call{router: p.rng.IntN(routers), sent: now}
	switch l := p.limiters[c.router]; {
	case limited && !l.Admits("a", false, p.rng.Float64(), now):
		p.away[second]++
	case len(p.waiting) >= queue:
		l.Observe("a", overload.Outcome{Objective: objective, Rejected: true}, now)
		p.away[second]++
	default:
		p.waiting = append(p.waiting, c)
	}
}

func (p *plant) begin(c call, now time.Time) {
	c.end = now.Add(work/2 + time.Duration(p.rng.Int64N(int64(work))))
	heap.Push(&p.running, c)
}

func (p *plant) answer(c call, now time.Time, second int) {
	took := now.Sub(c.sent)
	p.limiters[c.router].Observe("a", overload.Outcome{Took: took, Objective: objective}, now)
	if took+way <= objective {
		p.inTime[second]++
	} else {
		p.late[second]++
	}
}

// play plays 30 s: usual load, then from second 5 to 20 a third more than the server can
// answer, then usual load again.
func play(limited bool) *plant {
	p := newPlant()
	for i := range 30_000 {
		rate := 120.0
		if i >= 5000 && i < 20_000 {
			rate = 267
		}
		p.step(start.Add(time.Duration(i)*time.Millisecond), rate, limited)
	}
	return p
}

func sum(seconds []int) int {
	n := 0
	for _, v := range seconds {
		n += v
	}
	return n
}

// TestServersAreLost: of the 200 calls a second that the server can answer, most are answered
// in time from two seconds after the loss on, where without a limit less than half are; before it
// nobody is turned away, and two seconds after it nobody either.
func TestServersAreLost(t *testing.T) {
	with, without := play(true), play(false)
	t.Logf("in time a second %v, turned away %v; without %v, %v", with.inTime, with.away, without.inTime, without.away)
	const capacity = 200
	assert.Assert(t, sum(with.inTime[7:20]) >= 13*capacity*8/10, "%d", sum(with.inTime[7:20]))
	assert.Assert(t, sum(without.inTime[7:20]) <= 13*capacity/2, "%d", sum(without.inTime[7:20]))
	assert.Assert(t, sum(with.away[:5]) == 0)
	assert.Assert(t, sum(with.away[22:]) <= 8, "%v", with.away[22:])
}

// TestSlowByNature: a service that never answers within its objective is not overloaded.
func TestSlowByNature(t *testing.T) {
	l := overload.New()
	for i := range 200 {
		l.Observe("a", overload.Outcome{Took: 400 * time.Millisecond, Objective: objective}, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Equal(t, l.Share("a"), 1.0)
}

// TestLateGivesWay: under overload calls that are late are let in less, and none at half.
func TestLateGivesWay(t *testing.T) {
	l := overload.New()
	for range 12 {
		l.Observe("a", overload.Outcome{Rejected: true}, start)
	}
	share := l.Share("a")
	assert.Assert(t, share > 0.4 && share < 0.5, "%g", share)
	assert.Assert(t, l.Admits("a", false, share-0.01, start))
	assert.Assert(t, !l.Admits("a", true, 0, start))
}

// TestRecoversUnasked: a server that gets no call is tried again.
func TestRecoversUnasked(t *testing.T) {
	l := overload.New()
	for i := range 200 {
		l.Observe("a", overload.Outcome{Rejected: true}, start.Add(time.Duration(i)))
	}
	assert.Assert(t, !l.Admits("a", false, 0.5, start))
	assert.Assert(t, l.Admits("a", false, 0.5, start.Add(4*time.Second)))
	l.Forget(func(string) bool { return false })
	assert.Equal(t, l.Share("a"), 1.0)
}

func ExampleLimiter() {
	l := overload.New()
	l.Observe("i-1", overload.Outcome{Took: 40 * time.Millisecond, Objective: objective}, start)
	fmt.Println(l.Admits("i-1", false, 0.99, start))
	// Output: true
}
