package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/claim"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// onClaim claims or releases a ticket in memory. A ticket of an earlier incarnation
// cannot be granted, because it is unknown what ran under it. The caller holds mu.
func (s *Server) onClaim(sess *session, m *wire.Claim) {
	c := claim.Claim{Customer: m.GetCustomer(), Key: m.GetKey(), RequestID: m.GetRef().GetRequestId()}
	if m.GetRelease() {
		s.tickets.Release(c)
		return
	}
	answer := &wire.Claimed{Ref: m.GetRef(), IncarnationGone: m.GetIncarnation() != s.incarnation}
	if !answer.GetIncarnationGone() {
		v, holder := s.tickets.Take(c, time.Now())
		answer.Granted = v == claim.Granted
		answer.HolderRequestId = holder
	}
	sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Claimed{Claimed: answer}})
}
