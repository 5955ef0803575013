package platform

import (
	"sync"
	"time"
)

// maxBurstTime is the time for which unused tokens of a limit accumulate; the burst
// is at least one token.
const maxBurstTime = 100 * time.Millisecond

// limiter is a token bucket with a bounded queue. Calls are admitted in order of
// arrival. A nil limiter admits all calls.
type limiter struct {
	mu      sync.Mutex
	perSec  float64
	maxWait time.Duration
	// next is the time at which all tokens reserved so far have accrued.
	next time.Time
}

// newLimiter returns a limiter, or nil if the rate is zero.
func newLimiter(perSec float64, maxWait time.Duration) *limiter {
	if perSec <= 0 {
		return nil
	}
	return &limiter{perSec: perSec, maxWait: maxWait}
}

// reserve reserves n tokens at the time now. It returns how long to wait before
// continuing; if that exceeds maxWait, it reserves nothing and returns false.
func (l *limiter) reserve(now time.Time, n int) (time.Duration, bool) {
	if l == nil {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.next
	oldest := now.Add(-max(maxBurstTime, l.cost(1)))
	if next.Before(oldest) {
		next = oldest
	}
	next = next.Add(l.cost(n))
	wait := next.Sub(now)
	if wait > l.maxWait {
		return 0, false
	}
	l.next = next
	return max(wait, 0), true
}

// cost is the time in which n tokens accrue.
func (l *limiter) cost(n int) time.Duration {
	return time.Duration(float64(n) / l.perSec * float64(time.Second))
}
