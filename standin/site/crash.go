package site

// EndUnder has the server crash as soon as it begins to run a request with that body, which reading its prompt
// is not. Then onEnd is called, unless it is nil.
func (s *Server) EndUnder(body string, onEnd func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly, s.onEnd = body, onEnd
}

func (s *Server) endsUnder(c Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadly != "" && c.Body == s.deadly && c.Kind != Prefill
}

// Crash ends the server with all that it runs: its connections break, and nothing listens at its address any
// more. It does not wait for its handlers, one of which may call it.
func (s *Server) Crash() {
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
