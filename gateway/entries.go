package gateway

import (
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// entryFaults are the server entries that were invalid at the last reading. They belong to one goroutine.
type entryFaults map[string]registry.Fault

// record logs and counts the entries that have become faulty, or faulty in another way, since the last reading.
func (known *entryFaults) record(s *Service, faults []registry.Fault) {
	now := make(entryFaults, len(faults))
	for _, f := range faults {
		now[f.Instance] = f
		if (*known)[f.Instance] == f {
			continue
		}
		s.metrics.EntryUnreadable(f.Reason)
		event.ServerInvalid.Log(s.log).Str("server", f.Instance).Str("reason", string(f.Reason)).
			Str("field", f.Field).Str("found", f.Found).Msg("")
	}
	*known = now
}

// listReadings tracks readings of the server list that are dropped. It belongs to one goroutine.
type listReadings struct {
	// dropping is set while readings are older than the list in force.
	dropping bool
}

// record logs and counts a reading if it is older than the list in force.
func (r *listReadings) record(s *Service, version int64) {
	known := s.view.readVersion()
	dropped := version < known
	if dropped {
		s.metrics.Counter(metrics.ListReadingsDropped).Inc(1)
	}
	if dropped && !r.dropping {
		event.ListReadingDropped.Log(s.log).Int64("version", version).Int64("known", known).Msg("")
	}
	r.dropping = dropped
}

// incarnationsReplaced ends the attempts in progress at incarnations of servers that a later one has replaced, and
// drops their connections. State kept under their IDs is no longer used; the sweep drops it.
func (s *Service) incarnationsReplaced(replaced []registry.Server) {
	for _, r := range replaced {
		requests := s.fwd.EndIncarnation(r.ID)
		s.pool.CloseIdle(r.Addr)
		s.metrics.Counter(metrics.ServerRestarts).Inc(1)
		event.ServerRestarted.Log(s.log).Str("server", r.Instance()).Int64("born", r.Born).Int("requests", requests).Msg("")
	}
}
