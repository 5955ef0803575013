package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/peer"
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
	totals map[string]int
	// refreshed is when all totals were last handed on.
	refreshed time.Time
	// life is how long a report counts.
	life time.Duration
}

type placedReport struct {
	at time.Time
	// number is that of the newest placement told by this incarnation.
	incarnation, number uint64
	tokens              map[string]int
	readings            []*peer.Reading
	// read is when the gateway last read the list of servers from the store.
	read time.Time
}

func newPlaced() *placed {
	return &placed{reports: map[string]placedReport{}, totals: map[string]int{}, life: placedLife}
}

// refreshInterval is the interval at which all totals are handed on and not just those that
// changed: an engine that was not known yet has them by then.
const refreshInterval = 500 * time.Millisecond

// take takes a report and returns what all others placed, for the engines for which that
// has changed.
func (p *placed) take(r *peer.Report, now time.Time) map[string]int {
	report := placedReport{at: now, incarnation: r.GetIncarnation(), number: r.GetPlacement(), tokens: map[string]int{}, readings: r.GetReadings()}
	report.read = now.Add(-time.Duration(r.GetReadAgeMs()) * time.Millisecond)
	for _, s := range r.GetShares() {
		report.tokens[s.GetServer()] = int(s.GetTokens())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.reports[r.GetAddr()]
	if report.incarnation == old.incarnation && report.number < old.number {
		// Datagrams that came since tell more than the report.
		report.number, report.tokens = old.number, old.tokens
	}
	changed := map[string]int{}
	p.count(old.tokens, -1, changed)
	p.count(report.tokens, 1, changed)
	p.reports[r.GetAddr()] = report
	if now.Sub(p.refreshed) >= refreshInterval {
		p.all(now, changed)
	}
	return changed
}

// all drops what is too old, and adds all totals to changed. The caller holds mu.
func (p *placed) all(now time.Time, changed map[string]int) {
	p.refreshed = now
	p.expire(now, changed)
	maps.Copy(changed, p.totals)
}

// refresh drops what is too old when exchanges with one gateway come at that pace, and
// returns all totals and those that fell to zero. It is also for gateways that hear no other
// one any more.
func (p *placed) refresh(pace time.Duration, now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life = max(placedLife, placedPaces*pace)
	changed := map[string]int{}
	p.all(now, changed)
	return changed
}

// count adds sign times tokens to the totals, and notes the new ones. The caller holds mu.
func (p *placed) count(tokens map[string]int, sign int, changed map[string]int) {
	for id, n := range tokens {
		p.totals[id] += sign * n
		changed[id] = p.totals[id]
		if p.totals[id] == 0 {
			delete(p.totals, id)
		}
	}
}

// expire drops reports that are too old. The caller holds mu.
func (p *placed) expire(now time.Time, changed map[string]int) {
	for addr, r := range p.reports {
		if now.Sub(r.at) >= p.life {
			p.count(r.tokens, -1, changed)
			delete(p.reports, addr)
		}
	}
}

// change takes a placement told in a datagram, and returns what all others placed on the
// engines that it names.
func (p *placed) change(c *peer.Placement, now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reports[c.GetAddr()]
	if !ok || c.GetIncarnation() != r.incarnation || c.GetNumber() <= r.number {
		return nil
	}
	r.at, r.number = now, c.GetNumber()
	p.reports[c.GetAddr()] = r
	changed := map[string]int{}
	for _, s := range c.GetShares() {
		id, tokens := s.GetServer(), int(s.GetTokens())
		p.count(map[string]int{id: tokens - r.tokens[id]}, 1, changed)
		r.tokens[id] = tokens
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
