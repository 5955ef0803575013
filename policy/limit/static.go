package limit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// static gives each entry the same share of every limit (static partitioning). It needs no messages, and is right only
// when the demand is even and each share is more than a request.
type static struct {
	entries   int
	customers map[string]*entryShare
}

type entryShare struct {
	bucket  bucket
	running int
}

// Admit implements Limiter.
func (s *static) Admit(customer string, t Terms, now time.Time, _ *rand.Rand) Decision {
	p := s.customers[customer]
	if p == nil {
		p = &entryShare{}
		s.customers[customer] = p
	}
	n := float64(s.entries)
	if t.Concurrent > 0 && float64(p.running) >= max(float64(t.Concurrent)/n, 1) {
		return rejected(outcome.ConcurrencyLimited, concurrencyRetryAfter)
	}
	if t.Rate > 0 {
		if wait := p.bucket.take(t.cost(), t.Rate/n, max(t.Burst/n, t.cost()), now); wait > 0 {
			return rejected(outcome.RateLimited, wait)
		}
	}
	p.running++
	return admitted(1)
}

// Done implements Limiter.
func (s *static) Done(customer string) {
	if p := s.customers[customer]; p != nil && p.running > 0 {
		p.running--
	}
}

// Observe implements Limiter; reported loads are not used.
func (s *static) Observe(string, string, Load, float64, time.Time) {}
