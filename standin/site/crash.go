package site

import "strings"

// CrashOn makes the server crash as soon as it begins to run a request whose body starts with bodyPrefix; a prefill
// does not count as running. After the crash it calls afterCrash, unless that is nil.
func (s *Server) CrashOn(bodyPrefix string, afterCrash func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPrefix, s.afterCrash = bodyPrefix, afterCrash
}

// CrashOnPart makes the server crash as soon as it begins to run a request whose prompt has a part with this ID, at any
// place; a prefill does not count as running. After the crash it calls afterCrash, unless that is nil.
func (s *Server) CrashOnPart(id string, afterCrash func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart, s.afterCrash = id, afterCrash
}

// BeforeCrash makes the server call f when it begins to crash, before any connection or listener closes.
func (s *Server) BeforeCrash(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCrash = f
}

func (s *Server) crashesOn(c Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Kind == Prefill {
		return false
	}
	return s.crashPrefix != "" && strings.HasPrefix(c.Body, s.crashPrefix) || s.crashPart != "" && c.HasPart(s.crashPart)
}

// HasPart reports whether the prompt of the request has a part with this ID.
func (c Call) HasPart(id string) bool {
	for entry := range strings.SplitSeq(c.Header.Get(Parts), ",") {
		if part, _, _ := strings.Cut(entry, ":"); part == id {
			return true
		}
	}
	return false
}

// Crash terminates the server and its requests: it breaks its connections and closes its listener. It does not wait
// for handlers, because a handler may call it.
func (s *Server) Crash() {
	s.mu.Lock()
	beforeCrash, crashed := s.beforeCrash, s.crashed
	s.crashed = true
	s.mu.Unlock()
	if crashed {
		return
	}
	s.log.copies.drop(s.name())
	if beforeCrash != nil {
		beforeCrash()
	}
	// The listener of a server that crashed before is closed already, so the error is ignored.
	_ = s.Listener.Close()
	go func() {
		s.CloseClientConnections()
		s.mu.Lock()
		afterCrash := s.afterCrash
		s.mu.Unlock()
		if afterCrash != nil {
			afterCrash(s)
		}
	}()
}
