package kvmemory_test

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// reportedLoad is the load that a router reported for its runs on an engine, and when.
type reportedLoad struct {
	load kvmemory.Load
	at   time.Time
}

// periodicReports simulates the reports between gateways: a router reports the load of an engine
// when its runs there change, and that of all engines once per interval. Between reports the latest
// one is adjusted for its age.
type periodicReports struct {
	interval time.Duration
	adjust   func(l *kvmemory.Load, age time.Duration) kvmemory.Load
	latest   []map[string]reportedLoad
}

// record stores a router's current load on an engine as its latest report.
func (p *periodicReports) record(s *simulation, i int, id string, now time.Time) {
	for len(p.latest) <= i {
		p.latest = append(p.latest, map[string]reportedLoad{})
	}
	p.latest[i][id] = reportedLoad{s.pools[i].OwnLoad(id, now), now}
}

// estimate returns the estimated load of a router on an engine.
func (p *periodicReports) estimate(i int, id string, now time.Time) kvmemory.Load {
	if i >= len(p.latest) {
		return kvmemory.Load{}
	}
	report := p.latest[i][id]
	return p.adjust(&report.load, now.Sub(report.at))
}

// recordDue has each router report all its load once per interval.
func (p *periodicReports) recordDue(s *simulation, now time.Time) {
	for i := range s.pools {
		if (now.Sub(start)+time.Duration(i)*p.interval/time.Duration(s.routers)).Round(simTick)%p.interval.Round(simTick) == 0 {
			for _, id := range s.ids {
				p.record(s, i, id, now)
			}
		}
	}
}
