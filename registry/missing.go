package registry

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// Grace is how long after an outage of the list a server that is missing from it stays
// usable. Entries that expired during an outage are renewed within about two seconds; a
// server that is still missing then is removed.
const Grace = 2 * time.Second

// removal is when a server was removed, and the position of the newest snapshot that lacked it: an entry in one that is not
// newer comes from a process that still knows the server.
type removal struct {
	at       time.Time
	position store.Position
}

// outageGap is the time without a snapshot that counts as an outage, in which entries may
// have expired because servers could not renew them: heartbeats are sent every 1.2 s, and
// an entry expires after three missed ones.
const outageGap = 3 * time.Second

// handleMissing handles a server that the list lacks: except within Grace after an outage, it is
// removed at once.
func (r *Registry) handleMissing(id string, e *entry, now time.Time) {
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
	if now.Before(r.graceEnd()) && !e.Leaving {
		return
	}
	delete(r.servers, id)
	r.removed[id] = removal{now, r.position}
}

// graceEnd is when servers that the list lacks are removed; zero without an outage.
func (r *Registry) graceEnd() time.Time {
	if r.recoveredAt.IsZero() {
		return time.Time{}
	}
	return r.recoveredAt.Add(Grace)
}

// RemoveMissing removes the servers that the newest snapshot lacks once the grace after an outage is over: no other snapshot may
// come to do so. It reports whether it removed any.
func (r *Registry) RemoveMissing(now time.Time) bool {
	before := len(r.servers)
	for id, e := range r.servers {
		if !e.missingSince.IsZero() {
			r.handleMissing(id, e, now)
		}
	}
	return len(r.servers) < before
}

// MissingUntil returns when RemoveMissing is to be called; false if the newest snapshot lacks no server.
func (r *Registry) MissingUntil() (time.Time, bool) {
	for _, e := range r.servers {
		if !e.missingSince.IsZero() {
			return r.graceEnd(), true
		}
	}
	return time.Time{}, false
}
