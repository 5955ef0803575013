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

// longestSilent returns the connection without a request in progress that has received and sent nothing for longest; of the
// others, last. The caller holds mu.
func (s *Server) longestSilent(last *conn) *conn {
	victim, since := last, monotonic()
	for c := range s.conns {
		if active := c.active.Load(); c != last && c.inProgress.Load() == 0 && active < since {
			victim, since = c, active
		}
	}
	return victim
}

// Replaced returns the number of connections that were closed for new ones since the start.
func (s *Server) Replaced() int64 { return s.replaced.Load() }
