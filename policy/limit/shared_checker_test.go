package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slackUsed returns the share of the rule's slack that the worst window used.
func (c *simChecker) slackUsed() float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, a := range c.admitted {
		sum += a.cost
		for c.admitted[first].at <= a.at-simWindow {
			sum -= c.admitted[first].cost
			first++
		}
		worst = max(worst, sum-c.allowed(a.at))
	}
	return worst / simSlack
}

// allowed returns the cost that may be admitted in a window without the slack. A lowered quota is binding from one
// window after it is in force.
func (c *simChecker) allowed(at time.Duration) float64 {
	maxAllowed := 0.0
	for i, l := range c.limits {
		if i+1 == len(c.limits) || at < c.limits[i+1].from+2*simWindow {
			maxAllowed = max(maxAllowed, l.rate*simWindow.Seconds()+l.burst)
		}
	}
	return maxAllowed * (1 + simOverage)
}

// wronglyRejected returns the share of the cost that was rejected below the quota, in a span of seconds.
func (c *simChecker) wronglyRejected(from, to time.Duration) float64 {
	total, rejected := 0.0, 0.0
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		total += c.admittedCost[s] + c.rejectedCost[s]
		rejected += c.rejectedCost[s]
	}
	return rejected / max(total, 1)
}

const seconds = time.Second

// rollingRestart restarts all gateways, an eighth of them each second.
func rollingRestart() []simEvent {
	events := []simEvent{{from: 4 * seconds, to: 24 * seconds, demandFactor: 8}}
	for i := range 8 {
		at := time.Duration(6+i) * seconds
		events = append(events, simEvent{from: at, to: at + 500*time.Millisecond, down: 0.125, skipped: float64(i) / 8})
	}
	return events
}

var simScenarios = []simScenario{
	{name: "steady load"},
	{name: "one customer at eight times its usual load", events: []simEvent{{from: 5 * seconds, to: 13 * seconds, demandFactor: 8}}},
	{name: "clients move", events: []simEvent{{from: 10 * seconds, to: simDuration, clientsMove: true}}},
	{name: "clients move during a demand spike", events: []simEvent{{from: 5 * seconds, to: 16 * seconds, demandFactor: 6}, {from: 10 * seconds, to: simDuration, clientsMove: true}}},
	{name: "gateways partitioned", events: []simEvent{{from: 8 * seconds, to: 20 * seconds, partitioned: 0.35}}},
	{name: "gateways partitioned during a demand spike", events: []simEvent{{from: 5 * seconds, to: 18 * seconds, demandFactor: 6}, {from: 8 * seconds, to: 20 * seconds, partitioned: 0.35}}},
	{name: "demand spike during a partition", events: []simEvent{{from: 3 * seconds, to: 16 * seconds, partitioned: 0.35}, {from: 5 * seconds, to: 16 * seconds, demandFactor: 6}}},
	{name: "gateways frozen during a demand spike", events: []simEvent{{from: 5 * seconds, to: 14 * seconds, demandFactor: 6}, {from: 7 * seconds, to: 11 * seconds, frozen: 0.3}}},
	{name: "all gateways terminate during a demand spike", events: []simEvent{{from: 5 * seconds, to: 16 * seconds, demandFactor: 5}, {from: 10 * seconds, to: 11 * seconds, down: 1}}},
	{name: "most gateways terminate", events: []simEvent{{from: 10 * seconds, to: 12 * seconds, down: 0.55}}},
	{name: "gateways join during a demand spike", joining: 8, events: []simEvent{{from: 5 * seconds, to: 16 * seconds, demandFactor: 5}, {from: 8 * seconds, to: simDuration, clientsMove: true}}},
	{name: "rolling restart during a demand spike", events: rollingRestart()},
	{name: "quotas are lowered", events: []simEvent{{from: 8 * seconds, to: simDuration, quotaFactor: 0.25}}},
}

var simStrategies = []struct {
	name string
	make func(gateways int, now time.Time) simStrategy
}{{"shared", newSharedStrategy}, {"demand", newDemandStrategy}, {"leases", newLeaseStrategy}, {"even", newEvenStrategy}}

// worstResults returns the slack used by the worst customer, the share of all cost that was rejected below the quota,
// and the largest such share of a customer in the four seconds after clients have moved.
func worstResults(s *sim) (slack, rejected, rejectedAfterMove float64) {
	total, wronglyRejected := 0.0, 0.0
	for _, c := range s.checkers {
		slack = max(slack, c.slackUsed())
		for i := range c.admittedCost {
			total += c.admittedCost[i] + c.rejectedCost[i]
			wronglyRejected += c.rejectedCost[i]
		}
		rejectedAfterMove = max(rejectedAfterMove, c.wronglyRejected(10*seconds, 14*seconds))
	}
	return slack, wronglyRejected / total, rejectedAfterMove
}

// TestSharedQuotas checks that quotas keep the users' rule within a tenth of its slack, in all scenarios.
func TestSharedQuotas(t *testing.T) {
	for _, c := range []struct {
		gateways int
		seeds    uint64
	}{{30, 2}, {100, 1}} {
		for _, sc := range simScenarios {
			t.Run(fmt.Sprintf("%d %s", c.gateways, sc.name), func(t *testing.T) {
				for seed := range c.seeds {
					slack, rejected, rejectedAfterMove := worstResults(newSim(seed, c.gateways, sc, newSharedStrategy).run())
					t.Logf("slack %.2f, rejected below the quota %.4f, after moving %.4f", slack, rejected, rejectedAfterMove)
					assert.Check(t, slack <= 0.1, "%.2f of the slack", slack)
					if !sc.isolatesGateways() {
						assert.Check(t, rejected <= 0.005, "%.4f rejected below the quota", rejected)
						assert.Check(t, rejectedAfterMove <= 0.02, "%.4f rejected below the quota after clients have moved", rejectedAfterMove)
					}
				}
			})
		}
	}
}

// BenchmarkQuotaStrategies compares the strategies over all scenarios.
func BenchmarkQuotaStrategies(b *testing.B) {
	for _, gateways := range []int{30, 100, 400} {
		for _, sc := range simScenarios {
			for _, strategy := range simStrategies {
				b.Run(fmt.Sprintf("%d/%s/%s", gateways, sc.name, strategy.name), func(b *testing.B) {
					var slack, rejected, rejectedAfterMove, datagrams float64
					for b.Loop() {
						s := newSim(1, gateways, sc, strategy.make).run()
						slack, rejected, rejectedAfterMove = worstResults(s)
						datagrams = float64(s.datagrams) / simDuration.Seconds() / float64(gateways)
					}
					b.ReportMetric(slack, "slack")
					b.ReportMetric(rejected, "refused")
					b.ReportMetric(rejectedAfterMove, "moved")
					b.ReportMetric(datagrams, "datagrams/s")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
