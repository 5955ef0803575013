package gateway

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/serverlimit"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

func encodeShares(placed []kvmemory.Share) []*peer.Share {
	out := make([]*peer.Share, 0, len(placed))
	for _, share := range placed {
		out = append(out, encodeShare(share))
	}
	return out
}

func encodeShare(s kvmemory.Share) *peer.Share {
	start := registry.ParseID(s.ID)
	out := &peer.Share{Server: start.Instance, Start: start.Tag(), Tokens: uint32(max(s.Tokens, 0)), Runs: uint32(s.Runs)}
	if s.Runs == 0 {
		return out
	}
	for i := range kvmemory.NumHorizons {
		out.Mean = append(out.Mean, uint32(s.Forecast.Mean[i]))
		out.Variance = append(out.Variance, uint64(s.Forecast.Variance[i]))
	}
	out.Most = uint32(s.Forecast.Max)
	return out
}

// decodeLoad decodes a share. One without a forecast, as gateways of earlier versions send,
// counts as held for good.
func decodeLoad(s *peer.Share) kvmemory.Load {
	l := kvmemory.Load{Tokens: int(s.GetTokens()), Runs: int(s.GetRuns())}
	mean, variance := s.GetMean(), s.GetVariance()
	if len(mean) != kvmemory.NumHorizons || len(variance) != kvmemory.NumHorizons {
		l.Forecast = kvmemory.Constant(l.Tokens)
		return l
	}
	for i := range kvmemory.NumHorizons {
		l.Forecast.Mean[i], l.Forecast.Variance[i] = float64(mean[i]), float64(variance[i])
	}
	l.Forecast.Max = mostOf(s)
	return l
}

// untoldMost is how many times what runs are thought to take they hold at most, for a gateway of an earlier
// version, which does not tell it: callers' hints are seldom wrong by more than a factor of two.
const untoldMost = 2

// mostOf is what the runs of a share hold at most, in tokens.
func mostOf(s *peer.Share) float64 {
	if s.GetMost() == 0 {
		return untoldMost * float64(s.GetTokens())
	}
	return float64(s.GetMost())
}

func encodeFailures(ids []string) []*peer.Failure {
	out := make([]*peer.Failure, 0, len(ids))
	for _, id := range ids {
		start := registry.ParseID(id)
		out = append(out, &peer.Failure{Server: start.Instance, Start: start.Tag()})
	}
	return out
}

// encodeUsages is nil if there is nothing to tell.
func encodeUsages(told []limit.ReportedUsage, informed bool) *peer.Usages {
	if len(told) == 0 {
		return nil
	}
	out := &peer.Usages{Informed: informed}
	for _, t := range told {
		out.Customers = append(out.Customers, &peer.Usage{
			Customer: t.Customer, Charged: t.Charged, Returned: t.Returned, Demand: t.Demand, Left: t.Remaining,
		})
	}
	return out
}

func decodeUsages(u *peer.Usages) []limit.ReportedUsage {
	told := make([]limit.ReportedUsage, 0, len(u.GetCustomers()))
	for _, t := range u.GetCustomers() {
		told = append(told, limit.ReportedUsage{
			Customer: t.GetCustomer(), Charged: t.GetCharged(), Returned: t.GetReturned(), Demand: t.GetDemand(), Remaining: t.GetLeft(),
		})
	}
	return told
}

// encodeServerLimits is nil if there is nothing to tell.
func encodeServerLimits(n forward.ServerLimitUpdates, now time.Time) *peer.ServerLimits {
	if len(n.Limits)+len(n.Used) == 0 {
		return nil
	}
	out := &peer.ServerLimits{Sent: encodeUsages(n.Used, n.Informed)}
	for _, t := range n.Limits {
		out.Limits = append(out.Limits, &peer.ServerLimit{
			Server: t.ID, Limited: t.Limited, PerSecond: t.PerSecond, AgeMs: uint32(max(now.Sub(t.At).Milliseconds(), 0)),
		})
	}
	return out
}

// decodeServerLimits leaves out what no server can have said, as a faulty process may tell.
func decodeServerLimits(told *peer.ServerLimits, now time.Time) forward.ServerLimitUpdates {
	out := forward.ServerLimitUpdates{Used: decodeUsages(told.GetSent()), Informed: told.GetSent().GetInformed()}
	for _, t := range told.GetLimits() {
		l := serverlimit.Limit{Limited: t.GetLimited(), PerSecond: t.GetPerSecond()}
		if !l.Valid() {
			continue
		}
		at := now.Add(-time.Duration(t.GetAgeMs()) * time.Millisecond)
		out.Limits = append(out.Limits, serverlimit.ReportedLimit{ID: t.GetServer(), Statement: serverlimit.Statement{Limit: l, At: at}})
	}
	return out
}

func encodeServers(list []registry.Server) []*peer.Server {
	out := make([]*peer.Server, 0, len(list))
	for _, v := range list {
		out = append(out, &peer.Server{
			Id: v.Instance(), Born: v.Born, Service: v.Service, Addr: v.Addr, Zone: v.Zone,
			Slots: uint32(v.Slots), Stage: uint32(v.Stage), Leaving: v.Leaving, Unusable: v.Unusable,
		})
	}
	return out
}

// decodeServers decodes what another gateway told. A server that can't be one, as a faulty
// process may tell, is listed without new work.
func decodeServers(list []*peer.Server) []registry.Server {
	out := make([]registry.Server, 0, len(list))
	for _, v := range list {
		s := registry.Server{
			ID: registry.Incarnation{Instance: v.GetId(), Born: v.GetBorn()}.ID(), Born: v.GetBorn(),
			Service: v.GetService(), Addr: v.GetAddr(), Zone: v.GetZone(),
			Slots: int(v.GetSlots()), Stage: registry.Stage(v.GetStage()), Leaving: v.GetLeaving(),
		}
		s.Unusable = v.GetUnusable() || !s.Valid() || s.Instance() != v.GetId()
		out = append(out, s)
	}
	return out
}
