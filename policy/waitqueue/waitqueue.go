// Package waitqueue is the line of requests for which no engine has room.
//
// Load pattern: for some seconds requests arrive about twice as fast as memory is
// freed. An answer is worth most to its caller when it begins within the route's
// objective, and a fraction of that when it begins later. A line in order of arrival
// then serves everybody late. So a request waits in front while it can still begin in
// time, oldest first; once it can't, it is told at once when to come back, unless it
// has come back already: then nothing is lost by waiting, and it takes what those in
// front leave over.
//
// A Line is deterministic and takes the time from its caller. It is not safe for
// concurrent use.
package waitqueue

import (
	"slices"
	"time"
)

// Waiter is one waiting request.
type Waiter struct {
	// Need is the memory that it needs, in tokens.
	Need int
	// Arrived is when it came; GiveUpAt is when it gives up.
	Arrived, GiveUpAt time.Time
	// Late is set when it can't be answered within its objective any more.
	Late bool
	// Exclude are engines that must not get the request.
	Exclude []string
	// Priority is the rank of its route; zero is the most urgent.
	Priority int
}

// Queue is the waiting requests.
type Queue struct {
	waiters []*Waiter
}

// Add puts a request into the line.
func (l *Queue) Add(w *Waiter) {
	i, _ := slices.BinarySearchFunc(l.waiters, w, compare)
	l.waiters = slices.Insert(l.waiters, i, w)
}

// compare orders by lateness, then rank, then arrival.
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

// Remove takes a request out of the line and reports whether it was there.
func (l *Queue) Remove(w *Waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// Next takes out the first request that fits, or returns nil. A large request is not
// passed by for ever: those behind it may go before it only while it has waited for
// less than hold.
func (l *Queue) Next(fits func(*Waiter) bool, hold time.Duration, now time.Time) *Waiter {
	for i, w := range l.waiters {
		if fits(w) {
			l.waiters = slices.Delete(l.waiters, i, i+1)
			return w
		}
		if !w.Late && now.Sub(w.Arrived) >= hold {
			return nil
		}
	}
	return nil
}

// Ahead is the memory, in tokens, that requests need which go before w.
func (l *Queue) Ahead(w *Waiter) int {
	sum := 0
	for _, other := range l.waiters {
		if compare(other, w) <= 0 {
			sum += other.Need
		}
	}
	return sum
}

// Len is the number of waiting requests.
func (l *Queue) Len() int { return len(l.waiters) }
