package gateway

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/shared"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// serverReader reads the list of servers from the store, one reading at a time.
type serverReader struct {
	s *Service
	// call guards the fields below.
	call     *shared.Call
	faults   entryFaults
	readings listReadings
}

func newServerReader(s *Service) *serverReader {
	return &serverReader{s: s, call: shared.New(s.proofs.now), faults: entryFaults{}}
}

// ReadServers implements streamversions.Lists.
func (r *serverReader) ReadServers(ctx context.Context) error {
	err := r.read(ctx)
	if err != nil {
		r.s.metrics.Counter(metrics.StoreErrors).Inc(1)
	}
	return err
}

// read puts the list in force that the store holds, unless a reading was begun since it was called.
func (r *serverReader) read(ctx context.Context) error {
	return r.call.Do(ctx, func(requested time.Duration) (bool, error) {
		snapshot, position, err := r.s.store.Servers(ctx)
		if err != nil {
			return false, err
		}
		return r.apply(snapshot.RequireStartTimes(r.s.view.latestIncarnation), position, requested), nil
	})
}

// apply takes a reading whose call was made at the time requested, and reports whether it is as new as the list in force.
func (r *serverReader) apply(snapshot registry.Snapshot, position store.Position, requested time.Duration) bool {
	s := r.s
	r.faults.record(s, snapshot.Faults)
	accepted := r.readings.accept(s, position)
	if accepted {
		s.view.recordRead(time.Now())
	}
	if s.view.applyStoreList(position, snapshot.List(), time.Now()) {
		s.serversChanged(position, fromStore)
	}
	if accepted {
		s.streams.RecordReading(requested)
	}
	return accepted
}

// entryFaults are the server entries that were invalid at the last reading. They are not safe for concurrent use.
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

// listReadings tracks readings of the server list that are dropped. It is not safe for concurrent use.
type listReadings struct {
	// dropping is set while readings are older than the list in force.
	dropping bool
}

// accept reports whether a reading is as new as the list in force. It logs and counts one that is not, and logs one
// that shows that the store was restored.
func (r *listReadings) accept(s *Service, position store.Position) bool {
	known := s.view.readPosition()
	dropped := position < known
	if dropped {
		s.metrics.Counter(metrics.ListReadingsDropped).Inc(1)
	}
	if dropped && !r.dropping {
		logPositions(event.ListReadingDropped.Log(s.log), position, known).Msg("")
	}
	r.dropping = dropped
	s.logRestored(position, known, fromStore)
	return !dropped
}

// logRestored logs that the store was restored if a list has a position of a later era than the one known.
func (s *Service) logRestored(position, known store.Position, from string) {
	if known != 0 && position.Era() > known.Era() {
		logPositions(event.StoreRestored.Log(s.log), position, known).Str("from", from).Msg("")
	}
}

func logPositions(line event.Line, position, known store.Position) event.Line {
	return line.Int64("version", position.Version()).Int64("era", position.Era()).
		Int64("known", known.Version()).Int64("known_era", known.Era())
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
