package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// placedLife is how long what a gateway told of its placement counts after it was last
// heard, at least; with many gateways it is as long as placedPaces exchanges take.
const (
	placedLife  = 1500 * time.Millisecond
	placedPaces = 3
)

// placed is what the other gateways placed. It is safe for concurrent use.
type placed struct {
	mu      sync.Mutex
	reports map[string]placedReport
	// totals is the sum over all reports, by engine. It is kept up to date with each report:
	// at a hundred gateways some eighty reports a second come in, and summing up all of them
	// anew for each took half of a small VM's processor.
	totals map[string]kvmemory.Load
	// refreshed is when all totals were last handed on.
	refreshed time.Time
	// life is how long a report counts.
	life time.Duration
	// idOf is the ID of a start that another gateway told.
	idOf func(instance string, tag uint32) string
}

type placedReport struct {
	at time.Time
	// number is that of the newest placement told by this incarnation.
	incarnation, number uint64
	told                map[string]toldLoad
	readings            []*peer.Reading
	// read is when the gateway last read the list of servers from the store.
	read time.Time
}

// toldLoad is what a gateway told of one engine.
type toldLoad struct {
	load kvmemory.Load
	at   time.Time
	// counted is what of it is in the totals: what it says of the time when they were last
	// brought up to date.
	counted kvmemory.Load
}

func newPlaced(idOf func(instance string, tag uint32) string) *placed {
	return &placed{idOf: idOf, reports: map[string]placedReport{}, totals: map[string]kvmemory.Load{}, life: placedLife}
}

// refreshInterval is the interval at which all totals are brought up to date and handed on, and
// not just those that changed: runs grow by a tenth of their memory in it.
const refreshInterval = 250 * time.Millisecond

// take takes a report and returns what all others placed, for the engines for which that
// has changed.
func (p *placed) take(r *peer.Report, now time.Time) map[string]kvmemory.Load {
	report := placedReport{at: now, incarnation: r.GetIncarnation(), number: r.GetPlacement(), told: map[string]toldLoad{}, readings: r.GetReadings()}
	report.read = now.Add(-time.Duration(r.GetReadAgeMs()) * time.Millisecond)
	for _, s := range r.GetShares() {
		l := decodeLoad(s)
		report.told[p.idOf(s.GetServer(), s.GetStart())] = toldLoad{load: l, at: now, counted: l}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.reports[r.GetAddr()]
	if report.incarnation == old.incarnation && report.number < old.number {
		// Datagrams that came since tell more than the report.
		report.number, report.told = old.number, old.told
	}
	changed := map[string]kvmemory.Load{}
	p.count(old.told, -1, changed)
	p.count(report.told, 1, changed)
	p.reports[r.GetAddr()] = report
	if now.Sub(p.refreshed) >= refreshInterval {
		p.all(now, changed)
	}
	return changed
}

// all drops what is too old, and adds all totals to changed. The caller holds mu.
func (p *placed) all(now time.Time, changed map[string]kvmemory.Load) {
	p.refreshed = now
	p.expire(now, changed)
	for _, r := range p.reports {
		p.age(r.told, now, changed)
	}
	maps.Copy(changed, p.totals)
}

// age replaces what one gateway told by what that says of now. The caller holds mu.
func (p *placed) age(told map[string]toldLoad, now time.Time, changed map[string]kvmemory.Load) {
	for id, t := range told {
		p.add(id, &t.counted, -1, changed)
		t.counted.Forecast = t.load.Forecast.AgedStillRunning(now.Sub(t.at), t.load.Runs)
		p.add(id, &t.counted, 1, changed)
		told[id] = t
	}
}

// refresh drops what is too old when exchanges with one gateway come at that pace, and
// returns all totals and those that fell to zero. It is also for gateways that hear no other
// one any more.
func (p *placed) refresh(pace time.Duration, now time.Time) map[string]kvmemory.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life = max(placedLife, placedPaces*pace)
	changed := map[string]kvmemory.Load{}
	p.all(now, changed)
	return changed
}

// count adds sign times what a gateway told to the totals, and notes the new ones. The caller
// holds mu.
func (p *placed) count(told map[string]toldLoad, sign int, changed map[string]kvmemory.Load) {
	for id, t := range told {
		p.add(id, &t.counted, sign, changed)
	}
}

// add adds sign times l to the total of one engine. All numbers are whole, so that what was
// added and taken off again leaves nothing. The caller holds mu.
func (p *placed) add(id string, l *kvmemory.Load, sign int, changed map[string]kvmemory.Load) {
	total := p.totals[id]
	total.Add(l, sign)
	p.totals[id], changed[id] = total, total
	if total == (kvmemory.Load{}) {
		delete(p.totals, id)
	}
}

// expire drops reports that are too old. The caller holds mu.
func (p *placed) expire(now time.Time, changed map[string]kvmemory.Load) {
	for addr, r := range p.reports {
		if now.Sub(r.at) >= p.life {
			p.count(r.told, -1, changed)
			delete(p.reports, addr)
		}
	}
}

// change takes a placement told in a datagram, and returns what all others placed on the
// engines that it names.
func (p *placed) change(c *peer.Placement, now time.Time) map[string]kvmemory.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reports[c.GetAddr()]
	if !ok || c.GetIncarnation() != r.incarnation || c.GetNumber() <= r.number {
		return nil
	}
	r.at, r.number = now, c.GetNumber()
	p.reports[c.GetAddr()] = r
	changed := map[string]kvmemory.Load{}
	for _, s := range c.GetShares() {
		id, l := p.idOf(s.GetServer(), s.GetStart()), decodeLoad(s)
		old := r.told[id].counted
		p.add(id, &old, -1, changed)
		p.add(id, &l, 1, changed)
		r.told[id] = toldLoad{load: l, at: now, counted: l}
	}
	return changed
}

// readAge is how long ago any other gateway read the list of servers from the store.
func (p *placed) readAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := never
	for _, r := range p.reports {
		age = min(age, now.Sub(r.read))
	}
	return age
}

// reading is the rate of prompts that reach all others, and what they know of the rate of
// one engine, in tokens per second, and the memory that their requests want, in tokens.
func (p *placed) reading(service string) (arriving, wanted float64, engine []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range p.reports {
		for _, r := range report.readings {
			if r.GetService() != service {
				continue
			}
			arriving += r.GetTokensPerS()
			wanted += r.GetWantedTokens()
			if rate := r.GetEngineTokensPerS(); rate > 0 {
				engine = append(engine, rate)
			}
		}
	}
	return arriving, wanted, engine
}
