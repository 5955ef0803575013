package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// minDemandInterval is the minimum interval between reports of demand to one entry.
const minDemandInterval = 2 * time.Second

// recordDemand counts a request that was offered here, granted or not, once over all
// of its attempts. The caller holds mu.
func (s *Server) recordDemand(t *wire.Terms) {
	if t.GetWeightMilli() == 0 {
		return
	}
	threshold := limit.Load{Demand: float64(t.GetTellRateMilli()) / 1000, Running: int(t.GetTellRunning())}
	s.demand.RecordOffered(t.GetCustomer(), float64(t.GetWeightMilli())/1000, threshold, time.Now())
}

// addDemand attaches the demand of customers near a limit to a frame, at most once
// per minDemandInterval. The caller holds mu.
func (s *Server) addDemand(sess *session, f *wire.SidecarFrame, now time.Time) {
	if now.Sub(sess.demandSentAt) < minDemandInterval {
		return
	}
	sess.demandSentAt = now
	for _, e := range s.demand.Loads(s.runningFromOtherEntries(sess), now) {
		f.Demands = append(f.Demands, &wire.Demand{
			Customer:  e.Customer,
			RateMilli: uint32(e.Demand * 1000),
			Running:   uint32(e.Running),
		})
	}
}

// runningFromOtherEntries counts the requests in progress that came from other
// entries, by customer. Prefills for export are counted by the server that decodes
// them.
func (s *Server) runningFromOtherEntries(sess *session) map[string]int {
	out := make(map[string]int)
	for _, r := range s.runs {
		if r.owner != sess.entry.GetIncarnation() && (r.phase == phaseReserved || r.phase == phaseRunning) {
			out[r.terms.GetCustomer()]++
		}
	}
	return out
}
