package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

var _ peer.LocalState = (*Service)(nil)

// reportServers is the most servers that a report names: 8 kB, which come through a link of 10 Mbit/s
// from twenty gateways in 130 ms. More are fetched by the gateway that lacks them.
const reportServers = 100

// toldProofAge bounds the age of a proof that is told: one that is older lets nobody serve.
const toldProofAge = time.Minute

// meet runs the exchange with the other gateways. Without it the process goes on with
// what it learns itself.
func (s *Service) meet(ctx context.Context) {
	if s.set.Control == "" {
		return
	}
	if err := s.peers.Run(ctx); err != nil && ctx.Err() == nil {
		event.PeerLost.Log(s.log).Str("peer", "all").Err(err).Msg("")
	}
}

// Report implements peer.LocalState. A table is told by its version alone: handed out whole to whoever was
// thought to be behind, tables that all had filled the links of small VMs for minutes, 23 MB a second
// over 21 gateways by event 725, and newer ones did not come through.
func (s *Service) Report(servers int64) *peer.Report {
	r := &peer.Report{Vm: s.set.VM, TableVersion: s.Version(peer.State_ROUTE_TABLE)}
	changed, told := s.view.serversSince(servers)
	r.ServersVersion = changed
	if told != nil && len(told.servers)+len(told.removed) <= reportServers {
		r.ServersTold, r.ServersBase, r.RemovedServers = true, told.base, told.removed
		r.Servers = encodeServers(told.servers)
	}
	r.ReadAgeMs = uint32(s.view.confirmedAge(time.Now()).Milliseconds())
	if version, age, known := s.proofs.newest(); known && age < toldProofAge {
		r.ProvedVersion, r.ProvedAgeMs = version, uint32(age.Milliseconds())+1
	}
	r.Shares = encodeShares(s.fwd.Placements())
	r.Usages = s.quotas.tell(false)
	r.LeavingServers = s.view.leaving.all()
	r.ServerLimits = encodeServerLimits(s.fwd.ServerLimits().Report(false), time.Now())
	r.Suspects = s.guard.Report(max(suspectsTold, suspectsPaces*s.peers.ExchangeInterval()))
	now := time.Now()
	for service, use := range s.fwd.ServiceLoads() {
		r.Readings = append(r.Readings, &peer.Reading{
			Service: service, TokensPerS: use.PromptRate, EngineTokensPerS: use.EnginePrefillRate, WantedTokens: use.MemoryDemand,
		})
	}
	for id, w := range s.view.switches() {
		start := registry.ParseID(id)
		r.Switches = append(r.Switches, &peer.Switch{
			Server: start.Instance, Start: start.Tag(), Stage: uint32(w.to), AgeMs: uint32(now.Sub(w.at).Milliseconds()),
		})
	}
	return r
}

// Receive implements peer.LocalState.
func (s *Service) Receive(r *peer.Report) {
	now := time.Now()
	from := "gateway " + r.GetVm()
	if r.GetServersTold() {
		told := serversTold{
			base: r.GetServersBase(), version: r.GetServersVersion(),
			servers: decodeServers(r.GetServers()), removed: r.GetRemovedServers(),
		}
		s.takeServers(told, from)
	}
	s.view.confirm(r.GetServersVersion(), time.Duration(r.GetReadAgeMs())*time.Millisecond, now)
	for _, w := range r.GetSwitches() {
		s.view.switchTo(s.view.idOf(w.GetServer(), w.GetStart()), registry.Stage(w.GetStage()), time.Duration(w.GetAgeMs())*time.Millisecond, now)
	}
	s.view.toldLeaving(r.GetLeavingServers())
	s.guard.Receive(r.GetSuspects(), from)
	s.quotas.hear(r.GetAddr(), r.GetIncarnation(), true, r.GetUsages())
	s.fwd.ServerLimits().Receive(r.GetAddr(), r.GetIncarnation(), true, decodeServerLimits(r.GetServerLimits(), now))
	s.fwd.SetPeerLoads(s.placed.take(r, now))
}

// takeServers takes a list of servers, or changes to it, from another gateway.
func (s *Service) takeServers(told serversTold, from string) {
	if s.view.toldServers(told, time.Now()) {
		s.serversChanged(told.version, from)
	}
}

// ReceivePlacement implements peer.LocalState.
func (s *Service) ReceivePlacement(p *peer.Placement) {
	s.view.toldLeaving(p.GetLeavingServers())
	s.guard.Receive(p.GetSuspects(), "gateway "+p.GetAddr())
	s.quotas.hear(p.GetAddr(), p.GetIncarnation(), false, p.GetUsages())
	s.fwd.ServerLimits().Receive(p.GetAddr(), p.GetIncarnation(), false, decodeServerLimits(p.GetServerLimits(), time.Now()))
	for _, failed := range p.GetFailures() {
		s.fwd.ReceiveFailure(p.GetAddr(), s.view.idOf(failed.GetServer(), failed.GetStart()))
	}
	if changed := s.placed.change(p, time.Now()); len(changed) > 0 {
		s.fwd.SetPeerLoads(changed)
	}
}

// tellInterval is how long changes of placement are gathered for one datagram: a
// request that ends frees memory that the next one takes within it.
const tellInterval = 2 * time.Millisecond

// tellPlacement tells the other gateways of changed placement, of quotas used, of failing engines and of what servers say of
// themselves, until ctx ends.
func (s *Service) tellPlacement(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fwd.PlacementChanged():
		case <-s.quotas.changed:
		case <-s.fwd.ServerLimits().Changed():
		}
		pause(ctx, tellInterval)
		news := &peer.Placement{
			Shares: encodeShares(s.fwd.TakeChangedPlacements()), Usages: s.quotas.tell(true), Failures: encodeFailures(s.fwd.TakeFailures()),
			ServerLimits: encodeServerLimits(s.fwd.ServerLimits().Report(true), time.Now()), LeavingServers: s.view.leaving.takeNews(),
		}
		if proto.Size(news) > 0 {
			s.peers.Broadcast(news)
		}
	}
}

// PeerLost implements peer.LocalState.
func (s *Service) PeerLost(addr string, err error) {
	s.quotas.lost(addr)
	s.fwd.ServerLimits().MarkUnresponsive(addr)
	event.PeerLost.Log(s.log).Str("peer", addr).Err(err).Msg("")
}

// PeerRegained implements peer.LocalState.
func (s *Service) PeerRegained(addr string) {
	event.PeerRegained.Log(s.log).Str("peer", addr).Msg("")
}
