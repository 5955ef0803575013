package limit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// demand admits each request with the probability rate/demand (global random drop), where demand is that of all entries
// as far as sidecars have reported it. The probability is the same at all entries, so a shift of demand between them
// changes nothing. A token bucket with the whole limit bounds each entry by itself.
type demand struct {
	customers map[string]*customerState
}

// customerState is the local state of one customer at one entry.
type customerState struct {
	// offered counts requests, and sent those admitted, by weight and scale.
	offered, sent rateMeter
	bucket        bucket
	running       int
	// loads holds the latest load reported by each sidecar.
	loads map[string]receivedLoad
}

type receivedLoad struct {
	Load
	scale float64
	at    time.Time
	// sent is the rate of the entry's own requests at that time.
	sent float64
}

// loadTTL is how long a reported load is valid. Sidecars repeat the load of a customer near its limit well within it.
const loadTTL = 15 * time.Second

// negligibleDemandShare is the demand of other entries, relative to the entry's own, below which the bucket by itself
// is exact.
const negligibleDemandShare = 0.02

// Admit implements Limiter.
func (d *demand) Admit(customer string, t Terms, now time.Time, rng *rand.Rand) Decision {
	c := d.state(customer)
	others := d.otherEntries(c, now)
	if t.Concurrent > 0 && float64(c.running)+float64(others.Running) >= float64(t.Concurrent) {
		return rejected(outcome.ConcurrencyLimited, concurrencyRetryAfter)
	}
	weight := 1.0
	if t.Rate > 0 {
		own := c.offered.rate(now)
		c.offered.add(t.cost(), now)
		weight = max((own+others.Demand)/t.Rate, 1)
		if others.Demand > negligibleDemandShare*own && rng.Float64()*weight >= 1 {
			return rejected(outcome.RateLimited, bounded.Seconds(weight*t.cost()/t.Rate))
		}
		if wait := c.bucket.take(t.cost(), t.Rate, max(t.Burst, t.cost()), now); wait > 0 {
			return rejected(outcome.RateLimited, wait)
		}
	}
	c.sent.add(weight*t.cost()*max(t.Scale, 1), now)
	c.running++
	return admitted(weight)
}

// otherEntries estimates the total load of the other entries. The sidecars linked are a sample of all; the entry's own
// requests are spread over the linked ones alone, so they are subtracted before the sample is scaled. A sidecar that
// reports no load has next to no demand.
func (d *demand) otherEntries(c *customerState, now time.Time) Load {
	var demand, running, sent float64
	for id, load := range c.loads {
		if now.Sub(load.at) > loadTTL {
			delete(c.loads, id)
			continue
		}
		demand += load.Demand * load.scale
		running += float64(load.Running) * load.scale
		sent += load.sent
	}
	if len(c.loads) > 0 {
		demand -= sent / float64(len(c.loads))
	}
	return Load{Demand: max(demand, 0), Running: int(running)}
}

// Done implements Limiter.
func (d *demand) Done(customer string) {
	if c := d.customers[customer]; c != nil && c.running > 0 {
		c.running--
	}
}

// Observe implements Limiter.
func (d *demand) Observe(customer, backend string, load Load, scale float64, now time.Time) {
	c := d.state(customer)
	c.loads[backend] = receivedLoad{Load: load, scale: max(scale, 1), at: now, sent: c.sent.rate(now)}
}

func (d *demand) state(customer string) *customerState {
	c := d.customers[customer]
	if c == nil {
		c = &customerState{loads: map[string]receivedLoad{}}
		d.customers[customer] = c
	}
	return c
}
