package peer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Intervals and bounds.
const (
	// interval is the pause between two exchanges with a peer. A run lasts some seconds,
	// so that placement of a fifth of a second ago is nearly true.
	interval = 200 * time.Millisecond
	// fewPeers is the number of peers up to which the interval holds; with more it grows
	// so that the bytes of a gateway stay the same.
	fewPeers = 8
	// callTimeout bounds an exchange: some round trips between zones, and the wait for a
	// processor that is busy.
	callTimeout = 700 * time.Millisecond
	// coveredFor is the number of pauses after which a peer that makes the exchanges of a
	// pair counts as silent.
	coveredFor = 3
	// redial is the pause after a failed exchange.
	redial = 300 * time.Millisecond
	// spreadTo is the number of peers that Spread tells. When all of many gateways do so, one in fifty is
	// left out, and hears of the news in its next usual exchange. Told by all to all, a change of the list of
	// servers cost 68 gateways 2,278 exchanges in a moment; told so, 135.
	spreadTo = 4
	// askOf is the number of peers that Ask asks: one may be cut off as well.
	askOf = 2
	// memberCheck is the interval at which members are looked at for new ones.
	memberCheck = 250 * time.Millisecond
)

// peerLink is the connection to one peer. Its loop owns all fields.
type peerLink struct {
	addr string
	conn peerConn
	// servers is the version that the peer was last known to have.
	servers int64
	// again is set when the last exchange followed another at once.
	again  bool
	lost   bool
	cancel context.CancelFunc
	// now holds a token while the peer is to be told at once.
	now chan struct{}
}

// tellNow has the peer told at once, or right after the exchange that is in progress, which may have missed
// the news.
func (l *peerLink) tellNow() {
	select {
	case l.now <- struct{}{}:
	default:
	}
}

// follow keeps one loop for each live member and seed.
func (s *Service) follow(ctx context.Context) {
	t := time.NewTicker(memberCheck)
	defer t.Stop()
	for {
		s.adjust(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.grown:
		}
	}
}

func (s *Service) adjust(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for _, addr := range s.members.Reached(time.Now()) {
		wanted[addr] = true
	}
	for _, addr := range s.seeds {
		wanted[addr] = addr != s.self
	}
	for addr, want := range wanted {
		if _, ok := s.links[addr]; want && !ok {
			lctx, cancel := context.WithCancel(ctx)
			l := &peerLink{addr: addr, cancel: cancel, now: make(chan struct{}, 1)}
			s.links[addr] = l
			go s.loop(lctx, l)
		}
	}
	for addr, l := range s.links {
		if !wanted[addr] {
			l.cancel()
			delete(s.links, addr)
			delete(s.asked, addr)
		}
	}
}

// loop exchanges reports with one peer until ctx ends.
func (s *Service) loop(ctx context.Context, l *peerLink) {
	defer l.conn.hangUp()
	kicked := false
	for ctx.Err() == nil {
		if !kicked && s.covered(l.addr) {
			kicked = wait(ctx, jitter(s.ExchangeInterval()), l.now)
			continue
		}
		again, err := s.exchange(ctx, l)
		if ctx.Err() != nil {
			return
		}
		s.traffic.exchanged(err)
		s.note(l, err)
		switch {
		case err != nil:
			l.conn.hangUp()
			kicked = wait(ctx, redial, l.now)
		case !again:
			kicked = wait(ctx, jitter(s.ExchangeInterval()), l.now)
		}
	}
}

// covered reports whether the peer makes the exchanges of this pair: they go both ways,
// so that the side with the lower address makes them as long as it is heard.
func (s *Service) covered(addr string) bool {
	if addr > s.self {
		return false
	}
	pace := s.ExchangeInterval()
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.asked[addr]) < coveredFor*pace
}

// exchange makes one exchange. It reports whether another should follow at once, since
// the peer turned out to be behind.
func (s *Service) exchange(ctx context.Context, l *peerLink) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.conn.open(ctx, s.net, l.addr, &s.meter); err != nil {
		return false, err
	}
	out := s.report(l.servers, false)
	asked := s.beliefs.Uptime()
	in, err := NewDRPCPeersClient(l.conn.Conn).Exchange(ctx, out)
	if err != nil {
		return false, err
	}
	s.take(in)
	if v := in.GetProvedVersion(); v > 0 {
		s.beliefs.ReceiveProof(v, asked-time.Duration(in.GetProvedAgeMs())*time.Millisecond)
	}
	// Changes are of use only to a peer that has the version before them.
	sent := out.GetServersTold() && out.GetServersBase() == 0
	l.servers = in.GetServersVersion()
	behind := out.GetServersVersion() > l.servers && !sent
	l.again = behind && !l.again
	return l.again, nil
}

func (s *Service) note(l *peerLink, err error) {
	if lost := err != nil; lost != l.lost {
		l.lost = lost
		if lost {
			s.beliefs.PeerLost(l.addr, err)
			return
		}
		s.beliefs.PeerRegained(l.addr)
	}
}

// ExchangeInterval is the pause between two exchanges with one peer.
func (s *Service) ExchangeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return paceAmong(len(s.links))
}

// paceAmong is the pause between two exchanges with one of some peers: it grows with their number, so that
// a gateway makes as many exchanges a second before a hundred peers as before eight.
func paceAmong(peers int) time.Duration {
	return interval * time.Duration(max(peers, fewPeers)) / fewPeers
}

// jitter spreads a pause by a quarter to both sides: gateways that start together would all exchange at the same
// moments, and what one has just heard would wait for the next of them.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

// wait pauses for d or until the peer is to be told at once, and reports whether it is.
func wait(ctx context.Context, d time.Duration, now <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-now:
		return true
	}
	return false
}
