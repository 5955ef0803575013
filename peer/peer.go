// Package peer joins the gateways. Each tells the others, a few times a second, which
// versions of the route table and of the list of servers it has, and how much memory it
// placed on which engine. So a gateway that can't reach the platform's store learns changes
// from those that can, one that starts while the store is down gets everything from its
// peers, and placement counts what others placed.
//
// What is told unasked is small, so that it comes through a link of 10 Mbit/s within
// callTimeout from dozens of peers at once. What is large is fetched by the one that lacks it,
// from one peer at a time, in parts.
//
// There is no agreement among gateways: versions only grow, each takes the newest that
// it hears of, and what is told of placement is a hint that lapses.
package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/hibiscusspur/hibiscusspur/link"
)

// Beliefs are what a gateway tells and takes. It must be safe for concurrent use.
type Beliefs interface {
	// Report returns what is told to a peer that has this version of the list of servers;
	// changes that it lacks are included if they are few. Members are left out.
	Report(servers int64) *Report
	// Take takes what a peer told.
	Take(r *Report)
	// Version is that of the state in force here.
	Version(state State) int64
	// EncodedState returns a state and its version; nil if there is none. The bytes must not be
	// changed.
	EncodedState(state State) (version int64, data []byte)
	// TakeState takes a state that was fetched from a peer. An error means that it can't be used.
	TakeState(state State, version int64, data []byte, from string) error
	// StoreLost reports whether the last call of the store failed.
	StoreLost() bool
	// Fetched is called after each fetch.
	Fetched(f Fetch)
	// TakePlacement takes what a peer told in a datagram. Datagrams may be lost, come
	// twice or in another order; the next report makes good for it.
	TakePlacement(p *Placement)
	// Lost and Regained are called when a peer is not heard any more, and when it is again.
	Lost(addr string, err error)
	Regained(addr string)
}

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
	// memberCheck is the interval at which members are looked at for new ones.
	memberCheck = 250 * time.Millisecond
)

// Service exchanges reports with the other gateways.
type Service struct {
	net     Network
	beliefs Beliefs
	self    string
	// incarnation tells this process from the ones before it at the same address.
	incarnation uint64
	meter       link.Meter
	traffic     trafficMeter
	datagrams   *datagrams
	server      server
	fetchers    map[State]*fetcher

	mu      sync.Mutex
	members *Members
	seeds   []string
	links   map[string]*peerLink
	// asked is when each peer last made an exchange.
	asked map[string]time.Time
	// kick is closed, and made anew, when all peers are to be told at once.
	kick    chan struct{}
	leaving bool
}

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
}

// New returns the service of the gateway that listens at self.
// Datagrams are exchanged on port, the same at every gateway; zero means none.
func New(self string, port int, seeds []string, b Beliefs) *Service {
	s := &Service{
		net: tcp{}, beliefs: b, self: self, members: NewMembers(self), seeds: seeds,
		datagrams: newDatagrams(port), incarnation: rand.Uint64(),
		links: map[string]*peerLink{}, asked: map[string]time.Time{}, kick: make(chan struct{}),
		server: server{beliefs: b, packed: map[State]packedState{}},
	}
	s.fetchers = map[State]*fetcher{
		State_ROUTE_TABLE: newFetcher(s, State_ROUTE_TABLE, tableGrace),
		State_SERVER_LIST: newFetcher(s, State_SERVER_LIST, serversGrace),
	}
	return s
}

// Run listens and exchanges reports until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	lis, err := s.net.Listen(s.self)
	if err != nil {
		return err
	}
	if err := s.datagrams.listen(ctx, s.self, s.beliefs.TakePlacement); err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := DRPCRegisterPeers(mux, s); err != nil {
		return err
	}
	go s.follow(ctx)
	for _, f := range s.fetchers {
		go f.run(ctx)
	}
	return link.ServeMux(ctx, lis, mux)
}

// SetSeeds replaces the addresses that are tried besides the known members.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Tell tells all live peers of changed placement, in datagrams.
func (s *Service) Tell(shares []*Share) {
	s.mu.Lock()
	live := s.members.Live(time.Now())
	s.mu.Unlock()
	s.datagrams.send(live, &Placement{Addr: s.self, Incarnation: s.incarnation, Shares: shares})
}

// Announce has all peers told at once.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.kick)
	s.kick = make(chan struct{})
}

// Leave tells the peers that this gateway takes no new work.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.Announce()
}

// Count is the number of live gateways, this one included.
func (s *Service) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members.Live(time.Now())) + 1
}

// Rank is the number of live gateways before this one, by address. At most one at a time
// has rank zero, unless gateways can't hear each other.
func (s *Service) Rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rank := 0
	for _, addr := range s.members.Live(time.Now()) {
		if addr < s.self {
			rank++
		}
	}
	return rank
}

// Sent and Received count the bytes of the links that this side dialled.
func (s *Service) Sent() int64 { return s.meter.Sent() }

// Received counts the bytes received; see Sent.
func (s *Service) Received() int64 { return s.meter.Received() }

// Traffic is what was exchanged since the start.
func (s *Service) Traffic() Traffic { return s.traffic.read() }

// Exchange implements DRPCPeersServer.
func (s *Service) Exchange(_ context.Context, in *Report) (*Report, error) {
	s.mu.Lock()
	s.asked[in.GetAddr()] = time.Now()
	s.mu.Unlock()
	s.take(in)
	return s.report(in.GetServersVersion()), nil
}

func (s *Service) take(in *Report) {
	now := time.Now()
	s.mu.Lock()
	if in.GetLeaving() {
		s.members.Left(in.GetAddr(), now)
	} else {
		s.members.Heard(in.GetAddr(), now)
	}
	for _, m := range in.GetMembers() {
		s.members.Told(m.GetAddr(), time.Duration(m.GetAgeMs())*time.Millisecond, now)
	}
	s.mu.Unlock()
	s.beliefs.Take(in)
	s.fetchers[State_ROUTE_TABLE].offer(in.GetAddr(), in.GetTableVersion())
	s.fetchers[State_SERVER_LIST].offer(in.GetAddr(), in.GetServersVersion())
}

func (s *Service) report(servers int64) *Report {
	// The number is read first, so that the report is at least as new.
	number := s.datagrams.last()
	r := s.beliefs.Report(servers)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Addr, r.Incarnation, r.Leaving = s.self, s.incarnation, s.leaving
	r.Placement = number
	r.Members = s.members.Report(time.Now())
	return r
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
		}
	}
}

func (s *Service) adjust(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[string]bool{}
	for _, addr := range s.members.Live(time.Now()) {
		wanted[addr] = true
	}
	for _, addr := range s.seeds {
		wanted[addr] = addr != s.self
	}
	for addr, want := range wanted {
		if _, ok := s.links[addr]; want && !ok {
			lctx, cancel := context.WithCancel(ctx)
			l := &peerLink{addr: addr, cancel: cancel}
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
			kicked = s.wait(ctx, s.Pace())
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
			kicked = s.wait(ctx, redial)
		case !again:
			kicked = s.wait(ctx, s.Pace())
		}
	}
}

// covered reports whether the peer makes the exchanges of this pair: they go both ways,
// so that the side with the lower address makes them as long as it is heard.
func (s *Service) covered(addr string) bool {
	if addr > s.self {
		return false
	}
	pace := s.Pace()
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
	out := s.report(l.servers)
	in, err := NewDRPCPeersClient(l.conn.Conn).Exchange(ctx, out)
	if err != nil {
		return false, err
	}
	s.take(in)
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
			s.beliefs.Lost(l.addr, err)
			return
		}
		s.beliefs.Regained(l.addr)
	}
}

// Pace is the pause between two exchanges with one peer: it grows with their number, so that
// a gateway makes as many exchanges a second before a hundred peers as before eight.
func (s *Service) Pace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return interval * time.Duration(max(len(s.links), fewPeers)) / fewPeers
}

// wait pauses for d or until there is something to announce, and reports whether there is.
func (s *Service) wait(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	kick := s.kick
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-kick:
		return true
	}
	return false
}
