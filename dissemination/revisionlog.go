package dissemination

import (
	"cmp"
	"slices"
)

// revisionLog indexes the records of a State by revision, so that the cost of finding
// the changes since a revision is proportional to their number. It is guarded by the
// State.
type revisionLog struct {
	changes []keyChange
	// tombstones lists the deletions among changes.
	tombstones []keyChange
	unsorted   bool
}

// keyChange records that a key was changed at a revision. It is stale once the
// record of the key has another revision.
type keyChange struct {
	revision uint64
	key      string
}

// maxStaleChanges is how many stale entries are kept in addition to half the number
// of records.
const maxStaleChanges = 64

// add appends r. Call sort after the last of a series.
func (l *revisionLog) add(r Record) {
	c := keyChange{r.Revision, r.Key}
	if n := len(l.changes); n > 0 && r.Revision < l.changes[n-1].revision {
		l.unsorted = true
	}
	l.changes = append(l.changes, c)
	if r.Deleted {
		l.tombstones = append(l.tombstones, c)
	}
}

func (l *revisionLog) sort() {
	if !l.unsorted {
		return
	}
	byRevision := func(a, b keyChange) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
	}
	slices.SortFunc(l.changes, byRevision)
	slices.SortFunc(l.tombstones, byRevision)
	l.unsorted = false
}

// after returns the changes above revision; some may be stale.
func (l *revisionLog) after(revision uint64) []keyChange {
	return l.changes[firstAfter(l.changes, revision):]
}

// popTombstones removes and returns the tombstones up to revision.
func (l *revisionLog) popTombstones(revision uint64) []keyChange {
	n := firstAfter(l.tombstones, revision)
	popped := l.tombstones[:n]
	l.tombstones = l.tombstones[n:]
	return popped
}

// compact drops the stale changes once there are many.
func (l *revisionLog) compact(records map[string]Record) {
	if len(l.changes) <= len(records)+len(records)/2+maxStaleChanges {
		return
	}
	l.changes = slices.DeleteFunc(l.changes, func(c keyChange) bool {
		r, ok := records[c.key]
		return !ok || r.Revision != c.revision
	})
}

func firstAfter(changes []keyChange, revision uint64) int {
	i, _ := slices.BinarySearchFunc(changes, revision+1, func(c keyChange, r uint64) int { return cmp.Compare(c.revision, r) })
	return i
}
