package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// choose returns the server for the next attempt, or the reason why there is none: all were tried, or those left have
// more calls than they can answer in time, or have signalled that they take none now.
func (f *Forwarder) choose(j *job, tried []string) (registry.Server, outcome.Reason) {
	now := time.Now()
	servers := f.View.Servers(j.service)
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	why := outcome.NoBackend
	best, ok := cheapest(servers, func(c registry.Server) (float64, bool) {
		if slices.Contains(tried, c.ID) {
			return 0, false
		}
		if wait, reason := f.unavailableFor(c.ID); wait > 0 {
			why = reason
			return 0, false
		}
		if !f.Off.Has(mechanism.Overload) && !s.limits.Admits(c.ID, j.retried, rand.Float64(), now) {
			why = outcome.Overloaded
			return 0, false
		}
		return f.cost(s, c, now), true
	})
	if !ok {
		return best, why
	}
	if !f.reserveSend(j, best.ID) {
		return best, outcome.ServerLimited
	}
	return best, ""
}

// cheapest returns the first eligible server of lowest cost.
func cheapest(servers []registry.Server, cost func(registry.Server) (float64, bool)) (registry.Server, bool) {
	var best registry.Server
	lowest := 0.0
	for _, s := range servers {
		c, eligible := cost(s)
		if eligible && (best.ID == "" || c < lowest) {
			best, lowest = s, c
		}
	}
	return best, best.ID != ""
}

// Weights of the cost of a server of a plain service, in requests outstanding.
const (
	// zoneCost keeps calls in the zone unless two more requests are outstanding there than elsewhere.
	zoneCost = 2
	// failingCost makes a failure rate that is one in ten above the others' cost as much as three outstanding
	// requests.
	failingCost = 30
	// ejectedCost puts a server that has just failed several requests in a row behind all others.
	ejectedCost = 1000
	// spreadCost spreads routers over equal servers. Each router sees only its own outstanding requests; without this
	// cost all sent to the first server of the list that had none.
	spreadCost = 0.5
)

func (f *Forwarder) cost(s *service, c registry.Server, now time.Time) float64 {
	cost := float64(s.outstanding[c.ID])
	if c.Zone != f.Zone {
		cost += zoneCost
	}
	cost += spreadCost * (1 - affinity.Of(f.VM, c.ID))
	if f.Off.Has(mechanism.Outliers) {
		return cost
	}
	cost += failingCost * s.outliers.ExcessFailureRate(c.ID, now)
	if s.outliers.Ejected(c.ID, now) {
		cost += ejectedCost
	}
	return cost
}
