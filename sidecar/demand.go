package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// demandInterval is how often one entry is told the demand of customers, at most.
const demandInterval = 2 * time.Second

// meter counts a request that was asked for here, granted or not, once over all
// of its attempts. The caller holds mu.
func (s *Server) meter(t *wire.Terms) {
	if t.GetWeightMilli() == 0 {
		return
	}
	above := limit.Load{Demand: float64(t.GetTellRateMilli()) / 1000, Running: int(t.GetTellRunning())}
	s.demand.RecordOffered(t.GetCustomer(), float64(t.GetWeightMilli())/1000, above, time.Now())
}

// addDemand lets the demand of customers near a limit ride on a frame. The caller
// holds mu.
func (s *Server) addDemand(sess *session, f *wire.SidecarFrame, now time.Time) {
	if now.Sub(sess.demandAt) < demandInterval {
		return
	}
	sess.demandAt = now
	for _, e := range s.demand.Loads(s.runningOfOthers(sess), now) {
		f.Demands = append(f.Demands, &wire.Demand{
			Customer:  e.Customer,
			RateMilli: uint32(e.Demand * 1000),
			Running:   uint32(e.Running),
		})
	}
}

// runningOfOthers counts the requests in progress that came through other
// entries, by customer. Prefills for export are counted where they are decoded.
func (s *Server) runningOfOthers(sess *session) map[string]int {
	out := make(map[string]int)
	for _, r := range s.runs {
		if r.owner != sess.entry.GetIncarnation() && (r.phase == phaseReserved || r.phase == phaseRunning) {
			out[r.terms.GetCustomer()]++
		}
	}
	return out
}
