package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// choose returns the server for the next attempt, or the reason why there is none: all were tried, or those left have
// more calls than they can answer in time, or have signalled that they take none now. Unless version is empty, the server
// has that software version.
func (f *Forwarder) choose(j *job, tried []string, version string) (registry.Server, outcome.Reason) {
	now := time.Now()
	servers := f.View.Servers(j.service)
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	why := outcome.NoBackend
	if version != "" {
		why = outcome.VersionGone
	}
	var best registry.Server
	var bestVerdict eligibility.Verdict
	lowest := 0.0
	for i := range servers {
		c := &servers[i]
		if slices.Contains(tried, c.ID) || version != "" && c.Version != version {
			continue
		}
		cost := f.cost(s, c)
		if best.ID != "" && !bestVerdict.LastResort && cost >= lowest {
			continue
		}
		v := f.callVerdict(s, c.ID, j.retried, now)
		cost += v.Cost
		if v.Excluded || v.Share < 1 && rand.Float64() >= v.Share {
			why = unavailableReason(v.Reason)
			continue
		}
		if best.ID == "" || v.Precedes(&bestVerdict, cost < lowest) {
			best, bestVerdict, lowest = *c, v, cost
		}
	}
	if best.ID == "" {
		return best, why
	}
	if !f.reserveSend(j, best.ID) {
		return best, outcome.ServerLimited
	}
	return best, ""
}

// Weights of the cost of a server of a plain service, in requests outstanding.
const (
	// zoneCost keeps calls in the zone unless two more requests are outstanding there than elsewhere.
	zoneCost = 2
	// failingCost makes a failure rate that is one in ten above the others' cost as much as three outstanding
	// requests.
	failingCost = 30
	// spreadCost spreads routers over equal servers. Each router sees only its own outstanding requests; without this
	// cost all sent to the first server of the list that had none.
	spreadCost = 0.5
)

// cost is the cost of a server without its conditions.
func (f *Forwarder) cost(s *service, c *registry.Server) float64 {
	cost := float64(s.outstanding[c.ID])
	if c.Zone != f.Zone {
		cost += zoneCost
	}
	return cost + spreadCost*(1-affinity.Of(f.VM, c.ID))
}
