package dissemination

import "time"

const (
	// pullPatience is how long the first peer that is asked has before another is asked.
	pullPatience = 300 * time.Millisecond
	// maxPullPatience is as long as the whole configuration of the two-year size, 2.4 MB, takes over half
	// of a link of 10 Mbit/s.
	maxPullPatience = 4 * time.Second
)

// Pull decides which peer to ask for a revision that peers announce and this
// process lacks: one at a time, so that a change announced by many is not sent by
// many. While a revision does not come, the patience doubles: what is asked for again takes its share
// of the link from what is still under way. P identifies a peer. It is not safe for concurrent use.
type Pull[P comparable] struct {
	want, own uint64
	from      P
	asked     time.Time
	// asks is how often peers were asked since this process last got on.
	asks int
}

// Offer notes that a peer has announced a head above own. It reports whether to
// ask that peer now.
func (p *Pull[P]) Offer(peer P, head, own uint64, now time.Time) bool {
	if head <= own {
		return false
	}
	p.want = max(p.want, head)
	p.from = peer
	return p.due(own, now)
}

// Retry returns the peer to ask when one that was asked before has not answered.
func (p *Pull[P]) Retry(own uint64, now time.Time) (P, bool) {
	var none P
	if p.want <= own || p.from == none || !p.due(own, now) {
		return none, false
	}
	return p.from, true
}

// Forget drops a peer that is gone.
func (p *Pull[P]) Forget(peer P) {
	var none P
	if p.from == peer {
		p.from, p.asks = none, 0
	}
}

func (p *Pull[P]) due(own uint64, now time.Time) bool {
	if own != p.own {
		p.own, p.asks = own, 0
	}
	if now.Sub(p.asked) < p.patience() {
		return false
	}
	p.asked = now
	p.asks++
	return true
}

// patience is how long whoever was asked last has.
func (p *Pull[P]) patience() time.Duration {
	d := pullPatience
	for i := 1; i < p.asks && d < maxPullPatience; i++ {
		d *= 2
	}
	return min(d, maxPullPatience)
}
