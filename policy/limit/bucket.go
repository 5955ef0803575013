package limit

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

// bucket is a token bucket. The zero bucket is full.
type bucket struct {
	tokens float64
	at     time.Time
}

// take takes cost tokens and returns zero, or takes none and returns the time until there are enough.
func (b *bucket) take(cost, rate, burst float64, now time.Time) time.Duration {
	if b.at.IsZero() {
		b.tokens, b.at = burst, now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), burst)
		b.at = now
	}
	if b.tokens >= cost {
		b.tokens -= cost
		return 0
	}
	return max(bounded.Seconds((cost-b.tokens)/rate), time.Nanosecond)
}
