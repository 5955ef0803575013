package retry

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

// Budget configures a retry budget, which is a token bucket.
type Budget struct {
	// Ratio is the amount that one success adds; it is the share of retries in the long run.
	Ratio float64
	// PerSecond is what every second adds, so that a customer with few requests can retry as
	// well.
	PerSecond float64
	// Burst is the capacity of a budget and its initial level.
	Burst float64
	// HalfLife is the time in which the excess over Burst/2 halves, so that credit from an hour
	// without failures doesn't pay for a retry storm; zero means never.
	HalfLife time.Duration
}

// bucket is the state of one budget. The zero bucket is full.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

func (b *bucket) credit(cfg Budget, now time.Time) {
	b.advance(cfg, now)
	b.tokens = min(b.tokens+cfg.Ratio, cfg.Burst)
}

// waitFor returns how long it takes until PerSecond alone has made up the cost; zero means
// that the budget covers it now.
func (b *bucket) waitFor(cfg Budget, cost float64, now time.Time) time.Duration {
	b.advance(cfg, now)
	missing := cost - b.tokens
	if missing <= 0 {
		return 0
	}
	if cfg.PerSecond <= 0 {
		return time.Second
	}
	return max(bounded.Seconds(missing/cfg.PerSecond), time.Millisecond)
}

func (b *bucket) advance(cfg Budget, now time.Time) {
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = cfg.Burst, now
		return
	}
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.tokens = min(decayed(cfg, b.tokens, elapsed)+cfg.PerSecond*elapsed.Seconds(), cfg.Burst)
}

func decayed(cfg Budget, tokens float64, elapsed time.Duration) float64 {
	excess := tokens - cfg.Burst/2
	if excess <= 0 || cfg.HalfLife <= 0 {
		return tokens
	}
	return tokens - excess*(1-math.Exp2(-float64(elapsed)/float64(cfg.HalfLife)))
}
