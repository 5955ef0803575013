package registry

import (
	"maps"
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
)

const (
	// staleEntryTTL is how long a restored store may list a server that had been removed: the
	// entry of a server that is gone expires by then, and that of any other is renewed.
	staleEntryTTL = 4 * time.Second
	// removedTTL is how long the removal of a server is remembered. A copy from which a store
	// is restored is some seconds old.
	removedTTL = time.Minute
)

// recordReading records that a list was read, and whether entries may be missing from it
// that servers write again: after an outage, and after the store was restored.
func (r *Registry) recordReading(position store.Position, now time.Time) {
	restored := r.position != 0 && position.Era() != r.position.Era()
	if restored {
		r.restoredAt = now
	}
	if restored || (!r.lastRead.IsZero() && now.Sub(r.lastRead) > outageGap) {
		r.recoveredAt = now
	}
	r.position, r.lastRead = position, now
	maps.DeleteFunc(r.removed, func(_ string, removed removal) bool { return now.Sub(removed.at) >= removedTTL })
}

// isStale reports whether the entry of a server in a snapshot of a position is out of date: the server was removed before, and the
// snapshot is no newer than one that lacked it, or the entry may come from the copy of a restored store alone and is not
// confirmed by its age yet.
func (r *Registry) isStale(id string, position store.Position, now time.Time) bool {
	removed, ok := r.removed[id]
	if !ok {
		return false
	}
	if position <= removed.position {
		return true
	}
	return !removed.at.After(r.restoredAt) && now.Sub(r.restoredAt) < staleEntryTTL
}
