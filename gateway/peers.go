package gateway

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

var _ peer.Beliefs = (*Service)(nil)

// reportServers is the most servers that a report names: 8 kB, which come through a link of 10 Mbit/s
// from twenty gateways in 130 ms. More are fetched by the gateway that lacks them.
const reportServers = 100

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

// Report implements peer.Beliefs. A table is told by its version alone: handed out whole to whoever was
// thought to be behind, tables that all had filled the links of small VMs for minutes, 23 MB a second
// over 21 gateways by event 725, and newer ones did not come through.
func (s *Service) Report(servers int64) *peer.Report {
	r := &peer.Report{Vm: s.set.VM, TableVersion: max(s.view.version(), 0)}
	changed, told := s.view.serversSince(servers)
	r.ServersVersion = changed
	if told != nil && len(told.servers)+len(told.removed) <= reportServers {
		r.ServersTold, r.ServersBase, r.RemovedServers = true, told.base, told.removed
		r.Servers = encodeServers(told.servers)
	}
	r.ReadAgeMs = uint32(s.view.readAge(time.Now()).Milliseconds())
	r.Shares = sharesOf(s.fwd.Placed())
	now := time.Now()
	for service, use := range s.fwd.Uses() {
		r.Readings = append(r.Readings, &peer.Reading{
			Service: service, TokensPerS: use.ReadRate, EngineTokensPerS: use.EngineRate, WantedTokens: use.Held,
		})
	}
	for id, w := range s.view.switches() {
		r.Switches = append(r.Switches, &peer.Switch{Server: id, Stage: uint32(w.to), AgeMs: uint32(now.Sub(w.at).Milliseconds())})
	}
	return r
}

// Take implements peer.Beliefs.
func (s *Service) Take(r *peer.Report) {
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
		s.view.switchTo(w.GetServer(), registry.Stage(w.GetStage()), time.Duration(w.GetAgeMs())*time.Millisecond, now)
	}
	s.fwd.SetOthers(s.placed.take(r, now))
}

// takeServers takes a list of servers, or changes to it, from another gateway.
func (s *Service) takeServers(told serversTold, from string) {
	if s.view.toldServers(told, time.Now()) {
		s.serversChanged(told.version, from)
	}
}

// TakePlacement implements peer.Beliefs.
func (s *Service) TakePlacement(p *peer.Placement) {
	if changed := s.placed.change(p, time.Now()); len(changed) > 0 {
		s.fwd.SetOthers(changed)
	}
}

// tellInterval is how long changes of placement are gathered for one datagram: a
// request that ends frees memory that the next one takes within it.
const tellInterval = 2 * time.Millisecond

// tellPlacement tells the other gateways of changed placement until ctx ends.
func (s *Service) tellPlacement(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fwd.PlacementChanged():
		}
		pause(ctx, tellInterval)
		if shares := sharesOf(s.fwd.TakeChanged()); len(shares) > 0 {
			s.peers.Tell(shares)
		}
	}
}

func sharesOf(placed []kvmemory.Share) []*peer.Share {
	out := make([]*peer.Share, 0, len(placed))
	for _, share := range placed {
		out = append(out, encodeShare(share))
	}
	return out
}

func encodeShare(s kvmemory.Share) *peer.Share {
	out := &peer.Share{Server: s.ID, Tokens: uint32(max(s.Tokens, 0)), Runs: uint32(s.Runs)}
	if s.Runs == 0 {
		return out
	}
	for i := range kvmemory.Ahead {
		out.Mean = append(out.Mean, uint32(s.Ahead.Mean[i]))
		out.Variance = append(out.Variance, uint64(s.Ahead.Variance[i]))
	}
	return out
}

// decodeLoad decodes a share. One without a forecast, as gateways of earlier versions send,
// counts as held for good.
func decodeLoad(s *peer.Share) kvmemory.Load {
	l := kvmemory.Load{Tokens: int(s.GetTokens()), Runs: int(s.GetRuns())}
	mean, variance := s.GetMean(), s.GetVariance()
	if len(mean) != kvmemory.Ahead || len(variance) != kvmemory.Ahead {
		l.Ahead = kvmemory.Constant(l.Tokens)
		return l
	}
	for i := range kvmemory.Ahead {
		l.Ahead.Mean[i], l.Ahead.Variance[i] = float64(mean[i]), float64(variance[i])
	}
	return l
}

func encodeServers(list []registry.Server) []*peer.Server {
	out := make([]*peer.Server, 0, len(list))
	for _, v := range list {
		out = append(out, &peer.Server{
			Id: v.ID, Service: v.Service, Addr: v.Addr, Zone: v.Zone,
			Slots: uint32(v.Slots), Stage: uint32(v.Stage), Leaving: v.Leaving,
		})
	}
	return out
}

func decodeServers(list []*peer.Server) []registry.Server {
	out := make([]registry.Server, 0, len(list))
	for _, v := range list {
		out = append(out, registry.Server{
			ID: v.GetId(), Service: v.GetService(), Addr: v.GetAddr(), Zone: v.GetZone(),
			Slots: int(v.GetSlots()), Stage: registry.Stage(v.GetStage()), Leaving: v.GetLeaving(),
		})
	}
	return out
}

// Lost implements peer.Beliefs.
func (s *Service) Lost(addr string, err error) {
	event.PeerLost.Log(s.log).Str("peer", addr).Err(err).Msg("")
}

// Regained implements peer.Beliefs.
func (s *Service) Regained(addr string) {
	event.PeerRegained.Log(s.log).Str("peer", addr).Msg("")
}
