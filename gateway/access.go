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

// AccessPath is where a gateway tells, beside its metrics, whom it serves.
const AccessPath = "/access"

// Access is whom a gateway serves: its customers, how old its configuration is proved to be, and whom it turned away.
// It holds no keys.
type Access struct {
	VM string `json:"vm"`
	// Version is that of the configuration in force; zero if there is none.
	Version int64 `json:"version"`
	// ProofAgeMs is how long ago it was proved to be the newest; -1 if it never was, or no keys are asked for. Trusted is
	// set while requests with keys are served under it.
	ProofAgeMs int64 `json:"proof_age_ms"`
	Trusted    bool  `json:"trusted"`
	// Silent is the number of other gateways that are not heard.
	Silent    int64            `json:"silent_gateways"`
	Customers []CustomerAccess `json:"customers"`
	// Refused counts requests by reason since the start, Refusals are the last of them.
	Refused  map[outcome.Reason]int64 `json:"refused"`
	Refusals []forward.Refusal        `json:"refusals"`
}

// CustomerAccess is what one customer may use, and uses.
type CustomerAccess struct {
	Name string `json:"name"`
	Keys int    `json:"keys"`
	// Unit is what the others count; Rate is zero where there is no bound.
	Unit  string  `json:"unit"`
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
	// Left is what is left of the quota for this gateway and those that it hears, Share the part of it that these may use.
	Left  float64 `json:"left"`
	Share float64 `json:"share"`
	// Used is what was admitted here since the start, DemandPerS what is asked for here.
	Used       float64 `json:"used_here"`
	DemandPerS float64 `json:"demand_here_per_s"`
}

func (s *Service) access() Access {
	a := Access{
		VM: s.set.VM, Version: max(s.view.version(), 0), ProofAgeMs: s.proofAge(), Silent: s.quotas.silentNow(),
		Customers: []CustomerAccess{}, Refused: map[outcome.Reason]int64{}, Refusals: s.fwd.Refusals(),
	}
	a.Trusted = !s.keyed() || s.proofs.bounds.Trusted(s.proofs.age())
	for _, r := range forward.AccessReasons {
		a.Refused[r] = s.met.Counter(metrics.RefusedPrefix + string(r)).Count()
	}
	if t := s.view.Table(); t != nil && t.Tenants != nil {
		states := s.quotas.states()
		for _, tenant := range t.Tenants.List() {
			a.Customers = append(a.Customers, customerAccess(tenant.Name, len(tenant.Keys), tenant.Quota.Unit.String(), states[tenant.Name]))
		}
	}
	return a
}

func customerAccess(name string, keys int, unit string, q limit.State) CustomerAccess {
	return CustomerAccess{
		Name: name, Keys: keys, Unit: unit, Rate: q.Rate, Burst: q.Burst, Left: q.Remaining, Share: 1 - q.ReservedShare,
		Used: q.Charged, DemandPerS: q.Demand,
	}
}

func (s *Service) answerAccess(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.access()); err != nil {
		event.Library.Log(s.log).Str("path", AccessPath).Err(err).Msg("")
	}
}
