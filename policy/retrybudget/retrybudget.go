// Package retrybudget bounds how many requests are retried at a second server.
//
// Load pattern: half of a service's answers are lost for some seconds while load is doubled.
// Retrying each request then doubles the load once more, when the servers have the least
// capacity for it (a retry storm). So retries are limited to a share of the requests of a
// sliding window, over all routers together. This needs no shared store: each router applies
// the share to its own requests, and has its part of the fixed slack.
//
// A process that has just started does not know the recent retries of its previous incarnation,
// or of the process that it replaces. Its part of the slack grows over one window.
//
// A Budget takes the time from its caller and is not safe for concurrent use.
package retrybudget

import "time"

// Limits bounds the retries of all routers together.
type Limits struct {
	// Ratio is the share of the requests within Window that may be retried, in addition to Slack
	// retries.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// buckets is the number of parts of a window.
const buckets = 20

// safetyFactor is the part of the bounds that is used: windows slide, and requests are
// counted where they arrive, so that the edges of two windows differ by a bucket.
const safetyFactor = 0.8

// Budget counts the requests and retries of one service at one router.
type Budget struct {
	// startedAt is when the first request was counted.
	startedAt         time.Time
	requests, retries [buckets]float64
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// AddRequest counts a request for the service.
func (b *Budget) AddRequest(l Limits, now time.Time) {
	b.advance(l, now)
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.requests[b.newest%buckets]++
}

// TryRetry counts a retry if it is within the bounds, and reports whether it is. The slack of
// one router is 1/routers of the whole.
func (b *Budget) TryRetry(l Limits, routers int, now time.Time) bool {
	b.advance(l, now)
	allowed := safetyFactor * (l.Ratio*sum(b.requests) + b.slackFraction(l, now)*l.Slack/float64(max(routers, 1)))
	if sum(b.retries)+1 > allowed {
		return false
	}
	b.retries[b.newest%buckets]++
	return true
}

// slackFraction is the fraction of the slack that is available, in [0, 1].
func (b *Budget) slackFraction(l Limits, now time.Time) float64 {
	if b.startedAt.IsZero() || l.Window <= 0 {
		return 0
	}
	return min(now.Sub(b.startedAt).Seconds()/l.Window.Seconds(), 1)
}

func (b *Budget) advance(l Limits, now time.Time) {
	width := l.Window / buckets
	if width <= 0 {
		width = time.Second / 2
	}
	n := now.UnixNano() / int64(width)
	for i := max(b.newest+1, n-buckets+1); i <= n; i++ {
		b.requests[i%buckets], b.retries[i%buckets] = 0, 0
	}
	b.newest = max(b.newest, n)
}

func sum(v [buckets]float64) float64 {
	var s float64
	for _, x := range v {
		s += x
	}
	return s
}
