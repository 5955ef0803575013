// Package waitqueue queues requests for which no engine has free memory.
//
// Load pattern: for some seconds requests arrive about twice as fast as memory is freed. An
// answer is worth most to its caller when it begins within the route's latency objective, and
// a fraction of that when it begins later. A FIFO queue then serves every request late. So a
// request waits at the front, oldest first, while it can still begin in time. Once it can't,
// it is rejected at once with a delay for its retry, unless it is a retry already: then
// waiting loses nothing, and it gets the memory that the requests ahead of it leave over.
//
// Where the configuration has customers, requests of the same urgency are ordered by what their customers hold: see
// Shares.
//
// A Queue is deterministic and takes the time from its caller. It is not safe for concurrent
// use.
package waitqueue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Waiter is a queued request.
type Waiter struct {
	// Need is the memory that the request needs, in tokens.
	Need int
	// Arrived is when the request arrived, GiveUpAt when it stops waiting.
	Arrived, GiveUpAt time.Time
	// Late is set when the request can't be answered within its latency objective any more.
	Late bool
	// Exclude lists the engines that must not get the request.
	Exclude []string
	// Priority is that of its route; zero is the most urgent.
	Priority int
	// Version is the software version that the engine must have; empty for any.
	Version string
	// Customer is the customer that the request belongs to; empty if the order ignores customers.
	Customer string
}

// Shares returns what a customer holds of the memory for which requests wait, in tokens, and its weight, which is
// positive.
type Shares interface {
	Holding(customer string) (tokens, weight float64)
}

// Queue holds the waiting requests in the order in which they are served: those within their latency objective before
// late ones, then by priority, then by what the customer holds relative to its weight, and then by arrival. A request
// that is passed over counts as held for the order of its customer's later ones, so that customers alternate. The zero
// value is empty and has no Shares.
type Queue struct {
	// Shares is nil if customers don't matter; the order within a priority is then that of arrival.
	Shares Shares
	// classes are in the order in which they are served.
	classes []*class
	length  int
	// reordered counts the requests served before one of the same class that arrived earlier.
	reordered int
	// heads is scratch space of walk.
	heads headHeap
	// withheld are the versions that Next keeps for requests that were passed over.
	withheld []string
}

// class holds the requests of the same lateness and priority, by customer.
type class struct {
	late     bool
	priority int
	flows    []*flow
}

// flow holds the requests of one customer in one class, by arrival.
type flow struct {
	customer string
	waiters  []*Waiter
}

// compareClass orders requests within their latency objective before late ones, then by priority.
func compareClass(c *class, w *Waiter) int {
	switch {
	case c.late == w.Late:
		return cmp.Compare(c.priority, w.Priority)
	case w.Late:
		return -1
	default:
		return 1
	}
}

func compareFlow(f *flow, w *Waiter) int { return strings.Compare(f.customer, w.Customer) }

func compareArrival(a, b *Waiter) int { return a.Arrived.Compare(b.Arrived) }

// Add queues a request.
func (q *Queue) Add(w *Waiter) {
	i, ok := slices.BinarySearchFunc(q.classes, w, compareClass)
	if !ok {
		q.classes = slices.Insert(q.classes, i, &class{late: w.Late, priority: w.Priority})
	}
	c := q.classes[i]
	j, ok := slices.BinarySearchFunc(c.flows, w, compareFlow)
	if !ok {
		c.flows = slices.Insert(c.flows, j, &flow{customer: w.Customer})
	}
	f := c.flows[j]
	k, _ := slices.BinarySearchFunc(f.waiters, w, compareArrival)
	f.waiters = slices.Insert(f.waiters, k, w)
	q.length++
}

// Remove takes a request out of the queue and reports whether it was queued.
func (q *Queue) Remove(w *Waiter) bool {
	i, ok := slices.BinarySearchFunc(q.classes, w, compareClass)
	if !ok {
		return false
	}
	c := q.classes[i]
	j, ok := slices.BinarySearchFunc(c.flows, w, compareFlow)
	if !ok {
		return false
	}
	f := c.flows[j]
	k := slices.Index(f.waiters, w)
	if k < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, k, k+1)
	q.length--
	if len(f.waiters) == 0 {
		c.flows = slices.Delete(c.flows, j, j+1)
	}
	if len(c.flows) == 0 {
		q.classes = slices.Delete(q.classes, i, i+1)
	}
	return true
}

// Next removes and returns the first request that fits, or returns nil. To keep a large
// request from starving, smaller ones may bypass it only until it has waited for maxBypass. From
// then on one that needs an engine of a certain version keeps only those for itself; see Withheld.
func (q *Queue) Next(fits func(*Waiter) bool, maxBypass time.Duration, now time.Time) *Waiter {
	var found *Waiter
	blocked := false
	q.withheld = q.withheld[:0]
	for _, c := range q.classes {
		q.walk(c, func(w *Waiter) bool {
			if fits(w) {
				found = w
				return false
			}
			waited := !w.Late && now.Sub(w.Arrived) >= maxBypass
			if waited && w.Version != "" {
				q.withheld = append(q.withheld, w.Version)
				return true
			}
			blocked = waited
			return !blocked
		})
		if found != nil || blocked {
			break
		}
	}
	if found == nil {
		return nil
	}
	if q.heads.arrivedBefore(found) {
		q.reordered++
	}
	q.Remove(found)
	return found
}

// Withheld returns the versions whose engines the request that Next passes to fits must not get, since one before it that
// needs them has waited for too long. It is valid until fits returns.
func (q *Queue) Withheld() []string { return q.withheld }

// Ahead returns the memory, in tokens, needed by the requests that are served before w, in the order that holds if no
// run ends meanwhile.
func (q *Queue) Ahead(w *Waiter) int {
	sum, own := 0, q.position(w)
	for _, c := range q.classes {
		order := compareClass(c, w)
		if order > 0 {
			break
		}
		for _, f := range c.flows {
			sum += q.aheadIn(f, &own, order == 0)
		}
	}
	return sum
}

// aheadIn returns the memory needed by the requests of a flow that are served before own; sameClass is set if the flow
// is in the class of own.
func (q *Queue) aheadIn(f *flow, own *head, sameClass bool) int {
	w, sum := own.waiter, 0
	if !sameClass {
		for _, other := range f.waiters {
			sum += other.Need
		}
		return sum
	}
	if f.customer == w.Customer {
		return f.needUntil(w)
	}
	for h := q.headOf(f); headLess(&h, own); {
		sum += h.waiter.Need
		if !h.advance(q.Shares != nil) {
			break
		}
	}
	return sum
}

// position returns the place of a request in its class, whether or not it is queued.
func (q *Queue) position(w *Waiter) head {
	h := head{waiter: w, customer: w.Customer}
	if q.Shares == nil {
		return h
	}
	tokens, weight := q.Shares.Holding(w.Customer)
	i, ok := slices.BinarySearchFunc(q.classes, w, compareClass)
	if ok {
		if j, ok := slices.BinarySearchFunc(q.classes[i].flows, w, compareFlow); ok {
			f := q.classes[i].flows[j]
			tokens += float64(f.needUntil(w))
			if slices.Contains(f.waiters, w) {
				tokens -= float64(w.Need)
			}
		}
	}
	h.held = tokens / weight
	return h
}

// needUntil returns the memory needed by the requests of a flow that arrived no later than w.
func (f *flow) needUntil(w *Waiter) int {
	sum := 0
	for _, other := range f.waiters {
		if compareArrival(other, w) > 0 {
			break
		}
		sum += other.Need
	}
	return sum
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.length }

// Reordered returns how many requests were served before one of the same class that had arrived earlier and would have
// been first without Shares.
func (q *Queue) Reordered() int { return q.reordered }
