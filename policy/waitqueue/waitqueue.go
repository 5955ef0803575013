// Package waitqueue queues requests for which no engine has free memory.
//
// Load pattern: for some seconds requests arrive about twice as fast as memory is freed. An
// answer is worth most to its caller when it begins within the route's latency objective, and
// a fraction of that when it begins later. A FIFO queue then serves every request late. So a
// request waits at the front, oldest first, while it can still begin in time. Once it can't,
// it is rejected at once with a delay for its retry, unless it is a retry already: then
// waiting loses nothing, and it gets the memory that the requests ahead of it leave over.
//
// A Queue is deterministic and takes the time from its caller. It is not safe for concurrent
// use.
package waitqueue

import (
	"slices"
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
}

// Queue holds the waiting requests in the order in which they are served.
type Queue struct {
	waiters []*Waiter
}

// Add queues a request.
func (q *Queue) Add(w *Waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, compare)
	q.waiters = slices.Insert(q.waiters, i, w)
}

// compare orders requests within their latency objective before late ones, then by priority,
// then by arrival.
func compare(a, b *Waiter) int {
	switch {
	case a.Late != b.Late:
		if b.Late {
			return -1
		}
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	default:
		return a.Arrived.Compare(b.Arrived)
	}
}

// Remove takes a request out of the queue and reports whether it was queued.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Next removes and returns the first request that fits, or returns nil. To keep a large
// request from starving, smaller ones may bypass it only until it has waited for maxBypass.
func (q *Queue) Next(fits func(*Waiter) bool, maxBypass time.Duration, now time.Time) *Waiter {
	for i, w := range q.waiters {
		if fits(w) {
			q.waiters = slices.Delete(q.waiters, i, i+1)
			return w
		}
		if !w.Late && now.Sub(w.Arrived) >= maxBypass {
			return nil
		}
	}
	return nil
}

// Ahead returns the memory, in tokens, needed by the requests that are served before w.
func (q *Queue) Ahead(w *Waiter) int {
	sum := 0
	for _, other := range q.waiters {
		if compare(other, w) <= 0 {
			sum += other.Need
		}
	}
	return sum
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiters) }
