package limit

import (
	"math"
	"time"
)

// horizon is the time over which demand is averaged, at entries and sidecars
// alike.
const horizon = 10 * time.Second

// meter is an exponentially decaying average of a rate. The zero meter is ready.
type meter struct {
	value float64
	at    time.Time
}

// add counts an event.
func (m *meter) add(weight float64, now time.Time) {
	m.value = m.rate(now) + weight/horizon.Seconds()
	m.at = now
}

// rate returns the rate per second.
func (m *meter) rate(now time.Time) float64 {
	return m.value * math.Exp(-float64(max(now.Sub(m.at), 0))/float64(horizon))
}

// Meter is the part of a sidecar: it measures what is asked for by customer.
type Meter struct {
	customers map[string]*metered
}

type metered struct {
	meter
	above Load
}

// CustomerLoad is the echo of one customer.
type CustomerLoad struct {
	Customer string
	Load
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{customers: map[string]*metered{}} }

// RecordOffered counts one request by its weight, whether it is taken or not. The entry
// that sent it wants to be told from the levels of above on, zero meaning never;
// see Above.
func (m *Meter) RecordOffered(customer string, weight float64, above Load, now time.Time) {
	c := m.customers[customer]
	if c == nil {
		c = &metered{}
		m.customers[customer] = c
	}
	c.above = above
	c.add(max(weight, 1), now)
}

// Loads returns what is worth telling, given the requests in progress by
// customer. Customers of whom nothing is left are forgotten.
func (m *Meter) Loads(running map[string]int, now time.Time) []CustomerLoad {
	var out []CustomerLoad
	for id, c := range m.customers {
		e := Load{Demand: c.rate(now), Running: running[id]}
		switch {
		case c.above.Demand > 0 && e.Demand >= c.above.Demand, c.above.Running > 0 && e.Running >= c.above.Running:
			out = append(out, CustomerLoad{id, e})
		case e.Running == 0 && e.Demand < forgotten:
			delete(m.customers, id)
		}
	}
	return out
}

// forgotten is the rate per second under which a customer isn't metered any more.
const forgotten = 1e-3

// ReportThreshold returns the levels from which the echo of one sidecar is worth its bytes:
// those at which, were they the same at all, half of a limit were reached.
func ReportThreshold(t Terms, sidecars int) Load {
	n := float64(max(sidecars, 1))
	above := Load{Demand: t.Rate / 2 / n}
	if t.Concurrent > 0 {
		above.Running = int(math.Ceil(float64(t.Concurrent) / 2 / n))
	}
	return above
}
