package sidecar

import "github.com/hibiscusspur/hibiscusspur/wire"

// maxSuspectsBytes bounds a report of suspected requests that is passed on; entries send 6 kB at most.
const maxSuspectsBytes = 16 << 10

// onSuspects passes an entry's report of suspected requests on to the other entries: entries have no links to each
// other. The caller holds mu.
func (s *Server) onSuspects(from *session, m *wire.Suspects) {
	if len(m.GetReport()) > maxSuspectsBytes {
		return
	}
	for sess := range s.sessions {
		if sess != from {
			sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Suspects{Suspects: &wire.Suspects{Report: m.GetReport()}}})
		}
	}
}
