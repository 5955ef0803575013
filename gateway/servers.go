package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// ServersPath is the path, next to the metrics, at which a gateway serves its Servers.
const ServersPath = "/servers"

// Servers describes whether a gateway asks each server of its list now, and why not.
type Servers struct {
	VM string `json:"vm"`
	// Servers are ordered by ID.
	Servers []ServerState `json:"servers"`
}

// ServerState is one server and what a gateway knows of it.
type ServerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Stage   string `json:"stage"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	// Version is that of the server's software; absent if unknown.
	Version string `json:"version,omitempty"`
	// TokenUs is the time per generated token that is expected there, in microseconds; absent if unknown. Slow is
	// set while it is several times longer than usual.
	TokenUs int64 `json:"token_us,omitempty"`
	Slow    bool  `json:"slow,omitempty"`
	// Decides is the reason of the condition that decides, "none" if there is no condition. Excluded is set while
	// the server is not asked.
	Decides  string `json:"decides"`
	Excluded bool   `json:"excluded"`
	// Conditions are in their order of precedence.
	Conditions []ServerCondition `json:"conditions"`
}

// ServerCondition is one condition of a server; see eligibility.Condition.
type ServerCondition struct {
	Reason string `json:"reason"`
	Author string `json:"author"`
	Effect string `json:"effect"`
	// AgeMs is how long ago it began, LeftMs how long it lasts; -1 if that is not known.
	AgeMs  int64 `json:"age_ms"`
	LeftMs int64 `json:"left_ms"`
	// Share and Cost are set where the effect is reduced or costly.
	Share float64 `json:"share,omitempty"`
	Cost  float64 `json:"cost,omitempty"`
}

// unknownMs stands for a time in milliseconds that is not known.
const unknownMs = -1

// listedConditions returns all servers, ordered by ID, and the conditions of each by its entry and by what this process
// keeps besides.
func (v *view) listedConditions() ([]registry.Server, map[string][]eligibility.Condition) {
	v.mu.Lock()
	defer v.mu.Unlock()
	list, out := v.registry.List(), v.registry.Conditions()
	for _, s := range list {
		v.conditions(s.ID, func(c eligibility.Condition) { out[s.ID] = append(out[s.ID], c) })
	}
	return list, out
}

// serverReport returns the report on the servers of a service; on all servers if service is empty.
func (s *Service) serverReport(service string) Servers {
	list, listed := s.view.listedConditions()
	out := Servers{VM: s.settings.VM, Servers: []ServerState{}}
	now := time.Now()
	for _, server := range list {
		if service == "" || server.Service == service {
			state := serverState(server, append(listed[server.ID], s.fwd.Conditions(server)...), now)
			perToken, slow := s.fwd.Pace(server)
			state.TokenUs, state.Slow = perToken.Microseconds(), slow
			out.Servers = append(out.Servers, state)
		}
	}
	return out
}

func serverState(s registry.Server, conditions []eligibility.Condition, now time.Time) ServerState {
	v := eligibility.Decide(conditions, now)
	out := ServerState{
		ID: s.ID, Service: s.Service, Stage: s.Stage.String(), Zone: s.Zone, Addr: s.Addr, Version: s.Version,
		Decides: v.Reason.String(), Excluded: v.Excluded, Conditions: []ServerCondition{},
	}
	slices.SortStableFunc(conditions, func(a, b eligibility.Condition) int { return int(a.Reason) - int(b.Reason) })
	for _, c := range conditions {
		if !c.Over(now) {
			out.Conditions = append(out.Conditions, serverCondition(c, now))
		}
	}
	return out
}

func serverCondition(c eligibility.Condition, now time.Time) ServerCondition {
	out := ServerCondition{
		Reason: c.Reason.String(), Author: c.Author.String(), Effect: c.Reason.Effect().String(), AgeMs: unknownMs, LeftMs: unknownMs,
		Share: c.Share, Cost: c.Cost,
	}
	if !c.Since.IsZero() {
		out.AgeMs = now.Sub(c.Since).Milliseconds()
	}
	if !c.Until.IsZero() {
		out.LeftMs = c.Until.Sub(now).Milliseconds()
	}
	return out
}

// handleServers answers with the servers of the service in the query, or with all.
func (s *Service) handleServers(w http.ResponseWriter, r *http.Request) {
	s.writeJSON(w, ServersPath, s.serverReport(r.URL.Query().Get("service")))
}
