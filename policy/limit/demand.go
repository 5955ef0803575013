package limit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// demand admits each request with the probability rate/demand, where demand is
// that of all entries as far as the sidecars have seen it. The probability is
// the same at all entries, so a shift of demand between them changes nothing. A
// bucket with the whole limit is the bound for the entry by itself.
type demand struct {
	customers map[string]*view
}

// view is what one entry knows of one customer.
type view struct {
	// offered counts requests, and sent those admitted, by weight and scale.
	offered, sent meter
	bucket        bucket
	running       int
	// echoes holds the latest echo of each sidecar.
	echoes map[string]heard
}

type heard struct {
	Load
	scale float64
	at    time.Time
	// sent is the rate of the entry's own requests at that time.
	sent float64
}

// echoLife is how long an echo counts. Sidecars repeat the echo of a customer
// near its limit well within it.
const echoLife = 15 * time.Second

// alone is the demand of other entries, as a part of the own, under which the
// bucket by itself is exact.
const alone = 0.02

// Admit implements Limiter.
func (d *demand) Admit(customer string, t Terms, now time.Time, rng *rand.Rand) Decision {
	v := d.view(customer)
	others := d.others(v, now)
	if t.Concurrent > 0 && float64(v.running)+float64(others.Running) >= float64(t.Concurrent) {
		return refused(outcome.ConcurrencyLimited, concurrencyRetryAfter)
	}
	weight := 1.0
	if t.Rate > 0 {
		own := v.offered.rate(now)
		v.offered.add(t.cost(), now)
		weight = max((own+others.Demand)/t.Rate, 1)
		if others.Demand > alone*own && rng.Float64()*weight >= 1 {
			return refused(outcome.RateLimited, time.Duration(weight*t.cost()/t.Rate*float64(time.Second)))
		}
		if wait := v.bucket.take(t.cost(), t.Rate, max(t.Burst, t.cost()), now); wait > 0 {
			return refused(outcome.RateLimited, wait)
		}
	}
	v.sent.add(weight*t.cost()*max(t.Scale, 1), now)
	v.running++
	return admitted(weight)
}

// others estimates what the other entries ask for in all. The sidecars linked
// are a sample of all; the entry's own requests are spread over the linked ones
// alone, so they are taken out before the sample is scaled. A sidecar that sends
// no echo has next to no demand.
func (d *demand) others(v *view, now time.Time) Load {
	var demand, running, sent float64
	for id, e := range v.echoes {
		if now.Sub(e.at) > echoLife {
			delete(v.echoes, id)
			continue
		}
		demand += e.Demand * e.scale
		running += float64(e.Running) * e.scale
		sent += e.sent
	}
	if len(v.echoes) > 0 {
		demand -= sent / float64(len(v.echoes))
	}
	return Load{Demand: max(demand, 0), Running: int(running)}
}

// Done implements Limiter.
func (d *demand) Done(customer string) {
	if v := d.customers[customer]; v != nil && v.running > 0 {
		v.running--
	}
}

// Observe implements Limiter.
func (d *demand) Observe(customer, backend string, e Load, scale float64, now time.Time) {
	v := d.view(customer)
	v.echoes[backend] = heard{Load: e, scale: max(scale, 1), at: now, sent: v.sent.rate(now)}
}

func (d *demand) view(customer string) *view {
	v := d.customers[customer]
	if v == nil {
		v = &view{echoes: map[string]heard{}}
		d.customers[customer] = v
	}
	return v
}
