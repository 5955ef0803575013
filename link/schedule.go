package link

import "time"

// idleAfterTicks is the number of ticks without work after which a link is idle.
const idleAfterTicks = 8

// heartbeatSchedule decides when a heartbeat is due. It is guarded by the link's lock.
type heartbeatSchedule struct {
	active    bool
	idleTicks int
	// sent is true if a frame was sent since the last tick.
	sent     bool
	lastSent time.Time
}

// ticksPerIdleInterval is the number of ticks within the heartbeat interval of an idle link.
const ticksPerIdleInterval = 8

// due is called once per tick. It reports whether a heartbeat is due, and then records it as sent.
func (s *heartbeatSchedule) due(now time.Time, active bool, tick, activeInterval, idleInterval time.Duration) bool {
	if s.sent {
		s.lastSent = now
	}
	s.sent = false
	changed := s.updateActive(active)
	if !changed && now.Sub(s.lastSent) < s.interval(activeInterval, idleInterval)-tick/2 {
		return false
	}
	s.lastSent = now
	return true
}

// updateActive switches between the active and the idle interval, and reports whether it switched.
func (s *heartbeatSchedule) updateActive(active bool) bool {
	wasActive := s.active
	if active {
		s.active, s.idleTicks = true, 0
		return !wasActive
	}
	s.idleTicks++
	if s.idleTicks >= idleAfterTicks {
		s.active = false
	}
	return wasActive != s.active
}

func (s *heartbeatSchedule) interval(activeInterval, idleInterval time.Duration) time.Duration {
	if s.active {
		return activeInterval
	}
	return idleInterval
}
