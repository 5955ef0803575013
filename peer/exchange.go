package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Intervals and bounds.
const (
	// baseInterval is the interval between two exchanges with a peer. A run lasts some seconds, so placement
	// that is a fifth of a second old is nearly accurate.
	baseInterval = 200 * time.Millisecond
	// basePeers is the number of peers up to which baseInterval applies; with more, the interval grows so that
	// a gateway's traffic stays constant.
	basePeers = 8
	// callTimeout bounds an exchange: some round trips between zones and the wait for a busy processor.
	callTimeout = 700 * time.Millisecond
	// inboundIntervals is the number of intervals without an exchange after which the peer that initiates the
	// exchanges of a pair counts as unresponsive.
	inboundIntervals = 3
	// redialDelay is the delay after a failed exchange.
	redialDelay = 300 * time.Millisecond
	// spreadPeers is the number of peers that Spread contacts. If all of many gateways do so, one in fifty is
	// left out and receives the update in its next regular exchange. Announced by all gateways to all others,
	// a change of the list of servers cost 68 gateways 2,278 exchanges at once; with Spread it cost 135.
	spreadPeers = 4
	// queryPeers is the number of peers that QueryPeers contacts, since one of them may be cut off too.
	queryPeers = 2
	// memberCheckInterval is the interval at which the links are adjusted to the members.
	memberCheckInterval = 250 * time.Millisecond
)

// peerLink is the connection to one peer. All fields belong to the goroutine of exchangeLoop.
type peerLink struct {
	addr string
	conn peerConn
	// servers is the position of the list of servers that the peer last reported.
	servers store.Position
	// repeated is set after an exchange that another follows at once; that one is not repeated in turn.
	repeated bool
	lost     bool
	cancel   context.CancelFunc
	// requested holds a token while an exchange should happen at once.
	requested chan struct{}
}

// requestExchange triggers an exchange at once, or right after the one in progress, which may have missed an
// update.
func (l *peerLink) requestExchange() {
	notify.Send(l.requested)
}

// maintainLinks runs one exchange loop for each live member and seed.
func (s *Service) maintainLinks(ctx context.Context) {
	t := time.NewTicker(memberCheckInterval)
	defer t.Stop()
	for {
		s.updateLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.memberAdded:
		}
	}
}

func (s *Service) updateLinks(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for _, addr := range s.members.Reachable(time.Now()) {
		wanted[addr] = true
	}
	for _, addr := range s.seeds {
		wanted[addr] = addr != s.self
	}
	for addr, want := range wanted {
		if _, ok := s.links[addr]; want && !ok {
			lctx, cancel := context.WithCancel(ctx)
			l := &peerLink{addr: addr, cancel: cancel, requested: make(chan struct{}, 1)}
			s.links[addr] = l
			if s.pendingRequests > 0 {
				s.pendingRequests--
				l.requestExchange()
			}
			go s.exchangeLoop(lctx, l)
		}
	}
	for addr, l := range s.links {
		if !wanted[addr] {
			l.cancel()
			delete(s.links, addr)
			delete(s.lastInbound, addr)
			delete(s.reportedProofs, addr)
		}
	}
}

// exchangeLoop exchanges reports with one peer until ctx ends.
func (s *Service) exchangeLoop(ctx context.Context, l *peerLink) {
	defer l.conn.disconnect()
	requested := false
	for ctx.Err() == nil {
		if !requested && s.peerInitiates(l.addr) {
			requested = wait(ctx, jitter(s.ExchangeInterval()), l.requested)
			continue
		}
		again, err := s.exchangeOnce(ctx, l)
		if ctx.Err() != nil {
			return
		}
		s.traffic.recordExchange(err)
		s.recordResult(l, err)
		switch {
		case err != nil:
			l.conn.disconnect()
			// A requested exchange stays requested until one succeeds: the exchanges that the peer
			// initiates bring its report, but no proof.
			requested = wait(ctx, redialDelay, l.requested) || requested
		case !again:
			requested = wait(ctx, jitter(s.ExchangeInterval()), l.requested)
		}
	}
}

// peerInitiates reports whether the peer initiates the exchanges of this pair. Reports go both ways in an
// exchange, so the side with the lower address initiates them as long as it is responsive.
func (s *Service) peerInitiates(addr string) bool {
	if addr > s.self {
		return false
	}
	interval := s.ExchangeInterval()
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastInbound[addr]) < inboundIntervals*interval
}

// exchangeOnce makes one exchange. It reports whether another should follow at once because the peer turned out
// to be behind.
func (s *Service) exchangeOnce(ctx context.Context, l *peerLink) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.conn.open(ctx, s.net, l.addr, &s.meter); err != nil {
		return false, err
	}
	out := s.report(l.servers, false)
	requestedAt := s.local.Uptime()
	in, err := NewDRPCPeersClient(l.conn.Conn).Exchange(ctx, out)
	if err != nil {
		return false, err
	}
	s.receive(in)
	if v := in.GetProvedVersion(); v > 0 {
		s.local.ReceiveProof(v, in.GetProvedEra(), requestedAt-time.Duration(in.GetProvedAgeMs())*time.Millisecond)
	}
	// Changes since a version can be applied only by a peer that has that version.
	sent := out.GetServersTold() && out.GetServersBase() == 0
	l.servers = in.ServersPosition()
	behind := out.ServersPosition() > l.servers && !sent
	l.repeated = behind && !l.repeated
	return l.repeated, nil
}

func (s *Service) recordResult(l *peerLink, err error) {
	if lost := err != nil; lost != l.lost {
		l.lost = lost
		if lost {
			s.local.PeerLost(l.addr, err)
			return
		}
		s.local.PeerRegained(l.addr)
	}
}

// ExchangeInterval is the interval between two exchanges with one peer.
func (s *Service) ExchangeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return intervalAmong(len(s.links))
}

// intervalAmong is the exchange interval for a number of peers. It grows with the number, so that a gateway
// makes as many exchanges a second with a hundred peers as with eight.
func intervalAmong(peers int) time.Duration {
	return baseInterval * time.Duration(max(peers, basePeers)) / basePeers
}

// jitter varies an interval by up to a quarter in both directions. Otherwise gateways that start together
// would all exchange at the same moments, and an update just received would wait for the next of them.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

// wait waits for d or until an exchange is requested, and reports whether it was requested.
func wait(ctx context.Context, d time.Duration, requested <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-requested:
		return true
	}
	return false
}
