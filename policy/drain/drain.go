// Package drain decides whether a backend server is leaving, from three sources
// that may disagree: the operator's record, the platform's list of VMs, and the
// server's own signal.
//
// Any one source is enough to reject new work at once, because rejecting it by
// mistake costs a retry elsewhere and accepting it by mistake costs a request. The
// sources differ in how they are withdrawn:
//
//   - The record is ordered by its revision. The operator may add the server
//     again at a higher revision; older revisions that arrive late are ignored.
//   - The list lags and flaps, and reaches the server through several readers, some
//     of which cannot read it. A reader's latest report counts until it is replaced
//     or expires. A VM missing from the list means nothing: the list omits new VMs
//     and drops lines.
//   - The signal is final: an incarnation that has begun to leave never returns.
//     A new incarnation starts with a new Tracker.
//
// A Tracker is deterministic and takes the time from its caller. It is not safe
// for concurrent use.
package drain

import (
	"maps"
	"time"
)

// Sources is a set of sources that report that the server is leaving.
type Sources uint8

// Sources that can report that a server is leaving.
const (
	Record Sources = 1 << iota
	List
	Signal
)

// Tracker holds the reports of the sources about one incarnation of a backend server.
type Tracker struct {
	reportTTL time.Duration
	reported  Sources
	revision  uint64
	// listed holds when each reader last reported that the list has the server as leaving.
	listed       map[string]time.Time
	since        time.Time
	lastAccepted time.Time
}

// New returns a Tracker without reports. A list reader's report expires after
// reportTTL.
func New(reportTTL time.Duration) *Tracker {
	return &Tracker{reportTTL: reportTTL, listed: make(map[string]time.Time)}
}

// Retired records whether the operator's record retires the server, as of a
// revision.
func (t *Tracker) Retired(now time.Time, revision uint64, retired bool) {
	if revision <= t.revision {
		return
	}
	t.revision = revision
	t.set(now, Record, retired)
}

// Listed records whether a reader found the server leaving in the platform's list.
// One reader's yes outweighs another's no, because a reader that cannot read the
// list also reports no.
func (t *Tracker) Listed(now time.Time, reader string, leaving bool) {
	if leaving {
		t.listed[reader] = now
	} else {
		delete(t.listed, reader)
	}
	maps.DeleteFunc(t.listed, func(_ string, at time.Time) bool { return now.Sub(at) > t.reportTTL })
	t.set(now, List, len(t.listed) > 0)
}

// Signalled records that the server itself has begun to leave.
func (t *Tracker) Signalled(now time.Time) {
	t.set(now, Signal, true)
}

// Leaving reports whether the server is leaving and new work is to be rejected.
func (t *Tracker) Leaving() bool {
	return t.reported != 0
}

// Reported returns the sources that report that the server is leaving.
func (t *Tracker) Reported() Sources {
	return t.reported
}

// Accepted records that the server accepted new work.
func (t *Tracker) Accepted(now time.Time) {
	t.lastAccepted = now
}

// Drained reports whether the server is leaving and has no work left: remaining
// is the number of reservations, runs, prefills and KV caches kept for export.
func (t *Tracker) Drained(remaining int) bool {
	return t.Leaving() && remaining == 0
}

// Since returns when a source first reported that the server is leaving; false if
// it is not leaving.
func (t *Tracker) Since() (time.Time, bool) {
	return t.since, t.Leaving()
}

// Overrun returns the time from the first such report to the last new work accepted
// after it.
func (t *Tracker) Overrun() time.Duration {
	if !t.Leaving() || !t.lastAccepted.After(t.since) {
		return 0
	}
	return t.lastAccepted.Sub(t.since)
}

func (t *Tracker) set(now time.Time, s Sources, leaving bool) {
	if !leaving {
		t.reported &^= s
		return
	}
	if t.reported == 0 {
		t.since = now
	}
	t.reported |= s
}
