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

// The load of the package's first lines: a server in need before many routers, which hear of each other by datagrams and
// by reports, and each of which gets its share of the calls of all.

// way is how a router decides whether the server gets a call.
type way interface {
	take(now time.Time) bool
	// tell returns what the others are told; nil if nothing.
	tell(all bool, now time.Time) *news
	hear(from int, n *news, now time.Time)
}

type news struct {
	all      bool
	informed bool
	used     []limit.ReportedUsage
}

// together is the way of this package.
type together struct{ *Limits }

func newTogether(router, routers int) way {
	l := New(uint64(router), start.Add(-time.Hour))
	l.SetRouters(routers)
	return together{l}
}

func (w together) take(now time.Time) bool { return w.Take("a", now) }

func (w together) tell(all bool, now time.Time) *news {
	if !all && !w.Usage().UpdateDue(now) {
		return nil
	}
	told, informed := w.Usage().Report(!all, now)
	return &news{all: all, informed: informed, used: told}
}

func (w together) hear(from int, n *news, now time.Time) {
	w.Usage().Receive(fmt.Sprint(from), 1, n.informed, n.all, n.used, now)
}

// atOnce is the same without turns.
func newAtOnce(router, routers int) way {
	w := newTogether(router, routers).(together)
	w.SetRouters(1)
	return w
}

// parts gives each router its even part of the limit, and one request more after a pause.
type parts struct{ *Limits }

func newParts(router, routers int) way {
	l := New(uint64(router), start.Add(-time.Hour))
	return parts{l}
}
func (w parts) take(now time.Time) bool  { return w.Take("a", now) }
func (parts) tell(bool, time.Time) *news { return nil }
func (parts) hear(int, *news, time.Time) {}

const (
	// simTold is the least time from a send to its being known at another router, of which each needs up to simSlow more.
	simTold = 4 * time.Millisecond
	simSlow = 20 * time.Millisecond
	simLoss = 0.01
	simDay  = 20 * time.Second
	// The users' rule: in some window no more than overage times what the limit allows, and some more. It binds from
	// contact on.
	window  = 4 * time.Second
	overage = 1.5
	more    = 5
	contact = 3 * time.Second
)

// message is news on its way.
type message struct {
	at       time.Time
	from, to int
	news     *news
}

type mail []message

func (m mail) Len() int           { return len(m) }
func (m mail) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m mail) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *mail) Push(x any)        { *m = append(*m, x.(message)) }
func (m *mail) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// simulate returns when the server got requests, of calls that come that often a second at all routers together.
func simulate(newWay func(router, routers int) way, routers int, limit, calls float64) []time.Time {
	rng := rand.New(rand.NewPCG(uint64(routers), uint64(10*limit)))
	ways := make([]way, routers)
	for i := range ways {
		ways[i] = newWay(i, routers)
		st := named(limit, start)
		if p, ok := ways[i].(parts); ok {
			st.PerSecond /= float64(routers)
			p.Update("a", st, start)
		} else {
			ways[i].(together).Update("a", st, start)
		}
	}
	pace := 200 * time.Millisecond * time.Duration(max(routers, 8)) / 8
	var sent []time.Time
	var box mail
	for now := start; now.Before(at(simDay)); now = now.Add(time.Millisecond) {
		for len(box) > 0 && !box[0].at.After(now) {
			m := heap.Pop(&box).(message)
			ways[m.to].hear(m.from, m.news, now)
		}
		for i, w := range ways {
			if routers > 1 && rng.Float64() < time.Millisecond.Seconds()/pace.Seconds() {
				to := rng.IntN(routers)
				if n := w.tell(true, now); n != nil && to != i {
					heap.Push(&box, message{now.Add(simTold), i, to, n})
				}
			}
		}
		for range arrivals(rng, calls/1000) {
			i := rng.IntN(routers)
			if !ways[i].take(now) {
				continue
			}
			sent = append(sent, now)
			n := ways[i].tell(false, now)
			for to := range ways {
				if n != nil && to != i && rng.Float64() >= simLoss {
					heap.Push(&box, message{now.Add(simTold + time.Duration(rng.Int64N(int64(simSlow)))), i, to, n})
				}
			}
		}
	}
	return sent
}

// arrivals is how many calls come in a millisecond.
func arrivals(rng *rand.Rand, mean float64) int {
	n := int(mean)
	if rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// worst is the most that came in a window, from contact on.
func worst(sent []time.Time) int {
	most := 0
	for i, from := range sent {
		if from.Before(at(contact)) {
			continue
		}
		n := 0
		for _, s := range sent[i:] {
			if s.Sub(from) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestManyRoutersKeepToOneLimit: at few and at hundreds of routers no window has more than the users allow, and nearly all
// that the server takes is used.
func TestManyRoutersKeepToOneLimit(t *testing.T) {
	for _, c := range []struct {
		routers int
		calls   float64
	}{{1, 20}, {5, 20}, {30, 150}, {68, 400}, {300, 4000}} {
		for _, limit := range []float64{0.5, 1, 3.2, 20} {
			t.Run(fmt.Sprint(c.routers, " routers, ", limit), func(t *testing.T) {
				allowed := int(limit*window.Seconds()*overage + more)
				sent := simulate(newTogether, c.routers, limit, c.calls)
				owed := min(limit, c.calls) * simDay.Seconds()
				first, even := simulate(newAtOnce, c.routers, limit, c.calls), simulate(newParts, c.routers, limit, c.calls)
				t.Logf("worst window of %d and requests of %.0f: %d, %d; without turns %d, %d; by parts %d, %d", allowed, owed,
					worst(sent), len(sent), worst(first), len(first), worst(even), len(even))
				assert.Check(t, worst(sent) <= allowed)
				if limit < c.calls/2 {
					assert.Check(t, float64(len(sent)) >= 0.85*owed, "%d of %.0f", len(sent), owed)
				}
			})
		}
	}
}
