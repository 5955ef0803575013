package limit

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/decay"
)

// meterTimeConstant is the time over which demand is averaged, at entries and sidecars alike.
const meterTimeConstant = 10 * time.Second

// rateMeter is an average of a rate over meterTimeConstant. The zero rateMeter is ready to use.
type rateMeter struct{ average decay.Rate }

// add counts an event.
func (m *rateMeter) add(weight float64, now time.Time) { m.average.Add(weight, now, meterTimeConstant) }

// rate returns the rate per second.
func (m *rateMeter) rate(now time.Time) float64 { return m.average.PerSecond(now, meterTimeConstant) }

// Meter is the sidecar's part: it measures the demand of each customer.
type Meter struct {
	customers map[string]*customerMeter
}

type customerMeter struct {
	rateMeter
	threshold Load
}

// CustomerLoad is the load of one customer.
type CustomerLoad struct {
	Customer string
	Load
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{customers: map[string]*customerMeter{}} }

// RecordOffered counts one request by its weight, whether it is granted or not. The entry that sent it is to receive
// the customer's load once this reaches a level of threshold, where zero means never; see ReportThreshold.
func (m *Meter) RecordOffered(customer string, weight float64, threshold Load, now time.Time) {
	c := m.customers[customer]
	if c == nil {
		c = &customerMeter{}
		m.customers[customer] = c
	}
	c.threshold = threshold
	c.add(max(weight, 1), now)
}

// Loads returns the loads that have reached their thresholds, given the requests in progress by customer. It drops
// customers that have no load left.
func (m *Meter) Loads(running map[string]int, now time.Time) []CustomerLoad {
	var out []CustomerLoad
	for id, c := range m.customers {
		load := Load{Demand: c.rate(now), Running: running[id]}
		switch {
		case c.threshold.Demand > 0 && load.Demand >= c.threshold.Demand, c.threshold.Running > 0 && load.Running >= c.threshold.Running:
			out = append(out, CustomerLoad{id, load})
		case load.Running == 0 && load.Demand < minMeteredRate:
			delete(m.customers, id)
		}
	}
	return out
}

// minMeteredRate is the rate per second below which a customer is no longer metered.
const minMeteredRate = 1e-3

// ReportThreshold returns the levels from which the load of one sidecar is worth reporting: those at which half of a
// limit would be reached if all sidecars had the same load.
func ReportThreshold(t Terms, sidecars int) Load {
	n := float64(max(sidecars, 1))
	threshold := Load{Demand: t.Rate / 2 / n}
	if t.Concurrent > 0 {
		threshold.Running = int(math.Ceil(float64(t.Concurrent) / 2 / n))
	}
	return threshold
}
