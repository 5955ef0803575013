package limit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// static gives each entry the same part of every limit. It needs no messages,
// and is right only when the demand is even and each part is more than a request.
type static struct {
	entries   int
	customers map[string]*part
}

type part struct {
	bucket  bucket
	running int
}

// Admit implements Limiter.
func (s *static) Admit(customer string, t Terms, now time.Time, _ *rand.Rand) Decision {
	p := s.customers[customer]
	if p == nil {
		p = &part{}
		s.customers[customer] = p
	}
	n := float64(s.entries)
	if t.Concurrent > 0 && float64(p.running) >= max(float64(t.Concurrent)/n, 1) {
		return refused(outcome.ConcurrencyLimited, concurrencyRetryAfter)
	}
	if t.Rate > 0 {
		if wait := p.bucket.take(t.cost(), t.Rate/n, max(t.Burst/n, t.cost()), now); wait > 0 {
			return refused(outcome.RateLimited, wait)
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

// Observe implements Limiter; echoes play no part.
func (s *static) Observe(string, string, Load, float64, time.Time) {}
