package admission

import (
	"hash/fnv"
	"time"
)

// Bounds of the time after which a rejected caller is to retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxJitter is the largest fraction of that time that is added as jitter.
	maxJitter = 0.25
)

// retrySchedule spaces the retries of rejected callers at the rate at which the server completes
// requests, so that they don't all retry at once.
type retrySchedule struct {
	next time.Time
}

// retryAfter returns after how long a rejected caller may retry: at least minWait, and one
// interval after the caller that was rejected before it.
func (r *retrySchedule) retryAfter(now time.Time, key Key, minWait, interval time.Duration) time.Duration {
	if r.next.Before(now) {
		r.next = now
	}
	if r.next.Sub(now) < maxRetryAfter {
		r.next = r.next.Add(interval)
	}
	base := max(minWait, r.next.Sub(now), minRetryAfter)
	base = min(base, maxRetryAfter)
	return base + time.Duration(float64(base)*maxJitter*jitter(key))
}

// jitter hashes a key to a number in [0, 1).
func jitter(key Key) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.RequestID))
	_, _ = h.Write([]byte{byte(key.Attempt)})
	return float64(h.Sum32()) / (1 << 32)
}
