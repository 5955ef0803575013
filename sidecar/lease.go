package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// lease determines how long the runs of one entry incarnation continue without a
// frame from it: a multiple of the interval within which the entry has promised to
// send one.
type lease struct {
	lastFrame time.Time
	interval  time.Duration
}

// lease returns the lease of the session's entry. The caller holds mu.
func (s *Server) lease(sess *session) *lease {
	owner := sess.entry.GetIncarnation()
	l, ok := s.leases[owner]
	if !ok {
		l = &lease{lastFrame: time.Now(), interval: s.set.Timing.Heartbeat}
		s.leases[owner] = l
	}
	return l
}

// duration scales the lease with the promised interval.
func (l *lease) duration(t Timing) time.Duration {
	return time.Duration(float64(t.Lease) * float64(l.interval) / float64(t.Heartbeat))
}

// leaseLoop abandons runs of entries that stopped sending and runs that their entry
// has not reattached over a new link, and expires reservations, exports and old ledger
// entries.
func (s *Server) leaseLoop() {
	t := time.NewTicker(s.set.Timing.Heartbeat / 2)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-t.C:
			s.expire(now)
		}
	}
}

func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for owner, l := range s.leases {
		if now.Sub(l.lastFrame) > l.duration(s.set.Timing) {
			delete(s.leases, owner)
			s.lapseOwner(owner)
		}
	}
	for key, r := range s.runs {
		s.expireRun(key, r, now)
	}
	s.markActive()
	s.retryPull(now)
}

// markActive sets for each session whether it has runs in progress. The caller holds mu.
func (s *Server) markActive() {
	busy := make(map[*session]bool)
	for _, r := range s.runs {
		if r.sess != nil && r.phase < phaseEnded {
			busy[r.sess] = true
		}
	}
	for sess := range s.sessions {
		sess.active.Store(busy[sess])
	}
}

// expireRun abandons a run that stayed detached for the length of the lease, and
// expires a reservation, an export or the retention of an ended run. The caller holds
// mu.
func (s *Server) expireRun(key wire.Key, r *run, now time.Time) {
	if r.phase < phaseEnded && r.sess == nil && now.Sub(r.detached) > s.set.Timing.Lease {
		s.abandon(r, lapseOutcome(r))
		s.lapsedOwners[r.owner] = true
		return
	}
	if r.expires.IsZero() || now.Before(r.expires) {
		return
	}
	switch r.phase {
	case phaseReserved:
		event.ReservationExpired.Log(s.log).Str("request", key.RequestID).Msg("")
		s.abandon(r, outcome.Refuse(outcome.ReservationLapsed, refusalRetryAfter))
	case phaseExported:
		s.abandon(r, outcome.Refuse(outcome.KVLost, refusalRetryAfter))
	case phaseEnded, phaseFenced:
		delete(s.runs, key)
	}
}
