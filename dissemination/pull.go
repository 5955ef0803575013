package dissemination

import "time"

const (
	// pullTimeout is how long the first request for a revision may take before the next.
	pullTimeout = 300 * time.Millisecond
	// maxPullTimeout is the time that the whole configuration at its expected size in
	// two years, 2.4 MB, takes over half of a 10 Mbit/s link.
	maxPullTimeout = 4 * time.Second
)

// Pull decides which peer to ask for a revision that peers announce and this process
// does not have. It asks one peer at a time, so that a change announced by many peers
// is not sent by all of them. The timeout doubles with each request until a revision
// arrives, since a repeated transfer takes link bandwidth from the one in progress.
// P identifies a peer. It is not safe for concurrent use.
type Pull[P comparable] struct {
	want, known uint64
	peer        P
	askedAt     time.Time
	// attempts is the number of requests since this process last reached a new revision.
	attempts int
}

// Offer records that a peer has announced head, if it is above own, and reports
// whether to ask that peer now.
func (p *Pull[P]) Offer(peer P, head, own uint64, now time.Time) bool {
	if head <= own {
		return false
	}
	p.want = max(p.want, head)
	p.peer = peer
	return p.startIfDue(own, now)
}

// Retry returns the peer to ask if the request in progress has timed out.
func (p *Pull[P]) Retry(own uint64, now time.Time) (P, bool) {
	var none P
	if p.want <= own || p.peer == none || !p.startIfDue(own, now) {
		return none, false
	}
	return p.peer, true
}

// Forget removes a peer that has disconnected.
func (p *Pull[P]) Forget(peer P) {
	var none P
	if p.peer == peer {
		p.peer, p.attempts = none, 0
	}
}

func (p *Pull[P]) startIfDue(own uint64, now time.Time) bool {
	if own != p.known {
		p.known, p.attempts = own, 0
	}
	if now.Sub(p.askedAt) < p.timeout() {
		return false
	}
	p.askedAt = now
	p.attempts++
	return true
}

// timeout is how long the last request may take before the next one.
func (p *Pull[P]) timeout() time.Duration {
	d := pullTimeout
	for i := 1; i < p.attempts && d < maxPullTimeout; i++ {
		d *= 2
	}
	return min(d, maxPullTimeout)
}
