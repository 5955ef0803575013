package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slackUsed is what of the rule's slack was used in the worst window, as a part of it.
func (j *simJudge) slackUsed() float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, a := range j.admitted {
		sum += a.cost
		for j.admitted[first].at <= a.at-simWindow {
			sum -= j.admitted[first].cost
			first++
		}
		worst = max(worst, sum-j.allowed(a.at))
	}
	return worst / simSlack
}

// allowed is what may be admitted in a window without the slack. A lower quota binds a window after it is in force.
func (j *simJudge) allowed(at time.Duration) float64 {
	most := 0.0
	for i, l := range j.limits {
		if i+1 == len(j.limits) || at < j.limits[i+1].from+2*simWindow {
			most = max(most, l.rate*simWindow.Seconds()+l.burst)
		}
	}
	return most * (1 + simOverage)
}

// refusedBelow is the share of what was owed in some seconds that was refused.
func (j *simJudge) refusedBelow(from, to time.Duration) float64 {
	owed, refused := 0.0, 0.0
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		owed += j.owed[s] + j.refused[s]
		refused += j.refused[s]
	}
	return refused / max(owed, 1)
}

const seconds = time.Second

// inTurn restarts all gateways, an eighth at a time, each second.
func inTurn() []simEvent {
	events := []simEvent{{from: 4 * seconds, to: 24 * seconds, hot: 8}}
	for i := range 8 {
		at := time.Duration(6+i) * seconds
		events = append(events, simEvent{from: at, to: at + 500*time.Millisecond, down: 0.125, after: float64(i) / 8})
	}
	return events
}

var simScenarios = []simScenario{
	{name: "at rest"},
	{name: "one asks for eight times its usual", events: []simEvent{{from: 5 * seconds, to: 13 * seconds, hot: 8}}},
	{name: "callers move", events: []simEvent{{from: 10 * seconds, to: simDay, moves: true}}},
	{name: "callers move while one is hot", events: []simEvent{{from: 5 * seconds, to: 16 * seconds, hot: 6}, {from: 10 * seconds, to: simDay, moves: true}}},
	{name: "cut off", events: []simEvent{{from: 8 * seconds, to: 20 * seconds, cut: 0.35}}},
	{name: "cut off while one is hot", events: []simEvent{{from: 5 * seconds, to: 18 * seconds, hot: 6}, {from: 8 * seconds, to: 20 * seconds, cut: 0.35}}},
	{name: "hot while cut off", events: []simEvent{{from: 3 * seconds, to: 16 * seconds, cut: 0.35}, {from: 5 * seconds, to: 16 * seconds, hot: 6}}},
	{name: "frozen while one is hot", events: []simEvent{{from: 5 * seconds, to: 14 * seconds, hot: 6}, {from: 7 * seconds, to: 11 * seconds, frozen: 0.3}}},
	{name: "all end while one is hot", events: []simEvent{{from: 5 * seconds, to: 16 * seconds, hot: 5}, {from: 10 * seconds, to: 11 * seconds, down: 1}}},
	{name: "most end", events: []simEvent{{from: 10 * seconds, to: 12 * seconds, down: 0.55}}},
	{name: "join while one is hot", joins: 8, events: []simEvent{{from: 5 * seconds, to: 16 * seconds, hot: 5}, {from: 8 * seconds, to: simDay, moves: true}}},
	{name: "restarted in turn while one is hot", events: inTurn()},
	{name: "quotas fall", events: []simEvent{{from: 8 * seconds, to: simDay, falls: 0.25}}},
}

var simWays = []struct {
	name string
	make func(gateways int, now time.Time) simWay
}{{"shared", newSharedWay}, {"demand", newDemandWay}, {"leases", newLeaseWay}, {"even", newEvenWay}}

// worstOf is the slack used by the worst customer, and the share refused below the quota over all, in all and in the four
// seconds after demand has moved.
func worstOf(s *sim) (slack, refused, moved float64) {
	owed, below := 0.0, 0.0
	for _, j := range s.judges {
		slack = max(slack, j.slackUsed())
		for i := range j.owed {
			owed += j.owed[i] + j.refused[i]
			below += j.refused[i]
		}
		moved = max(moved, j.refusedBelow(10*seconds, 14*seconds))
	}
	return slack, below / owed, moved
}

// TestSharedQuotas holds quotas to the users' rule with a tenth of its slack, in all scenarios.
func TestSharedQuotas(t *testing.T) {
	for _, c := range []struct {
		gateways int
		seeds    uint64
	}{{30, 2}, {100, 1}} {
		for _, sc := range simScenarios {
			t.Run(fmt.Sprintf("%d %s", c.gateways, sc.name), func(t *testing.T) {
				for seed := range c.seeds {
					slack, refused, moved := worstOf(newSim(seed, c.gateways, sc, newSharedWay).play())
					t.Logf("slack %.2f, refused below %.4f, after moving %.4f", slack, refused, moved)
					assert.Check(t, slack <= 0.1, "%.2f of the slack", slack)
					if !sc.deaf() {
						assert.Check(t, refused <= 0.005, "%.4f refused below the quota", refused)
						assert.Check(t, moved <= 0.02, "%.4f refused below the quota after callers have moved", moved)
					}
				}
			})
		}
	}
}

// BenchmarkQuotaWays compares the ways over all scenarios.
func BenchmarkQuotaWays(b *testing.B) {
	for _, gateways := range []int{30, 100, 400} {
		for _, sc := range simScenarios {
			for _, way := range simWays {
				b.Run(fmt.Sprintf("%d/%s/%s", gateways, sc.name, way.name), func(b *testing.B) {
					var slack, refused, moved, datagrams float64
					for b.Loop() {
						s := newSim(1, gateways, sc, way.make).play()
						slack, refused, moved = worstOf(s)
						datagrams = float64(s.datagrams) / simDay.Seconds() / float64(gateways)
					}
					b.ReportMetric(slack, "slack")
					b.ReportMetric(refused, "refused")
					b.ReportMetric(moved, "moved")
					b.ReportMetric(datagrams, "datagrams/s")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
