package kvmemory

import "time"

// Share is the load that a router placed on one engine.
type Share struct {
	ID string
	Load
}

// OwnLoads returns the load that this router placed, ordered by engine.
func (p *Pool) OwnLoads(now time.Time) []Share {
	var out []Share
	for _, s := range p.sorted {
		if len(s.runs) > 0 {
			out = append(out, Share{ID: s.ID, Load: p.OwnLoad(s.ID, now)})
		}
	}
	return out
}

// TokensPerRouter is the mean number of tokens per router that all routers placed on all engines. A
// router may expect that share of the memory that becomes free as runs end, whichever router placed
// them.
func (p *Pool) TokensPerRouter() float64 {
	_, all := p.placedTokens()
	return float64(all) / float64(p.routers)
}

// gatheredFactor is how many times the mean a router must have placed to count as one to which most callers come.
const gatheredFactor = 2

// ExpectedTokens is the number of placed tokens of which a router may expect to get the memory that becomes free as runs
// end: the mean per router, or its own if most callers come to it.
func (p *Pool) ExpectedTokens() float64 {
	own, all := p.placedTokens()
	mean := float64(all) / float64(p.routers)
	if float64(own) > gatheredFactor*mean {
		return float64(own)
	}
	return mean
}

// placedTokens returns the tokens that this router and that all routers placed on all engines.
func (p *Pool) placedTokens() (own, all int) {
	for _, s := range p.servers {
		own += s.ownLoad.Tokens
		all += s.ownLoad.Tokens + s.peerLoad.Tokens
	}
	return own, all
}

// OwnLoad returns the load that this router placed on one engine.
func (p *Pool) OwnLoad(id string, now time.Time) Load {
	s, ok := p.servers[id]
	if !ok {
		return Load{}
	}
	p.refresh(s, now)
	return s.ownLoad
}

// SlotLoad returns the share of an engine's decode slots that are taken, in [0, 1].
func (p *Pool) SlotLoad(id string) float64 {
	s, ok := p.servers[id]
	if !ok || s.Slots <= 0 {
		return 1
	}
	return min(float64(s.ownLoad.Runs+s.peerLoad.Runs)/float64(s.Slots), 1)
}

// SetPeerLoad sets the sum of the load that all other routers placed on one engine. A decrease
// lifts an earlier refusal.
func (p *Pool) SetPeerLoad(id string, l Load, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		p.setUnlisted(id, l)
		return
	}
	if l.Tokens < s.peerLoad.Tokens && s.failures == 0 {
		s.blockedUntil = time.Time{}
	}
	if l.Runs < s.peerLoad.Runs {
		s.recordRunEnd(now)
	}
	s.peerLoad = l
	p.updatePeerPace(s, now)
	s.updateTotal()
}

// Capacity returns the memory of all engines that may get new work and the memory that is known to
// be placed there, in tokens.
func (p *Pool) Capacity() (capacity, used int) {
	for _, s := range p.servers {
		if s.listed {
			capacity += s.Capacity
			used += s.ownLoad.Tokens + s.peerLoad.Tokens
		}
	}
	return capacity, used
}
