package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// lease is how long the runs of one entry incarnation are kept: a multiple of the
// interval within which the entry has promised to be heard again.
type lease struct {
	heard    time.Time
	interval time.Duration
}

// lease returns the lease of the session's entry. The caller holds mu.
func (s *Server) lease(sess *session) *lease {
	owner := sess.entry.GetIncarnation()
	l, ok := s.leases[owner]
	if !ok {
		l = &lease{heard: time.Now(), interval: s.set.Timing.Heartbeat}
		s.leases[owner] = l
	}
	return l
}

// length scales the lease with the promised interval.
func (l *lease) length(t Timing) time.Duration {
	return time.Duration(float64(t.Lease) * float64(l.interval) / float64(t.Heartbeat))
}

// leaseLoop ends runs of entries that are not heard any more and runs that their
// entry has not re-joined over a new link, and expires reservations, exports and
// old ledger entries.
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
		if now.Sub(l.heard) > l.length(s.set.Timing) {
			delete(s.leases, owner)
			s.lapse(owner)
		}
	}
	for key, r := range s.runs {
		s.expireRun(key, r, now)
	}
	s.markActive()
	s.pullRetry(now)
}

// markActive tells each session whether it has runs in progress. The caller holds mu.
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

// expireRun ends what has not been used in time. The caller holds mu.
func (s *Server) expireRun(key wire.Key, r *run, now time.Time) {
	if r.phase < phaseEnded && r.sess == nil && now.Sub(r.detached) > s.set.Timing.Lease {
		s.abandon(r, lapseOutcome(r))
		s.lapsed[r.owner] = true
		return
	}
	if r.expires.IsZero() || now.Before(r.expires) {
		return
	}
	switch r.phase {
	case phaseReserved:
		event.ReservationEnd.Log(s.log).Str("request", key.RequestID).Msg("")
		s.abandon(r, outcome.Refuse(outcome.ReservationLapsed, refusalRetry))
	case phaseExported:
		s.abandon(r, outcome.Refuse(outcome.KVLost, refusalRetry))
	case phaseEnded, phaseFenced:
		delete(s.runs, key)
	}
}
