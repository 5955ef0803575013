package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

var _ peer.LocalState = (*Service)(nil)

// maxReportServers bounds the servers in a report: 8 kB, which twenty gateways can send over a link of 10 Mbit/s in
// 130 ms. A gateway that lacks more fetches the list.
const maxReportServers = 100

// maxReportedProofAge bounds the age of a reported proof: an older one lets no gateway serve.
const maxReportedProofAge = time.Minute

// exchangeReports runs the exchange with the other gateways. Without it the process continues with its own reads
// from the store.
func (s *Service) exchangeReports(ctx context.Context) {
	if s.settings.ControlAddr == "" {
		return
	}
	if err := s.peers.Run(ctx); err != nil && ctx.Err() == nil {
		event.PeerLost.Log(s.log).Str("peer", "all").Err(err).Msg("")
	}
}

// Report implements peer.LocalState. Of the route table it holds the version alone: when whole tables were sent to every
// gateway that seemed to be behind, tables that all gateways had filled the links of small VMs for minutes, 23 MB a
// second over 21 gateways by event 725, and newer ones did not come through.
func (s *Service) Report(servers store.Position) *peer.Report {
	r := &peer.Report{Vm: s.settings.VM, TableVersion: s.Version(peer.State_ROUTE_TABLE)}
	changed, update := s.view.serversSince(servers)
	r.ServersEra, r.ServersVersion = changed.Era(), changed.Version()
	if changed != servers {
		r.ServersDigest = s.view.digest()
	}
	if update != nil && len(update.servers)+len(update.removed) <= maxReportServers {
		r.ServersTold, r.ServersBase, r.RemovedServers = true, update.base.Version(), update.removed
		r.Servers = encodeServers(update.servers)
	}
	r.ReadAgeMs = uint32(s.view.confirmedAge(time.Now()).Milliseconds())
	if proof, age, known := s.proofs.latest(); known && age < maxReportedProofAge {
		r.ProvedVersion, r.ProvedEra, r.ProvedAgeMs = proof.Version, proof.Era, uint32(age.Milliseconds())+1
	}
	r.Shares = encodeShares(s.fwd.Placements())
	r.CustomerMemory = encodeCustomerMemory(s.fwd.CustomerMemory())
	r.Usages = s.quotas.report(false)
	r.LeavingServers = s.view.leaving.all()
	r.ServerLimits = encodeServerLimits(s.fwd.ServerLimits().Report(false), time.Now())
	r.Suspects = s.guard.Report(max(minSuspectReportTime, suspectReportExchanges*s.peers.ExchangeInterval()))
	now := time.Now()
	for service, use := range s.fwd.ServiceLoads() {
		r.Readings = append(r.Readings, &peer.Reading{
			Service: service, TokensPerS: use.PromptRate, EngineTokensPerS: use.EnginePrefillRate, WantedTokens: use.MemoryDemand,
		})
	}
	for id, sw := range s.view.switches() {
		incarnation := registry.ParseID(id)
		r.Switches = append(r.Switches, &peer.Switch{
			Server: incarnation.Instance, Start: incarnation.Tag(), Stage: uint32(sw.to), AgeMs: uint32(now.Sub(sw.at).Milliseconds()),
		})
	}
	return r
}

// Receive implements peer.LocalState.
func (s *Service) Receive(r *peer.Report) {
	now := time.Now()
	from := "gateway " + r.GetVm()
	s.view.adoptVersion(r.ServersPosition(), r.GetServersDigest(), now)
	if r.GetServersTold() {
		s.receiveServers(decodeServersUpdate(r), from)
	}
	s.view.confirm(r.ServersPosition(), time.Duration(r.GetReadAgeMs())*time.Millisecond, now)
	for _, sw := range r.GetSwitches() {
		s.view.recordSwitch(s.view.incarnationID(sw.GetServer(), sw.GetStart()), registry.Stage(sw.GetStage()), time.Duration(sw.GetAgeMs())*time.Millisecond, now)
	}
	s.view.receiveLeaving(r.GetLeavingServers())
	s.guard.Receive(r.GetSuspects(), from)
	s.quotas.receive(r.GetAddr(), r.GetIncarnation(), true, r.GetUsages())
	s.fwd.ServerLimits().Receive(r.GetAddr(), r.GetIncarnation(), true, decodeServerLimits(r.GetServerLimits(), now))
	s.fwd.SetPeerLoads(s.peerLoads.receiveReport(r, now))
	s.announceCustomerMemory()
}

// receiveServers applies a server list, or changes to it, from another gateway.
func (s *Service) receiveServers(update serversUpdate, from string) {
	s.logRestored(update.version, s.view.readPosition(), from)
	if s.view.applyServersUpdate(update, time.Now()) {
		s.serversChanged(update.version, from)
	}
}

// ReceivePlacement implements peer.LocalState.
func (s *Service) ReceivePlacement(p *peer.Placement) {
	if s.receiveStreams(p) {
		return
	}
	s.view.receiveLeaving(p.GetLeavingServers())
	s.view.receiveListedLeaving(p.GetListedLeaving())
	s.guard.Receive(p.GetSuspects(), "gateway "+p.GetAddr())
	s.quotas.receive(p.GetAddr(), p.GetIncarnation(), false, p.GetUsages())
	s.fwd.ServerLimits().Receive(p.GetAddr(), p.GetIncarnation(), false, decodeServerLimits(p.GetServerLimits(), time.Now()))
	for _, failed := range p.GetFailures() {
		id := s.view.incarnationID(failed.GetServer(), failed.GetStart())
		s.fwd.ReceiveFailure(p.GetAddr(), forward.EngineFailure{ID: id, Inconclusive: failed.GetInconclusive()})
	}
	for _, e := range p.GetRecovered() {
		s.fwd.ReceiveRecovered(p.GetAddr(), s.view.incarnationID(e.GetServer(), e.GetStart()))
	}
	for _, e := range p.GetTrials() {
		s.fwd.ReceiveTrial(s.view.incarnationID(e.GetServer(), e.GetStart()))
	}
	if changed := s.peerLoads.receivePlacement(p, time.Now()); len(changed) > 0 {
		s.fwd.SetPeerLoads(changed)
	}
	s.announceCustomerMemory()
}

// datagramBatchInterval is how long changes of placement are batched for one datagram: a request that ends frees
// memory that the next one takes within it.
const datagramBatchInterval = 2 * time.Millisecond

// announceChanges sends the other gateways changes of placement, used quotas, failing engines, server limits and
// leaving servers, until ctx ends.
func (s *Service) announceChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fwd.PlacementChanged():
		case <-s.quotas.changed:
		case <-s.fwd.ServerLimits().Changed():
		case <-s.view.leaving.changed:
		}
		sleep.For(ctx, datagramBatchInterval)
		recovered, trials := s.fwd.TakeRecovered()
		update := &peer.Placement{
			Shares: encodeShares(s.fwd.TakeChangedPlacements()), Usages: s.quotas.report(true), Failures: encodeFailures(s.fwd.TakeFailures()),
			ServerLimits: encodeServerLimits(s.fwd.ServerLimits().Report(true), time.Now()), LeavingServers: s.view.leaving.takeUpdates(),
			ListedLeaving: s.view.leaving.takeListed(),
			Recovered:     encodeEngineRefs(recovered), Trials: encodeEngineRefs(trials),
			CustomerMemory: encodeCustomerMemory(s.fwd.TakeChangedCustomerMemory()),
		}
		if proto.Size(update) > 0 {
			s.peers.Broadcast(update)
		}
	}
}

// PeerLost implements peer.LocalState.
func (s *Service) PeerLost(addr string, err error) {
	s.quotas.markUnresponsive(addr)
	s.fwd.ServerLimits().MarkUnresponsive(addr)
	event.PeerLost.Log(s.log).Str("peer", addr).Err(err).Msg("")
}

// PeerRegained implements peer.LocalState.
func (s *Service) PeerRegained(addr string) {
	event.PeerRegained.Log(s.log).Str("peer", addr).Msg("")
}
