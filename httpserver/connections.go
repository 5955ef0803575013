package httpserver

import "time"

// started is a time from which others are counted.
var started = time.Now()

// monotonic returns a time in nanoseconds that doesn't jump with the time of day.
func monotonic() int64 { return int64(time.Since(started)) }

// add adds a connection to the open ones. If there are more than Options.MaxOpen, one of them is closed: the one that was silent for
// longest, and the new one if all others have requests in progress.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	var victim *conn
	if len(s.conns) > s.opts.MaxOpen {
		victim = s.longestSilent(c)
		delete(s.conns, victim)
	}
	s.mu.Unlock()
	if victim != nil {
		s.replaced.Add(1)
		_ = victim.out.raw.CloseWithError(errReplaced)
	}
}

// longestSilent returns the connection that has received and sent nothing for longest, of those without a request in progress and
// without a response that its client still reads; if there is none, last. The caller holds mu.
func (s *Server) longestSilent(last *conn) *conn {
	now := monotonic()
	victim, since := last, now
	for c := range s.conns {
		active := c.active.Load()
		stalled := time.Duration(now-active) >= s.opts.StallTimeout
		if c != last && c.inProgress.Load() == 0 && (c.out.pending.Load() == 0 || stalled) && active < since {
			victim, since = c, active
		}
	}
	return victim
}

// Replaced returns the number of connections that were closed for new ones since the start.
func (s *Server) Replaced() int64 { return s.replaced.Load() }

// Overrun returns the number of connections that were closed since too many requests were sent ahead of their responses.
func (s *Server) Overrun() int64 { return s.overrun.Load() }
