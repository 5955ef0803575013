package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
)

// AccessPath is the path, next to the metrics, at which a gateway serves its Access.
const AccessPath = "/access"

// Access describes whom a gateway serves: its customers, how recently its configuration was proved to be the newest,
// and which requests it rejected. It holds no keys.
type Access struct {
	VM string `json:"vm"`
	// Version is that of the configuration in force; zero if there is none.
	Version int64 `json:"version"`
	// ProofAgeMs is how long ago the configuration was proved to be the newest; -1 if it never was, or if no keys are
	// required. Trusted is set while requests with keys are served under it.
	ProofAgeMs int64 `json:"proof_age_ms"`
	Trusted    bool  `json:"trusted"`
	// Unresponsive is the number of other gateways that do not report.
	Unresponsive int64            `json:"silent_gateways"`
	Customers    []CustomerAccess `json:"customers"`
	// Refused counts the rejected requests by reason since the start, Refusals are the latest of them.
	Refused  map[outcome.Reason]int64 `json:"refused"`
	Refusals []forward.Refusal        `json:"refusals"`
}

// CustomerAccess is the quota of one customer and its use.
type CustomerAccess struct {
	Name string `json:"name"`
	Keys int    `json:"keys"`
	// Unit is the unit of the other fields; Rate is zero where there is no bound.
	Unit  string  `json:"unit"`
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
	// Left is the remaining quota of this gateway and those that report to it, Share the part of the quota
	// that these may use.
	Left  float64 `json:"left"`
	Share float64 `json:"share"`
	// Used is the cost admitted here since the start, DemandPerS the demand at this gateway.
	Used       float64 `json:"used_here"`
	DemandPerS float64 `json:"demand_here_per_s"`
	// Memory is what the customer's requests hold on decode engines at all gateways, MemoryWaiting what its waiting
	// requests need, and MemoryShare what it may hold before its requests yield to those of others, all in tokens.
	// MemoryWeight is its weight relative to the mean of all customers.
	Memory        int     `json:"memory_tokens"`
	MemoryWaiting int     `json:"memory_waiting_tokens"`
	MemoryShare   int     `json:"memory_share_tokens"`
	MemoryWeight  float64 `json:"memory_weight"`
	// Ordered is set while the demand exceeds the quota and it is spent in the order of Classes, the first one first.
	Ordered bool          `json:"ordered"`
	Classes []ClassAccess `json:"classes,omitempty"`
}

// ClassAccess is one class of a customer's requests.
type ClassAccess struct {
	// Name is the priority of the routes, p0 being the most urgent, and the tier of cost.
	Name string `json:"name"`
	// DemandPerS is that of all gateways; Admitted is the part of the recent demand here that was admitted.
	DemandPerS float64 `json:"demand_per_s"`
	Admitted   float64 `json:"admitted_here"`
}

func (s *Service) access() Access {
	a := Access{
		VM: s.settings.VM, Version: max(s.view.version(), 0), ProofAgeMs: s.proofAge(), Unresponsive: s.quotas.unresponsiveGateways(),
		Customers: []CustomerAccess{}, Refused: map[outcome.Reason]int64{}, Refusals: s.fwd.Refusals(),
	}
	a.Trusted = !s.requiresKeys() || s.proofs.bounds.Trusted(s.proofs.age())
	for _, r := range forward.AccessReasons {
		a.Refused[r] = s.metrics.Counter(metrics.RefusedPrefix + string(r)).Count()
	}
	if t := s.view.Table(); t != nil && t.Tenants != nil {
		states := s.quotas.states()
		for _, tenant := range t.Tenants.List() {
			c := customerAccess(tenant.Name, len(tenant.Keys), tenant.Quota.Unit.String(), states[tenant.Name])
			h := s.fwd.CustomerHolding(tenant.Name)
			c.Memory, c.MemoryWaiting, c.MemoryShare, c.MemoryWeight = h.Held, h.Waiting, h.Share, h.Weight
			a.Customers = append(a.Customers, c)
		}
	}
	return a
}

func customerAccess(name string, keys int, unit string, q limit.State) CustomerAccess {
	var classes []ClassAccess
	for _, c := range q.Classes {
		classes = append(classes, ClassAccess{Name: c.Class.String(), DemandPerS: c.Demand, Admitted: c.AdmittedShare})
	}
	return CustomerAccess{
		Name: name, Keys: keys, Unit: unit, Rate: q.Rate, Burst: q.Burst, Left: q.Remaining, Share: 1 - q.ReservedShare,
		Used: q.Charged, DemandPerS: q.Demand, Ordered: q.Ordered, Classes: classes,
	}
}

func (s *Service) handleAccess(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, AccessPath, s.access())
}

// writeJSON answers a request for the report at a path.
func (s *Service) writeJSON(w http.ResponseWriter, path string, report any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		event.Library.Log(s.log).Str("path", path).Err(err).Msg("")
	}
}
