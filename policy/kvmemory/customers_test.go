package kvmemory_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/policy/fairshare"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// requestQueue is the queue of one router.
type requestQueue interface {
	Add(w *waitqueue.Waiter)
	Remove(w *waitqueue.Waiter) bool
	Next(fits func(*waitqueue.Waiter) bool, maxBypass time.Duration, now time.Time) *waitqueue.Waiter
	Ahead(w *waitqueue.Waiter) int
	Len() int
}

// customers simulates what routers know of the memory that customers hold; changes are reported within a tick. A nil
// customers knows nothing.
type customers struct {
	pools []*customershare.Pool
	// yielding is set if requests yield to those of other routers.
	yielding bool
	// silent are routers that report nothing, partitioned those that also receive nothing.
	silent, partitioned func(router int, now time.Time) bool
	// delay is the time until reports arrive, besides a tick; earlier are the states on their way.
	delay   time.Duration
	earlier map[time.Time][]reportedState
	// runEnded is called when a run ends.
	runEnded func(r *simRequest)
}

func (c *customers) hold(r *simRequest, sign int) {
	if c == nil {
		return
	}
	c.pools[r.router].Add(r.customer, sign*r.waiter.Need)
	if sign < 0 && c.runEnded != nil {
		c.runEnded(r)
	}
}

func (c *customers) wait(r *simRequest, sign int) {
	if c != nil && !r.waiter.Late {
		c.pools[r.router].AddWaiting(customershare.Waiting{Customer: r.customer, Priority: r.priority}, sign*r.waiter.Need)
	}
}

func (c *customers) yields(router int, w *waitqueue.Waiter) bool {
	return c != nil && c.yielding && c.pools[router].Yields(w.Customer, w.Priority)
}

// reportedState is what a router reports.
type reportedState struct {
	held    map[string]int
	waiting map[customershare.Waiting]int
}

// delayed returns the states that arrive now, after recording those on their way.
func (c *customers) delayed(states []reportedState, now time.Time) []reportedState {
	if c.delay == 0 {
		return states
	}
	if c.earlier == nil {
		c.earlier = map[time.Time][]reportedState{}
	}
	for i, s := range states {
		states[i] = reportedState{maps.Clone(s.held), maps.Clone(s.waiting)}
	}
	c.earlier[now.Add(c.delay)] = states
	arrived := c.earlier[now]
	delete(c.earlier, now)
	if arrived == nil {
		arrived = make([]reportedState, len(states))
	}
	return arrived
}

// publish gives each router the sums of what the others hold.
func (c *customers) publish(now time.Time) {
	if c == nil {
		return
	}
	lost := func(i int) bool { return c.partitioned != nil && c.partitioned(i, now) }
	states := make([]reportedState, len(c.pools))
	for i, p := range c.pools {
		if !lost(i) && (c.silent == nil || !c.silent(i, now)) {
			states[i].held, states[i].waiting = p.Own()
		}
	}
	states = c.delayed(states, now)
	for i, p := range c.pools {
		held, waiting := map[string]int{}, map[customershare.Waiting]int{}
		for j := range states {
			if j == i || lost(i) {
				continue
			}
			for k, n := range states[j].held {
				held[k] += n
			}
			for k, n := range states[j].waiting {
				waiting[k] += n
			}
		}
		p.SetPeers(held, waiting)
	}
}

// surge is a load of competing customers: for six seconds, beside a burst of all, one of them sends factor times its
// usual requests.
type surge struct {
	deployment
	// shares are the customers' shares of the usual requests, surging is the index of the one that surges.
	shares  []float64
	surging int
	factor  float64
	// alone is set if only the surging customer sends requests.
	alone bool
}

const (
	// Requests arrive from loadFrom on, three seconds before the surge.
	loadFrom              = 14 * time.Second
	surgeFrom, surgeUntil = 17 * time.Second, 23 * time.Second
	// Requests that arrive between surgeFrom and affectedUntil are compared.
	affectedUntil = 27 * time.Second
)

// sixteenCustomers returns the load of 16 customers, three of them large, in which the given one surges.
func sixteenCustomers(seed uint64, surging int, factor float64) surge {
	shares := []float64{0.25, 0.15, 0.10}
	for range 13 {
		shares = append(shares, 0.5/13)
	}
	return surge{
		deployment: deployment{
			routers: 27, engines: 36, memory: 48_921, slots: 48, burst: 1.7, seed: seed,
			kinds: []requestKind{{"draft", 29.2, func(r *rand.Rand) float64 { return 200 + plainPrompt(r) }}},
		},
		shares: shares, surging: surging, factor: factor,
	}
}

func customerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

// requests draws the usual requests and those of the surge, which don't change the usual ones.
func (l *surge) requests() []*simRequest {
	rng := rand.New(rand.NewPCG(l.seed, 11))
	usual := l.deployment.requests(rand.New(rand.NewPCG(l.seed, 7)))
	for _, r := range usual {
		u, i := rng.Float64(), 0
		for ; i < len(l.shares)-1 && u >= l.shares[i]; i++ {
			u -= l.shares[i]
		}
		r.customer, r.priority = customerName(i), rng.IntN(3)
	}
	extra := l.deployment
	extra.kinds = []requestKind{l.kinds[0]}
	extra.kinds[0].perSecond *= l.shares[l.surging] * (l.factor - 1)
	for _, r := range extra.requests(rand.New(rand.NewPCG(l.seed, 13))) {
		if at := r.firstArrival.Sub(start); at >= surgeFrom && at < surgeUntil {
			r.customer, r.priority, r.number = customerName(l.surging), rng.IntN(3), len(usual)
			usual = append(usual, r)
		}
	}
	usual = slices.DeleteFunc(usual, func(r *simRequest) bool {
		at := r.firstArrival.Sub(start)
		return at < loadFrom || at >= affectedUntil || l.alone && r.customer != customerName(l.surging)
	})
	slices.SortStableFunc(usual, func(a, b *simRequest) int { return a.firstArrival.Compare(b.firstArrival) })
	return usual
}

// fairQueue serves requests by start-time fair queuing over customers, within urgency classes.
type fairQueue struct {
	classes [6]*fairshare.Queue[*waitqueue.Waiter]
	weights map[string]float64
	class   map[*waitqueue.Waiter]int
}

func newFairQueue(weights map[string]float64) *fairQueue {
	q := &fairQueue{weights: weights, class: map[*waitqueue.Waiter]int{}}
	for i := range q.classes {
		q.classes[i] = fairshare.New[*waitqueue.Waiter](fairshare.Config{})
	}
	return q
}

func classOf(w *waitqueue.Waiter) int {
	if w.Late {
		return 3 + w.Priority
	}
	return w.Priority
}

func (q *fairQueue) Add(w *waitqueue.Waiter) {
	q.class[w] = classOf(w)
	q.classes[classOf(w)].Push(w.Arrived, fairshare.Item[*waitqueue.Waiter]{
		Key: w, Customer: w.Customer, Weight: q.weights[w.Customer] / float64(len(q.weights)), Cost: time.Duration(w.Need) * time.Microsecond,
	})
}

func (q *fairQueue) Remove(w *waitqueue.Waiter) bool { return q.classes[classOf(w)].Remove(w) }

func (q *fairQueue) Next(fits func(*waitqueue.Waiter) bool, maxBypass time.Duration, now time.Time) *waitqueue.Waiter {
	for _, class := range q.classes {
		var found *waitqueue.Waiter
		blocked := false
		class.Walk(class.Len(), func(it fairshare.Item[*waitqueue.Waiter]) bool {
			if fits(it.Key) {
				found = it.Key
				return false
			}
			blocked = !it.Key.Late && now.Sub(it.Key.Arrived) >= maxBypass
			return !blocked
		})
		if found != nil {
			class.Take(found)
			return found
		}
		if blocked {
			return nil
		}
	}
	return nil
}

func (q *fairQueue) Ahead(*waitqueue.Waiter) int { return 0 }

func (q *fairQueue) Len() int {
	sum := 0
	for _, class := range q.classes {
		sum += class.Len()
	}
	return sum
}
