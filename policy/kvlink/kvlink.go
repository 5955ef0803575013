// Package kvlink schedules KV cache transfers into one receiving server. The receiver grants
// each transfer an interval of its inbound link at the link's full rate; intervals never overlap,
// so the link is never over-subscribed.
//
// An interval is first planned for when the KV cache is expected to be ready, and begun when it is
// ready. Begun transfers take precedence over planned ones: a transfer that is ready waits only
// for those that have begun, and planned intervals in its way are postponed.
//
// Transfers in sequence finish earlier on average than the same transfers in parallel, and none
// finishes later; besides, a KV cache can't be used before its last byte has arrived. A Link is
// deterministic and takes the time from its caller. It is not safe for concurrent use.
package kvlink

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

const (
	// rateGain is the weight of a new measurement in the moving average of the rate.
	rateGain = 0.2
	// minRateFactor and maxRateFactor bound the measured rate, relative to the nominal one.
	minRateFactor = 0.05
	maxRateFactor = 1.5
	// minMeasuredTime is the minimum nominal duration of a transfer from which the rate is
	// measured; in shorter ones the overhead around the transfer distorts the result.
	minMeasuredTime = 20 * time.Millisecond
)

// Grant is an interval of the link that is granted to one transfer.
type Grant struct {
	Start    time.Time
	Duration time.Duration
}

// End returns the end of the interval.
func (g Grant) End() time.Time {
	return g.Start.Add(g.Duration)
}

type booking[K comparable] struct {
	key   K
	begun bool
	Grant
}

// Link is the inbound link of one server. It has one booking for each transfer that is granted
// and has not ended: about as many as the server has decode slots.
type Link[K comparable] struct {
	nominal  float64
	rate     float64
	bookings []booking[K] // sorted by start, never overlapping
}

// New returns a link with the given rate; 0 means unlimited.
func New[K comparable](bytesPerSecond float64) *Link[K] {
	return &Link[K]{nominal: bytesPerSecond, rate: bytesPerSecond}
}

// Quote returns the interval that Plan would grant.
func (l *Link[K]) Quote(now, ready time.Time, bytes int64) Grant {
	g, _ := l.firstFree(later(now, ready), l.TransferTime(bytes))
	return g
}

// Plan grants key the first free interval that starts at ready or later. It replaces the interval
// that key had.
func (l *Link[K]) Plan(now time.Time, key K, ready time.Time, bytes int64) Grant {
	l.Release(key)
	l.prune(now)
	return l.book(booking[K]{key: key, Grant: Grant{later(now, ready), l.TransferTime(bytes)}})
}

// Begin grants key, whose KV cache is ready, the first interval that is free of begun transfers,
// and postpones planned ones. It replaces the interval that key had.
func (l *Link[K]) Begin(now time.Time, key K, bytes int64) Grant {
	l.Release(key)
	l.prune(now)
	plans := slices.DeleteFunc(slices.Clone(l.bookings), func(b booking[K]) bool { return b.begun })
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking[K]) bool { return !b.begun })
	g := l.book(booking[K]{key, true, Grant{now, l.TransferTime(bytes)}})
	for _, b := range plans {
		l.book(b)
	}
	return g
}

// book adds b at the first free interval that starts at b.Start or later.
func (l *Link[K]) book(b booking[K]) Grant {
	g, position := l.firstFree(b.Start, b.Duration)
	if g.Duration > 0 {
		b.Grant = g
		l.bookings = slices.Insert(l.bookings, position, b)
	}
	return g
}

// Release frees the interval of key. It reports whether there was one.
func (l *Link[K]) Release(key K) bool {
	i := slices.IndexFunc(l.bookings, func(b booking[K]) bool { return b.key == key })
	if i < 0 {
		return false
	}
	l.bookings = slices.Delete(l.bookings, i, i+1)
	return true
}

// Backlog returns the total time of the link that is granted from now on.
func (l *Link[K]) Backlog(now time.Time) time.Duration {
	var sum time.Duration
	for _, b := range l.bookings {
		if b.End().After(now) {
			sum += min(b.Duration, b.End().Sub(now))
		}
	}
	return sum
}

// Len returns the number of granted intervals.
func (l *Link[K]) Len() int {
	return len(l.bookings)
}

// Observe updates the rate with the measured time of a transfer that had the link to itself.
func (l *Link[K]) Observe(bytes int64, took time.Duration) {
	if l.nominal == 0 || took <= 0 || float64(bytes)/l.nominal < minMeasuredTime.Seconds() {
		return
	}
	measured := float64(bytes) / took.Seconds()
	rate := (1-rateGain)*l.rate + rateGain*measured
	l.rate = min(max(rate, minRateFactor*l.nominal), maxRateFactor*l.nominal)
}

// TransferTime returns the duration of a transfer at the current rate.
func (l *Link[K]) TransferTime(bytes int64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return bounded.Seconds(float64(bytes) / l.rate)
}

// firstFree returns the first free interval and its position among the bookings.
// A transfer of no duration needs no interval.
func (l *Link[K]) firstFree(earliest time.Time, duration time.Duration) (Grant, int) {
	g := Grant{Start: earliest, Duration: duration}
	if g.Duration == 0 {
		return g, 0
	}
	for i, b := range l.bookings {
		if !b.End().After(g.Start) {
			continue
		}
		if !g.End().After(b.Start) {
			return g, i
		}
		g.Start = b.End()
	}
	return g, len(l.bookings)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prune removes the intervals that have ended.
func (l *Link[K]) prune(now time.Time) {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking[K]) bool { return !b.End().After(now) })
}
