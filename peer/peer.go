// Package peer exchanges state among the gateways by anti-entropy gossip. Several times a second each reports
// to the others which versions of the route table and of the list of servers it has, and how much memory its
// requests occupy on which engine. So a gateway that can't reach the platform's store receives changes from
// those that can, one that starts while the store is down gets everything from its peers, and placement
// accounts for the requests of the others.
//
// Unsolicited messages are small, so that reports of dozens of peers at once get through a link of 10 Mbit/s
// within callTimeout. Large state is fetched by the gateway that lacks it, from one peer at a time, in parts.
//
// The gateways need no consensus: positions of the store only grow, also if it is restored from a copy (see
// store.Position), and so do versions of the route table. Each gateway adopts the newest one that it receives,
// and reported placement is a hint that expires.
package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// LocalState is the gateway's state that is reported to peers and updated from their reports. It must be safe
// for concurrent use.
type LocalState interface {
	// Report returns the report for a peer with the list of servers of this position; changes that the peer
	// lacks are included if they are few. Members are left out.
	Report(servers store.Position) *Report
	// Receive handles a report of a peer.
	Receive(r *Report)
	// Version is the version of the state in force; zero if there is none. That of the list of servers is a
	// store.Position, that of the route table the operator's number.
	Version(state State) int64
	// EncodedState returns a state and its version; nil if there is none. The bytes must not be modified.
	EncodedState(state State) (version int64, data []byte)
	// ApplyState applies a state that was fetched from a peer. An error means that it can't be used.
	ApplyState(state State, version int64, data []byte, from string) error
	// Uptime reads a clock that keeps running while the VM is suspended.
	Uptime() time.Duration
	// ReceiveProof handles a peer's statement that a version of the route table was the newest at a time of
	// Uptime, in this era of the store.
	ReceiveProof(version, era int64, at time.Duration)
	// StoreLost reports whether the last call to the store failed.
	StoreLost() bool
	// Fetched is called after each fetch.
	Fetched(f Fetch)
	// ReceivePlacement handles a datagram of a peer. Datagrams may be lost, duplicated or reordered; the next
	// report makes up for it.
	ReceivePlacement(p *Placement)
	// PeerLost is called when exchanges with a peer start to fail, PeerRegained when they succeed again.
	PeerLost(addr string, err error)
	PeerRegained(addr string)
}

// Service exchanges reports with the other gateways.
type Service struct {
	net   Network
	local LocalState
	self  string
	// incarnation distinguishes this process from earlier ones at the same address.
	incarnation uint64
	meter       link.Meter
	limits      link.Limits
	traffic     trafficMeter
	datagrams   *datagrams
	server      stateServer
	fetchers    map[State]*fetcher

	mu      sync.Mutex
	members *Members
	seeds   []string
	links   map[string]*peerLink
	// pendingRequests is the number of exchanges requested while there were too few links; the next new links
	// make them.
	pendingRequests int
	// memberAdded receives a token when a gateway becomes known.
	memberAdded chan struct{}
	// lastInbound is the time of the last exchange that each peer initiated.
	lastInbound map[string]time.Time
	// reportedProofs is the time of the proof that each peer last reported. It is a hint for whom to query: a
	// report may have been in transit for any time, so the proof itself counts only in a response.
	reportedProofs map[string]time.Time
	leaving        bool
}

// New returns the service of the gateway that listens at self. Datagrams use port, the same at every gateway;
// zero disables them.
func New(self string, port int, seeds []string, local LocalState) *Service {
	s := &Service{
		net: tcpNetwork{}, local: local, self: self, members: NewMembers(self), seeds: seeds,
		datagrams: newDatagrams(port), incarnation: rand.Uint64(),
		links: map[string]*peerLink{}, lastInbound: map[string]time.Time{}, reportedProofs: map[string]time.Time{}, memberAdded: make(chan struct{}, 1),
		server: stateServer{local: local, compressed: map[State][]compressedState{}},
	}
	s.fetchers = map[State]*fetcher{
		State_ROUTE_TABLE: newFetcher(s, State_ROUTE_TABLE, tableGrace),
		State_SERVER_LIST: newFetcher(s, State_SERVER_LIST, serversGrace),
	}
	return s
}

// SetLimits bounds what connections to this gateway can make it hold. It must be called before Run.
func (s *Service) SetLimits(l link.Limits) { s.limits = l }

// Run listens and exchanges reports until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	lis, err := s.net.Listen(s.self)
	if err != nil {
		return err
	}
	if err := s.datagrams.listen(ctx, s.self, s.local.ReceivePlacement); err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := DRPCRegisterPeers(mux, s); err != nil {
		return err
	}
	go s.maintainLinks(ctx)
	for _, f := range s.fetchers {
		go f.run(ctx)
	}
	return link.ServeMux(ctx, lis, mux, s.limits)
}

// SetSeeds replaces the addresses that are contacted besides the known members.
func (s *Service) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Broadcast sends p in datagrams to all reachable peers. It fills in the sender.
func (s *Service) Broadcast(p *Placement) {
	s.Send(s.Reachable(), p)
}

// Send sends p in datagrams to some peers. It fills in the sender.
func (s *Service) Send(to []string, p *Placement) {
	p.Addr, p.Incarnation = s.self, s.incarnation
	s.datagrams.send(to, p)
}

// Reachable returns the addresses of the other gateways that communicate.
func (s *Service) Reachable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Reachable(time.Now())
}

// Announce triggers an exchange with every peer at once. It is for updates that only this gateway has, since
// each call costs an exchange with each peer.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.requestExchange()
	}
}

// QueryPeers triggers an exchange at once with the peer that last reported the newest proof, and with a randomly
// chosen one, since the first may be cut off by now.
func (s *Service) QueryPeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newestProof()
	if l, ok := s.links[newest]; ok {
		l.requestExchange()
		s.requestExchanges(queryPeers-1, newest)
		return
	}
	s.requestExchanges(queryPeers, "")
}

// newestProof returns the peer that reported the newest proof; empty if none has reported any. The caller holds mu.
func (s *Service) newestProof() string {
	var newest string
	for addr, at := range s.reportedProofs {
		if newest == "" || at.After(s.reportedProofs[newest]) {
			newest = addr
		}
	}
	return newest
}

// Spread triggers an exchange with a few randomly chosen peers at once. It is for updates that came from
// another gateway or that all gateways read from the store at the same moment: peers that the source could not
// reach receive them from others.
func (s *Service) Spread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestExchanges(spreadPeers, "")
}

// requestExchanges triggers an exchange with randomly chosen peers other than except. The caller holds mu.
func (s *Service) requestExchanges(peers int, except string) {
	// Go iterates over maps in random order.
	for addr, l := range s.links {
		if peers == 0 {
			return
		}
		if addr == except {
			continue
		}
		l.requestExchange()
		peers--
	}
	s.pendingRequests = max(s.pendingRequests, peers)
}

// Leave announces to the peers that this gateway accepts no new work.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.Announce()
}

// LiveGateways is the number of live gateways, including this one.
func (s *Service) LiveGateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members.Live(time.Now())) + 1
}

// Rank is the number of live gateways with a lower address. At most one gateway at a time has rank zero,
// unless gateways can't reach each other.
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

// Sent is the number of bytes sent over connections that this side dialled.
func (s *Service) Sent() int64 { return s.meter.Sent() }

// Received is the number of bytes received over connections that this side dialled.
func (s *Service) Received() int64 { return s.meter.Received() }

// Traffic returns the counts of exchanges since the start.
func (s *Service) Traffic() Traffic { return s.traffic.snapshot() }

// Exchange implements DRPCPeersServer.
func (s *Service) Exchange(_ context.Context, in *Report) (*Report, error) {
	s.mu.Lock()
	s.lastInbound[in.GetAddr()] = time.Now()
	known := s.members.Knows(in.GetAddr(), in.GetIncarnation())
	s.mu.Unlock()
	s.receive(in)
	// A gateway that has just started gets the complete list of members.
	return s.report(in.ServersPosition(), !known), nil
}

func (s *Service) receive(in *Report) {
	now := time.Now()
	if s.receiveMembers(in, now) {
		notify.Send(s.memberAdded)
	}
	s.local.Receive(in)
	s.fetchers[State_ROUTE_TABLE].offer(in.GetAddr(), in.GetTableVersion())
	s.fetchers[State_SERVER_LIST].offer(in.GetAddr(), int64(in.ServersPosition()))
}

// receiveMembers records the sender of a report and the members that it names, and reports whether any of them
// is new.
func (s *Service) receiveMembers(in *Report, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, linked := s.links[in.GetAddr()]; linked && in.GetProvedVersion() > 0 {
		s.reportedProofs[in.GetAddr()] = now.Add(-time.Duration(in.GetProvedAgeMs()) * time.Millisecond)
	}
	added := false
	if in.GetLeaving() {
		s.members.RecordLeaving(in.GetAddr(), in.GetIncarnation(), now)
	} else {
		added = s.members.RecordContact(in.GetAddr(), in.GetIncarnation(), now)
	}
	for _, m := range in.GetMembers() {
		age := time.Duration(m.GetAgeMs()) * time.Millisecond
		added = s.members.RecordReported(m.GetAddr(), m.GetIncarnation(), age, now) || added
	}
	return added
}

// report returns the report for a peer with the list of servers of this position, with all members if all is
// set.
func (s *Service) report(servers store.Position, all bool) *Report {
	// The number is read first, so the report is at least as recent as that placement.
	number := s.datagrams.lastNumber()
	r := s.local.Report(servers)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Addr, r.Incarnation, r.Leaving = s.self, s.incarnation, s.leaving
	r.Placement = number
	r.Members = s.members.Report(all, time.Now())
	return r
}
