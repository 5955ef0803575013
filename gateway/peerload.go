package gateway

import (
	"iter"
	"maps"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// minPeerLoadTTL is the minimum time for which a gateway's reported load counts after its last report or datagram.
// With many gateways the time is that of peerLoadTTLExchanges exchanges.
const (
	minPeerLoadTTL       = 1500 * time.Millisecond
	peerLoadTTLExchanges = 3
)

// peerLoads holds the load that the other gateways placed on engines. It is safe for concurrent use.
type peerLoads struct {
	mu      sync.Mutex
	reports map[string]peerLoadReport
	// totals is the sum over all reports, by engine. It is updated incrementally: at a hundred gateways some eighty
	// reports a second arrive, and summing all of them anew for each took half of a small VM's processor.
	totals map[string]kvmemory.Load
	// customers is the sum over all reports of what customers hold and wait for.
	customers customerTotals
	// customerNames are those with which it was last returned.
	customerNames *customerNames
	// refreshed is when all totals were last returned.
	refreshed time.Time
	// ttl is how long a report counts.
	ttl time.Duration
	// incarnationID returns the ID of an incarnation that another gateway reports by its tag.
	incarnationID func(instance string, tag uint32) string
}

type peerLoadReport struct {
	at time.Time
	// number is that of the latest placement reported by this incarnation of the gateway.
	incarnation, number uint64
	loads               map[string]reportedLoad
	customers           customerTokens
	prefill             []*peer.Reading
	// listRead is when the server list at position servers was last read from the store, as reported by the gateway.
	listRead time.Time
	servers  store.Position
}

// reportedLoad is the load that a gateway reports for one engine.
type reportedLoad struct {
	load kvmemory.Load
	at   time.Time
	// counted is the part in the totals: the reported load extrapolated to the time of the last refresh.
	counted kvmemory.Load
}

func newPeerLoads(incarnationID func(instance string, tag uint32) string) *peerLoads {
	return &peerLoads{incarnationID: incarnationID, reports: map[string]peerLoadReport{}, totals: map[string]kvmemory.Load{}, customers: customerTotals{sums: customerTokens{}}, ttl: minPeerLoadTTL}
}

// refreshInterval is the interval at which all totals are updated and returned, not only those that changed: runs
// grow by a tenth of their memory in it.
const refreshInterval = 250 * time.Millisecond

// receiveReport applies a report and returns the load placed by all other gateways, for the engines for which it has
// changed.
func (p *peerLoads) receiveReport(r *peer.Report, now time.Time) map[string]kvmemory.Load {
	report := peerLoadReport{at: now, incarnation: r.GetIncarnation(), number: r.GetPlacement(), loads: map[string]reportedLoad{}, prefill: r.GetReadings()}
	report.servers = r.ServersPosition()
	report.customers = decodeCustomerMemory(r.GetCustomerMemory())
	report.listRead = now.Add(-time.Duration(r.GetReadAgeMs()) * time.Millisecond)
	for _, s := range r.GetShares() {
		l := decodeLoad(s)
		report.loads[p.incarnationID(s.GetServer(), s.GetStart())] = reportedLoad{load: l, at: now, counted: l}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.reports[r.GetAddr()]
	if report.incarnation == old.incarnation && report.number < old.number {
		// Datagrams that were received since are newer than the report.
		report.number, report.loads, report.customers = old.number, old.loads, old.customers
	}
	changed := map[string]kvmemory.Load{}
	p.addAll(old.loads, -1, changed)
	p.addAll(report.loads, 1, changed)
	p.customers.replace(old.customers, report.customers)
	p.reports[r.GetAddr()] = report
	if now.Sub(p.refreshed) >= refreshInterval {
		p.refreshAll(now, changed)
	}
	return changed
}

// refreshAll drops expired reports, extrapolates the others, and adds all totals to changed. The caller holds mu.
func (p *peerLoads) refreshAll(now time.Time, changed map[string]kvmemory.Load) {
	p.refreshed = now
	p.expire(now, changed)
	for _, r := range p.reports {
		p.extrapolate(r.loads, now, changed)
	}
	maps.Copy(changed, p.totals)
}

// extrapolate replaces the loads that one gateway reported by their forecasts for now. The caller holds mu.
func (p *peerLoads) extrapolate(loads map[string]reportedLoad, now time.Time, changed map[string]kvmemory.Load) {
	for id, l := range loads {
		p.add(id, &l.counted, -1, changed)
		l.counted.Forecast = l.load.Forecast.AgedStillRunning(now.Sub(l.at), l.load.Runs)
		p.add(id, &l.counted, 1, changed)
		loads[id] = l
	}
}

// refresh drops expired reports and returns all totals and those that fell to zero; interval is that between two
// exchanges with the same gateway. It also serves gateways that receive no reports any more.
func (p *peerLoads) refresh(interval time.Duration, now time.Time) map[string]kvmemory.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ttl = max(minPeerLoadTTL, peerLoadTTLExchanges*interval)
	changed := map[string]kvmemory.Load{}
	p.refreshAll(now, changed)
	// A service that has received its first request since doesn't have the figures yet.
	p.customers.changed = true
	return changed
}

// addAll adds sign times a gateway's reported loads to the totals and puts the new totals in changed. The caller
// holds mu.
func (p *peerLoads) addAll(loads map[string]reportedLoad, sign int, changed map[string]kvmemory.Load) {
	for id, l := range loads {
		p.add(id, &l.counted, sign, changed)
	}
}

// add adds sign times l to the total of one engine. All numbers are integers, so that adding and subtracting a load
// leaves no residue. The caller holds mu.
func (p *peerLoads) add(id string, l *kvmemory.Load, sign int, changed map[string]kvmemory.Load) {
	total := p.totals[id]
	total.Add(l, sign)
	p.totals[id], changed[id] = total, total
	if total == (kvmemory.Load{}) {
		delete(p.totals, id)
	}
}

// expire drops reports that are too old. The caller holds mu.
func (p *peerLoads) expire(now time.Time, changed map[string]kvmemory.Load) {
	for addr, r := range p.reports {
		if now.Sub(r.at) >= p.ttl {
			p.addAll(r.loads, -1, changed)
			p.customers.replace(r.customers, nil)
			delete(p.reports, addr)
		}
	}
}

// receivePlacement applies a placement from a datagram and returns the load placed by all other gateways on the
// engines that it names.
func (p *peerLoads) receivePlacement(placement *peer.Placement, now time.Time) map[string]kvmemory.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reports[placement.GetAddr()]
	if !ok || placement.GetIncarnation() != r.incarnation || placement.GetNumber() <= r.number {
		return nil
	}
	r.at, r.number = now, placement.GetNumber()
	r.customers = p.customers.update(r.customers, decodeCustomerMemory(placement.GetCustomerMemory()))
	p.reports[placement.GetAddr()] = r
	changed := map[string]kvmemory.Load{}
	for _, s := range placement.GetShares() {
		id, l := p.incarnationID(s.GetServer(), s.GetStart()), decodeLoad(s)
		old := r.loads[id].counted
		p.add(id, &old, -1, changed)
		p.add(id, &l, 1, changed)
		r.loads[id] = reportedLoad{load: l, at: now, counted: l}
	}
	return changed
}

// listReadAge returns how long ago the server list was last read from the store, by the reports of other gateways. Those
// whose list is of an earlier era of the store than known don't count: readings of gateways that don't know eras may be
// dropped there.
func (p *peerLoads) listReadAge(known store.Position, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := never
	for _, r := range p.reports {
		if r.servers.Era() >= known.Era() {
			age = min(age, now.Sub(r.listRead))
		}
	}
	return age
}

// readings iterates over what all other gateways report of a service. The caller holds mu.
func (p *peerLoads) readings(service string) iter.Seq[*peer.Reading] {
	return func(yield func(*peer.Reading) bool) {
		for _, report := range p.reports {
			for _, r := range report.prefill {
				if r.GetService() == service && !yield(r) {
					return
				}
			}
		}
	}
}

// prefillUse returns the prompt arrival rate at all other gateways and the engines' prefill rates as they report
// them, in tokens per second, and the memory that their requests demand, in tokens.
func (p *peerLoads) prefillUse(service string) (arriving, demand float64, engineRates []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.readings(service) {
		arriving += bounded.Amount(r.GetTokensPerS())
		demand += bounded.Amount(r.GetWantedTokens())
		if rate := bounded.Amount(r.GetEngineTokensPerS()); rate > 0 {
			engineRates = append(engineRates, rate)
		}
	}
	return arriving, demand, engineRates
}
