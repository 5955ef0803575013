// Package retrybudget bounds how many requests are sent to a second server.
//
// Load pattern: half of a service's answers are lost for some seconds while load is
// doubled. Sending each request again then doubles the load once more, just when the
// servers can bear it least. So repeats are kept to a share of the requests of a
// sliding window, over all routers together. No store is on the path: each router
// keeps to the share of its own requests, and to its part of the fixed slack.
//
// A process that has just started does not know what it, or the one that it replaces,
// sent again a moment ago. Its part of the slack grows over one window.
//
// A Budget takes the time from its caller and is not safe for concurrent use.
package retrybudget

import "time"

// Limits are the bounds over all routers.
type Limits struct {
	// Ratio is the share of the requests of Window that may be sent again, besides Slack.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// buckets is the number of parts of a window.
const buckets = 20

// safety is the part of the bounds that is used: windows slide, and requests are
// counted where they arrive, so that the edges of two views differ by a bucket.
const safety = 0.8

// Budget counts the requests and repeats of one service at one router.
type Budget struct {
	// began is when the first request was counted.
	began             time.Time
	requests, repeats [buckets]float64
	// first is the number of the newest bucket, counted from the zero time.
	newest int64
}

// AddRequest counts a request for the service.
func (b *Budget) AddRequest(l Limits, now time.Time) {
	b.advance(l, now)
	if b.began.IsZero() {
		b.began = now
	}
	b.requests[b.newest%buckets]++
}

// TryRetry counts a repeat if it is within the bounds, of which a router has the part
// 1/routers, and reports whether it is.
func (b *Budget) TryRetry(l Limits, routers int, now time.Time) bool {
	b.advance(l, now)
	allowed := safety * (l.Ratio*sum(b.requests) + b.grown(l, now)*l.Slack/float64(max(routers, 1)))
	if sum(b.repeats)+1 > allowed {
		return false
	}
	b.repeats[b.newest%buckets]++
	return true
}

// grown is the part of the slack that is there, in [0, 1].
func (b *Budget) grown(l Limits, now time.Time) float64 {
	if b.began.IsZero() || l.Window <= 0 {
		return 0
	}
	return min(now.Sub(b.began).Seconds()/l.Window.Seconds(), 1)
}

func (b *Budget) advance(l Limits, now time.Time) {
	width := l.Window / buckets
	if width <= 0 {
		width = time.Second / 2
	}
	n := now.UnixNano() / int64(width)
	for i := max(b.newest+1, n-buckets+1); i <= n; i++ {
		b.requests[i%buckets], b.repeats[i%buckets] = 0, 0
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
