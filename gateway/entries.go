package gateway

import (
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// entryFaults are the entries of servers that could not be used at the last reading. They belong
// to one goroutine.
type entryFaults map[string]registry.Fault

// note logs and counts the entries that have become faulty, or faulty in another way, since the
// last reading.
func (known *entryFaults) note(s *Service, faults []registry.Fault) {
	now := make(entryFaults, len(faults))
	for _, f := range faults {
		now[f.Instance] = f
		if (*known)[f.Instance] == f {
			continue
		}
		s.met.EntryUnreadable(f.Reason)
		event.ServerInvalid.Log(s.log).Str("server", f.Instance).Str("reason", string(f.Reason)).
			Str("field", f.Field).Str("found", f.Found).Msg("")
	}
	*known = now
}

// startsEnded forgets what belongs to starts of servers that were followed by a later one, and ends
// what waits for their answers. What was learned of them is kept by their IDs, which nothing uses any
// more; the sweep drops it.
func (s *Service) startsEnded(ended []registry.Server) {
	for _, e := range ended {
		requests := s.fwd.EndIncarnation(e.ID)
		s.pool.CloseIdle(e.Addr)
		s.met.Counter(metrics.ServerRestarts).Inc(1)
		event.ServerRestarted.Log(s.log).Str("server", e.Instance()).Int64("born", e.Born).Int("requests", requests).Msg("")
	}
}
