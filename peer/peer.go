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

// LocalState are what a gateway tells and takes. It must be safe for concurrent use.
type LocalState interface {
	// Report returns what is told to a peer that has this version of the list of servers;
	// changes that it lacks are included if they are few. Members are left out.
	Report(servers int64) *Report
	// Receive takes what a peer told.
	Receive(r *Report)
	// Version is that of the state in force here; zero if there is none.
	Version(state State) int64
	// EncodedState returns a state and its version; nil if there is none. The bytes must not be
	// changed.
	EncodedState(state State) (version int64, data []byte)
	// ApplyState takes a state that was fetched from a peer. An error means that it can't be used.
	ApplyState(state State, version int64, data []byte, from string) error
	// Uptime is a clock that goes on while the VM is suspended.
	Uptime() time.Duration
	// ReceiveProof takes from a peer that a version of the route table was the newest at a time of Uptime.
	ReceiveProof(version int64, at time.Duration)
	// StoreLost reports whether the last call of the store failed.
	StoreLost() bool
	// Fetched is called after each fetch.
	Fetched(f Fetch)
	// ReceivePlacement takes what a peer told in a datagram. Datagrams may be lost, come
	// twice or in another order; the next report makes good for it.
	ReceivePlacement(p *Placement)
	// PeerLost and Regained are called when a peer is not heard any more, and when it is again.
	PeerLost(addr string, err error)
	PeerRegained(addr string)
}

// Service exchanges reports with the other gateways.
type Service struct {
	net     Network
	beliefs LocalState
	self    string
	// incarnation tells this process from the ones before it at the same address.
	incarnation uint64
	meter       link.Meter
	traffic     trafficMeter
	datagrams   *datagrams
	server      stateServer
	fetchers    map[State]*fetcher

	mu      sync.Mutex
	members *Members
	seeds   []string
	links   map[string]*peerLink
	// grown is sent to when a gateway that was not known has been heard of.
	grown chan struct{}
	// asked is when each peer last made an exchange.
	asked   map[string]time.Time
	leaving bool
}

// New returns the service of the gateway that listens at self.
// Datagrams are exchanged on port, the same at every gateway; zero means none.
func New(self string, port int, seeds []string, b LocalState) *Service {
	s := &Service{
		net: tcp{}, beliefs: b, self: self, members: NewMembers(self), seeds: seeds,
		datagrams: newDatagrams(port), incarnation: rand.Uint64(),
		links: map[string]*peerLink{}, asked: map[string]time.Time{}, grown: make(chan struct{}, 1),
		server: stateServer{beliefs: b, packed: map[State]packedState{}},
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
	if err := s.datagrams.listen(ctx, s.self, s.beliefs.ReceivePlacement); err != nil {
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

// Broadcast tells all live peers of what has just changed, in datagrams. Who tells it is filled in.
func (s *Service) Broadcast(p *Placement) {
	s.mu.Lock()
	reached := s.members.Reached(time.Now())
	s.mu.Unlock()
	p.Addr, p.Incarnation = s.self, s.incarnation
	s.datagrams.send(reached, p)
}

// Announce has all peers told at once. It is for news that this gateway alone has, since each call costs an
// exchange with each peer.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.tellNow()
	}
}

// QueryPeers makes an exchange with a few peers at once, which are drawn anew each time.
func (s *Service) QueryPeers() { s.kick(askOf) }

// Spread has a few peers told at once, which are drawn anew each time. It is for news that came from another
// gateway, or that all read from the store at the same moment: those whom its source could not tell hear of
// them from others.
func (s *Service) Spread() { s.kick(spreadTo) }

func (s *Service) kick(peers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The order of a map is drawn by the runtime.
	for _, l := range s.links {
		if peers == 0 {
			return
		}
		l.tellNow()
		peers--
	}
}

// Leave tells the peers that this gateway takes no new work.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.Announce()
}

// LiveGateways is the number of live gateways, this one included.
func (s *Service) LiveGateways() int {
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
	known := s.members.Knows(in.GetAddr(), in.GetIncarnation())
	s.mu.Unlock()
	s.take(in)
	// One that has just started is told of all at once.
	return s.report(in.GetServersVersion(), !known), nil
}

func (s *Service) take(in *Report) {
	now := time.Now()
	if s.takeMembers(in, now) {
		select {
		case s.grown <- struct{}{}:
		default:
		}
	}
	s.beliefs.Receive(in)
	s.fetchers[State_ROUTE_TABLE].offer(in.GetAddr(), in.GetTableVersion())
	s.fetchers[State_SERVER_LIST].offer(in.GetAddr(), in.GetServersVersion())
}

// takeMembers takes who a report comes from and whom it names, and reports whether any of them is new here.
func (s *Service) takeMembers(in *Report, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	grown := false
	if in.GetLeaving() {
		s.members.Left(in.GetAddr(), in.GetIncarnation(), now)
	} else {
		grown = s.members.Heard(in.GetAddr(), in.GetIncarnation(), now)
	}
	for _, m := range in.GetMembers() {
		age := time.Duration(m.GetAgeMs()) * time.Millisecond
		grown = s.members.Told(m.GetAddr(), m.GetIncarnation(), age, now) || grown
	}
	return grown
}

// report is what is told to a peer that has this version of the list of servers. With all it names every member.
func (s *Service) report(servers int64, all bool) *Report {
	// The number is read first, so that the report is at least as new.
	number := s.datagrams.last()
	r := s.beliefs.Report(servers)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Addr, r.Incarnation, r.Leaving = s.self, s.incarnation, s.leaving
	r.Placement = number
	r.Members = s.members.Report(all, time.Now())
	return r
}
