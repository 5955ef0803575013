package quotaorder

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

const (
	// reportTTL is how long a reported demand is valid. While a quota is nearly exhausted, gateways that use it report
	// it several times a second.
	reportTTL = 2 * time.Second
	// sumInterval is the interval at which the sum of the reports is renewed.
	sumInterval = 100 * time.Millisecond
)

// peers are the demands that other gateways reported.
type peers struct {
	reports map[string]*report
	// classified is the sum of the demand reported by class, total that of the gateways that report none, at sumAt.
	classified Demand
	total      float64
	sumAt      time.Time
}

type report struct {
	demand  Demand
	total   float64
	at      time.Time
	classes bool
}

// SetPeer records the demand that another gateway reported, zero for one that no gateway can have. Gateways of earlier releases
// report a total alone.
func (o *Order) SetPeer(source string, classes *Demand, total float64, now time.Time) {
	p := &o.peers
	if p.reports == nil {
		p.reports = map[string]*report{}
	}
	r := p.reports[source]
	if r == nil {
		r = &report{}
		p.reports[source] = r
	}
	r.at, r.total, r.classes = now, bounded.Amount(total), classes != nil
	if r.classes {
		for c, v := range classes {
			r.demand[c] = bounded.Amount(v)
		}
	}
}

// RemovePeer forgets the demand of a gateway that does not respond: the part of the quota that is reserved for it serves
// its clients.
func (o *Order) RemovePeer(source string) {
	delete(o.peers.reports, source)
	o.peers.sumAt = time.Time{}
}

// ForgetPeers forgets the demand of all gateways.
func (o *Order) ForgetPeers() { o.peers = peers{} }

// addTo adds the reported demand to the own one. A total is divided in the proportions of the other demand.
func (p *peers) addTo(d *Demand, now time.Time) {
	if now.Sub(p.sumAt) >= sumInterval {
		p.sum(now)
	}
	for c := range d {
		d[c] += p.classified[c]
	}
	if known := d.Total(); p.total > 0 && known > 0 {
		for c := range d {
			d[c] *= 1 + p.total/known
		}
	}
}

// sum renews the sum of the reports, and removes those that are out of date.
func (p *peers) sum(now time.Time) {
	p.classified, p.total, p.sumAt = Demand{}, 0, now
	for source, r := range p.reports {
		switch {
		case now.Sub(r.at) >= reportTTL:
			delete(p.reports, source)
		case r.classes:
			for c, v := range r.demand {
				p.classified[c] += v
			}
		default:
			p.total += r.total
		}
	}
}
