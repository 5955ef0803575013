package site

import "strings"

// CrashOn has the server crash as soon as it begins to run a request whose body begins so, which reading its prompt
// is not. Then onEnd is called, unless it is nil.
func (s *Server) CrashOn(body string, onEnd func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly, s.onEnd = body, onEnd
}

// BeforeCrash has f called when the server begins to crash, before anything of it ends.
func (s *Server) BeforeCrash(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCrash = f
}

func (s *Server) endsUnder(c Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadly != "" && strings.HasPrefix(c.Body, s.deadly) && c.Kind != Prefill
}

// Crash ends the server with all that it runs: its connections break, and nothing listens at its address any
// more. It does not wait for its handlers, one of which may call it.
func (s *Server) Crash() {
	s.mu.Lock()
	onCrash, again := s.onCrash, s.crashed
	s.crashed = true
	s.mu.Unlock()
	if again {
		return
	}
	if onCrash != nil {
		onCrash()
	}
	// The listener of a server that has crashed already is closed.
	_ = s.Listener.Close()
	go func() {
		s.CloseClientConnections()
		s.mu.Lock()
		onEnd := s.onEnd
		s.mu.Unlock()
		if onEnd != nil {
			onEnd(s)
		}
	}()
}
