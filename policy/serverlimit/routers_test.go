package serverlimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
)

// The tests below simulate the load pattern in the package comment: many routers send to one server with a limit, report
// to each other by datagrams and by regular reports, and each gets its share of all calls.

// strategy decides at one router whether the server gets a call.
type strategy interface {
	take(now time.Time) bool
	// report returns what is reported to the others; nil if nothing.
	report(all bool, now time.Time) *update
	receive(from int, u *update, now time.Time)
}

type update struct {
	all      bool
	informed bool
	usage    []limit.ReportedUsage
}

// sharedLimits is the strategy of this package.
type sharedLimits struct{ *Limits }

func newSharedLimits(router, routers int) strategy {
	l := New(uint64(router), start.Add(-time.Hour))
	l.SetRouters(routers)
	return sharedLimits{l}
}

func (s sharedLimits) take(now time.Time) bool { return s.Take("a", now) }

func (s sharedLimits) report(all bool, now time.Time) *update {
	if !all && !s.Usage().UpdateDue(now) {
		return nil
	}
	usage, informed := s.Usage().Report(!all, now)
	return &update{all: all, informed: informed, usage: usage}
}

func (s sharedLimits) receive(from int, u *update, now time.Time) {
	s.Usage().Receive(fmt.Sprint(from), 1, u.informed, u.all, u.usage, now)
}

// newWithoutStagger returns the same strategy without staggered delays.
func newWithoutStagger(router, routers int) strategy {
	s := newSharedLimits(router, routers).(sharedLimits)
	s.SetRouters(1)
	return s
}

// evenSplit gives each router an equal share of the limit, and one more request after an idle time.
type evenSplit struct{ *Limits }

func newEvenSplit(router, routers int) strategy {
	l := New(uint64(router), start.Add(-time.Hour))
	return evenSplit{l}
}
func (s evenSplit) take(now time.Time) bool       { return s.Take("a", now) }
func (evenSplit) report(bool, time.Time) *update  { return nil }
func (evenSplit) receive(int, *update, time.Time) {}

const (
	// simMinDelay is the least time from the sending of a report to its receipt at another router, which takes up to
	// simJitter more.
	simMinDelay = 4 * time.Millisecond
	simJitter   = 20 * time.Millisecond
	simLoss     = 0.01
	simDuration = 20 * time.Second
	// The users' rule: every window has at most overage times what the limit allows, plus allowance. It is binding from
	// bindsAfter on.
	window     = 4 * time.Second
	overage    = 1.5
	allowance  = 5
	bindsAfter = 3 * time.Second
)

// message is an update in flight.
type message struct {
	at       time.Time
	from, to int
	update   *update
}

type messageQueue []message

func (m messageQueue) Len() int           { return len(m) }
func (m messageQueue) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m messageQueue) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *messageQueue) Push(x any)        { *m = append(*m, x.(message)) }
func (m *messageQueue) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// simulate returns when the server received requests, with that many calls per second at all routers together.
func simulate(newStrategy func(router, routers int) strategy, routers int, limit, calls float64) []time.Time {
	rng := rand.New(rand.NewPCG(uint64(routers), uint64(10*limit)))
	strategies := make([]strategy, routers)
	for i := range strategies {
		strategies[i] = newStrategy(i, routers)
		st := limited(limit, start)
		if p, ok := strategies[i].(evenSplit); ok {
			st.PerSecond /= float64(routers)
			p.Update("a", st, start)
		} else {
			strategies[i].(sharedLimits).Update("a", st, start)
		}
	}
	interval := 200 * time.Millisecond * time.Duration(max(routers, 8)) / 8
	var sent []time.Time
	var inFlight messageQueue
	for now := start; now.Before(at(simDuration)); now = now.Add(time.Millisecond) {
		for len(inFlight) > 0 && !inFlight[0].at.After(now) {
			m := heap.Pop(&inFlight).(message)
			strategies[m.to].receive(m.from, m.update, now)
		}
		for i, s := range strategies {
			if routers > 1 && rng.Float64() < time.Millisecond.Seconds()/interval.Seconds() {
				to := rng.IntN(routers)
				if u := s.report(true, now); u != nil && to != i {
					heap.Push(&inFlight, message{now.Add(simMinDelay), i, to, u})
				}
			}
		}
		for range arrivals(rng, calls/1000) {
			i := rng.IntN(routers)
			if !strategies[i].take(now) {
				continue
			}
			sent = append(sent, now)
			u := strategies[i].report(false, now)
			for to := range strategies {
				if u != nil && to != i && rng.Float64() >= simLoss {
					heap.Push(&inFlight, message{now.Add(simMinDelay + time.Duration(rng.Int64N(int64(simJitter)))), i, to, u})
				}
			}
		}
	}
	return sent
}

// arrivals returns how many calls arrive in a millisecond.
func arrivals(rng *rand.Rand, mean float64) int {
	n := int(mean)
	if rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// maxInWindow returns the largest number of requests in a window, from bindsAfter on.
func maxInWindow(sent []time.Time) int {
	maximum := 0
	for i, from := range sent {
		if from.Before(at(bindsAfter)) {
			continue
		}
		n := 0
		for _, s := range sent[i:] {
			if s.Sub(from) <= window {
				n++
			}
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// TestManyRoutersKeepToOneLimit: with few and with hundreds of routers no window has more than the users allow, and
// nearly all that the server takes is used.
func TestManyRoutersKeepToOneLimit(t *testing.T) {
	for _, c := range []struct {
		routers int
		calls   float64
	}{{1, 20}, {5, 20}, {30, 150}, {68, 400}, {300, 4000}} {
		for _, limit := range []float64{0.5, 1, 3.2, 20} {
			t.Run(fmt.Sprint(c.routers, " routers, ", limit), func(t *testing.T) {
				allowed := int(limit*window.Seconds()*overage + allowance)
				sent := simulate(newSharedLimits, c.routers, limit, c.calls)
				expected := min(limit, c.calls) * simDuration.Seconds()
				unstaggered, even := simulate(newWithoutStagger, c.routers, limit, c.calls), simulate(newEvenSplit, c.routers, limit, c.calls)
				t.Logf("worst window of %d and requests of %.0f: %d, %d; without staggered delays %d, %d; by equal shares %d, %d", allowed, expected,
					maxInWindow(sent), len(sent), maxInWindow(unstaggered), len(unstaggered), maxInWindow(even), len(even))
				assert.Check(t, maxInWindow(sent) <= allowed)
				if limit < c.calls/2 {
					assert.Check(t, float64(len(sent)) >= 0.85*expected, "%d of %.0f", len(sent), expected)
				}
			})
		}
	}
}
