package site

import "strings"

// CrashOn makes the server crash as soon as it begins to run a request whose body starts with bodyPrefix; a prefill
// does not count as running. After the crash it calls afterCrash, unless that is nil.
func (s *Server) CrashOn(bodyPrefix string, afterCrash func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPrefix, s.afterCrash = bodyPrefix, afterCrash
}

// CrashOnPart makes the server crash as soon as it begins to run a request whose prompt has a part whose ID starts with
// idPrefix, at any place; a prefill does not count as running. After the crash it calls afterCrash, unless that is nil.
func (s *Server) CrashOnPart(idPrefix string, afterCrash func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart, s.afterCrash = idPrefix, afterCrash
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
	return s.crashPrefix != "" && strings.HasPrefix(c.Body, s.crashPrefix) || s.crashPart != "" && c.PartWithPrefix(s.crashPart) != ""
}

// PartWithPrefix returns the ID of the first part of the request's prompt whose ID starts with prefix; empty if none does.
func (c Call) PartWithPrefix(prefix string) string {
	for entry := range strings.SplitSeq(c.Header.Get(Parts), ",") {
		if id, _, _ := strings.Cut(entry, ":"); strings.HasPrefix(id, prefix) {
			return id
		}
	}
	return ""
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
