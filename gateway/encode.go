package gateway

import (
	"hash/fnv"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/serverlimit"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

func encodeShares(shares []kvmemory.Share) []*peer.Share {
	out := make([]*peer.Share, 0, len(shares))
	for _, share := range shares {
		out = append(out, encodeShare(share))
	}
	return out
}

func encodeShare(s kvmemory.Share) *peer.Share {
	incarnation := registry.ParseID(s.ID)
	out := &peer.Share{Server: incarnation.Instance, Start: incarnation.Tag(), Tokens: uint32(max(s.Tokens, 0)), Runs: uint32(s.Runs), Held: uint32(max(s.Held, 0))}
	if s.Runs == 0 {
		return out
	}
	for i := range kvmemory.NumHorizons {
		out.Mean = append(out.Mean, uint32(bounded.Count(s.Forecast.Mean[i])))
		out.Variance = append(out.Variance, uint64(bounded.Amount(s.Forecast.Variance[i])))
	}
	out.Most = uint32(bounded.Count(s.Forecast.Max))
	if perToken := s.Pace.PerToken(); perToken > 0 {
		out.TokenMicros, out.TokenWeight = uint32(bounded.Count(math.Round(1e6*perToken))), uint32(s.Pace.Tokens)
	}
	return out
}

// decodeLoad decodes a share. A share without a forecast, as gateways of earlier versions send, counts as a constant
// load.
func decodeLoad(s *peer.Share) kvmemory.Load {
	l := kvmemory.Load{Tokens: int(s.GetTokens()), Runs: int(s.GetRuns()), Held: int(s.GetHeld()), Pace: decodePace(s)}
	mean, variance := s.GetMean(), s.GetVariance()
	if len(mean) != kvmemory.NumHorizons || len(variance) != kvmemory.NumHorizons {
		l.Forecast = kvmemory.Constant(l.Tokens)
		return l
	}
	for i := range kvmemory.NumHorizons {
		l.Forecast.Mean[i], l.Forecast.Variance[i] = float64(mean[i]), float64(variance[i])
	}
	l.Forecast.Max = maxTokens(s)
	return l
}

const (
	// maxTokenMicros and maxTokenWeight bound what a gateway can have observed: an event of a token in ten
	// seconds, and ten thousand runs at a hundred tokens a second.
	maxTokenMicros = 10_000_000
	maxTokenWeight = 1_000_000
)

// decodePace drops a pace that no gateway can have observed, which a faulty process may report.
func decodePace(s *peer.Share) enginepace.Evidence {
	if s.GetTokenMicros() > maxTokenMicros || s.GetTokenWeight() > maxTokenWeight {
		return enginepace.Evidence{}
	}
	return enginepace.Evidence{Tokens: int(s.GetTokenWeight()), Micros: int(s.GetTokenWeight()) * int(s.GetTokenMicros())}
}

// unreportedMaxFactor is the ratio of the maximum to the expected memory of runs that is assumed for gateways of
// earlier versions, which do not report the maximum: callers' length hints are seldom wrong by more than a factor of
// two.
const unreportedMaxFactor = 2

// maxTokens returns the maximum memory of a share's runs, in tokens.
func maxTokens(s *peer.Share) float64 {
	if s.GetMost() == 0 {
		return unreportedMaxFactor * float64(s.GetTokens())
	}
	return float64(s.GetMost())
}

func encodeFailures(failures []forward.EngineFailure) []*peer.Failure {
	out := make([]*peer.Failure, 0, len(failures))
	for _, e := range failures {
		incarnation := registry.ParseID(e.ID)
		out = append(out, &peer.Failure{Server: incarnation.Instance, Start: incarnation.Tag(), Inconclusive: e.Inconclusive})
	}
	return out
}

func encodeEngineRefs(ids []string) []*peer.EngineRef {
	out := make([]*peer.EngineRef, 0, len(ids))
	for _, id := range ids {
		incarnation := registry.ParseID(id)
		out = append(out, &peer.EngineRef{Server: incarnation.Instance, Start: incarnation.Tag()})
	}
	return out
}

// encodeUsages returns nil if there is nothing to report.
func encodeUsages(usages []limit.ReportedUsage, informed bool) *peer.Usages {
	if len(usages) == 0 {
		return nil
	}
	out := &peer.Usages{Informed: informed}
	for _, usage := range usages {
		out.Customers = append(out.Customers, &peer.Usage{
			Customer: usage.Customer, Charged: usage.Charged, Returned: usage.Returned, Demand: usage.Demand, Left: usage.Remaining,
			DemandByClass: encodeClasses(usage.Classes), Ordered: usage.Ordered,
		})
	}
	return out
}

func decodeUsages(u *peer.Usages) []limit.ReportedUsage {
	usages := make([]limit.ReportedUsage, 0, len(u.GetCustomers()))
	for _, usage := range u.GetCustomers() {
		usages = append(usages, limit.ReportedUsage{
			Customer: usage.GetCustomer(), Charged: bounded.Amount(usage.GetCharged()), Returned: bounded.Amount(usage.GetReturned()),
			Demand: bounded.Amount(usage.GetDemand()), Remaining: bounded.Balance(usage.GetLeft()),
			Classes: decodeClasses(usage.GetDemandByClass()), Ordered: usage.GetOrdered(),
		})
	}
	return usages
}

// encodeClasses encodes the demand by class up to the last one that has any.
func encodeClasses(d *limit.ReportedDemand) []float32 {
	if d == nil {
		return nil
	}
	var out []float32
	for c, demand := range d {
		if demand > 0 {
			out = append(out, make([]float32, c-len(out))...)
			out = append(out, float32(demand))
		}
	}
	return out
}

// decodeClasses returns nil if a gateway reports no classes. Classes of later releases are ignored.
func decodeClasses(demand []float32) *limit.ReportedDemand {
	if len(demand) == 0 {
		return nil
	}
	d := &limit.ReportedDemand{}
	for c := range min(len(d), len(demand)) {
		d[c] = float64(demand[c])
	}
	return d
}

// encodeServerLimits returns nil if there is nothing to report.
func encodeServerLimits(updates forward.ServerLimitUpdates, now time.Time) *peer.ServerLimits {
	if len(updates.Limits)+len(updates.Used) == 0 {
		return nil
	}
	out := &peer.ServerLimits{Sent: encodeUsages(updates.Used, updates.Informed)}
	for _, reported := range updates.Limits {
		out.Limits = append(out.Limits, &peer.ServerLimit{
			Server: reported.ID, Limited: reported.Limited, PerSecond: reported.PerSecond, AgeMs: uint32(max(now.Sub(reported.At).Milliseconds(), 0)),
		})
	}
	return out
}

// decodeServerLimits drops limits that no server can have stated, which a faulty process may report.
func decodeServerLimits(limits *peer.ServerLimits, now time.Time) forward.ServerLimitUpdates {
	out := forward.ServerLimitUpdates{Used: decodeUsages(limits.GetSent()), Informed: limits.GetSent().GetInformed()}
	for _, reported := range limits.GetLimits() {
		l := serverlimit.Limit{Limited: reported.GetLimited(), PerSecond: reported.GetPerSecond()}
		if !l.Valid() {
			continue
		}
		at := now.Add(-time.Duration(reported.GetAgeMs()) * time.Millisecond)
		out.Limits = append(out.Limits, serverlimit.ReportedLimit{ID: reported.GetServer(), Statement: serverlimit.Statement{Limit: l, At: at}})
	}
	return out
}

func encodeServers(list []registry.Server) []*peer.Server {
	out := make([]*peer.Server, 0, len(list))
	for _, v := range list {
		out = append(out, &peer.Server{
			Id: v.Instance(), Born: v.Born, Service: v.Service, Addr: v.Addr, Zone: v.Zone,
			Slots: uint32(v.Slots), Stage: uint32(v.Stage), Leaving: v.Leaving, Unusable: v.Unusable, Version: v.Version,
		})
	}
	return out
}

// encodeList encodes a whole list.
func encodeList(list []registry.Server) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&peer.ServerList{Servers: encodeServers(list)})
}

// digestOf returns a digest of a list that is ordered by ID; zero if the list can't be encoded.
func digestOf(list []registry.Server) uint64 {
	data, err := encodeList(list)
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(data) // A hash returns no error.
	return h.Sum64()
}

// decodeServersUpdate decodes the list of servers, or the changes to it, in a report.
func decodeServersUpdate(r *peer.Report) serversUpdate {
	update := serversUpdate{version: r.ServersPosition(), servers: decodeServers(r.GetServers()), removed: r.GetRemovedServers()}
	if base := r.GetServersBase(); base != 0 {
		update.base = store.At(r.GetServersEra(), base)
	}
	return update
}

// decodeServers decodes the servers that another gateway reported. An invalid server, which a faulty process may
// report, is listed as unusable.
func decodeServers(list []*peer.Server) []registry.Server {
	out := make([]registry.Server, 0, len(list))
	for _, v := range list {
		s := registry.Server{
			ID: registry.Incarnation{Instance: v.GetId(), Born: v.GetBorn()}.ID(), Born: v.GetBorn(),
			Service: v.GetService(), Addr: v.GetAddr(), Zone: v.GetZone(),
			Slots: int(v.GetSlots()), Stage: registry.Stage(v.GetStage()), Leaving: v.GetLeaving(), Version: v.GetVersion(),
		}
		s.Unusable = v.GetUnusable() || !s.Valid() || s.Instance() != v.GetId()
		out = append(out, s)
	}
	return out
}
