// Package dissemination replicates the configuration to every process at the
// newest committed revision, by anti-entropy. The platform's table holds one head
// revision; entries poll it, and entries and sidecars send each other the records
// that the peer is missing. A process never reverts to a lower revision.
package dissemination

import (
	"slices"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// defaultTombstoneRevisions is how many revisions below the head a State retains
// tombstones: more than a day of changes at the design size. A peer that is further
// behind gets a full delta.
const defaultTombstoneRevisions = 4096

// Record is a row of the configuration at the revision that last changed it.
type Record struct {
	Key      string
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Delta takes a state from one revision to a higher one. It holds every record
// changed after From, up to and including Head.
type Delta struct {
	From, Head uint64
	Records    []Record
	// Full means that the records are the whole configuration at Head. They include
	// tombstones of deletions after From; earlier deletions show only by the absence
	// of the record.
	Full bool
}

// ErrGap means that a delta starts above the head of the state.
var ErrGap = merry.Sentinel("delta starts beyond the known revision")

// State is the local copy of the configuration in one process. It is safe for
// concurrent use.
type State struct {
	// tombstoneRevisions is how many revisions below the head tombstones are retained.
	tombstoneRevisions uint64
	// applying serializes deltas and the calls of watchers; mu guards the fields and
	// is never held while a watcher runs.
	applying sync.Mutex
	mu       sync.RWMutex
	head     uint64
	// floor is the revision up to which tombstones may have been dropped.
	floor      uint64
	records    map[string]Record
	byRevision revisionLog
	watchers   []func(Delta)
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return newState(defaultTombstoneRevisions)
}

func newState(tombstoneRevisions uint64) *State {
	return &State{tombstoneRevisions: tombstoneRevisions, records: make(map[string]Record)}
}

// Head returns the highest revision applied.
func (s *State) Head() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.head
}

// Watch registers f, which is called after each applied delta, in order, on the
// applying goroutine, with the records that changed in the state. A record that is
// missing from a full delta is passed as deleted. f may read the state but must not
// call Apply. Call Watch before the first Apply.
func (s *State) Watch(f func(Delta)) {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.watchers = append(s.watchers, f)
}

// Apply applies d if its head is above that of the state, and reports whether it
// did. Records of d that are older than those in the state are skipped one by one.
func (s *State) Apply(d Delta) (bool, error) {
	s.applying.Lock()
	defer s.applying.Unlock()
	changes, err := s.applyDelta(d)
	if changes == nil {
		return false, err
	}
	for _, f := range s.watchers {
		f(*changes)
	}
	return true, nil
}

// applyDelta applies d under the lock and returns the changes, or nil.
func (s *State) applyDelta(d Delta) (*Delta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Head <= s.head {
		return nil, nil
	}
	if d.From > s.head && !d.Full {
		return nil, ErrGap
	}
	changes := &Delta{From: s.head, Head: d.Head}
	if d.Full {
		changes.Records = s.dropAbsent(d)
		s.floor = d.From
	}
	for _, r := range d.Records {
		if s.isNewer(r, d.Full) {
			s.records[r.Key] = r
			s.byRevision.add(r)
			changes.Records = append(changes.Records, r)
		}
	}
	s.byRevision.sort()
	s.head = d.Head
	s.dropOldTombstones()
	return changes, nil
}

// isNewer reports whether r is newer than the state's record of the same key. In an
// incremental delta, an unknown record at or below the floor was deleted and its
// tombstone was dropped.
func (s *State) isNewer(r Record, full bool) bool {
	known, ok := s.records[r.Key]
	switch {
	case ok:
		return r.Revision > known.Revision
	case full:
		return true
	default:
		return r.Revision > s.floor
	}
}

// dropAbsent removes the records that are missing from a full delta and returns
// them as deleted. Records newer than the delta's head are kept.
func (s *State) dropAbsent(d Delta) []Record {
	present := make(map[string]struct{}, len(d.Records))
	for _, r := range d.Records {
		present[r.Key] = struct{}{}
	}
	var removed []Record
	for key, r := range s.records {
		if _, ok := present[key]; ok || r.Revision > d.Head {
			continue
		}
		delete(s.records, key)
		if !r.Deleted {
			removed = append(removed, Record{Key: key, Revision: d.Head, Deleted: true})
		}
	}
	sortByKey(removed)
	return removed
}

// dropOldTombstones drops the tombstones more than tombstoneRevisions below the head.
func (s *State) dropOldTombstones() {
	if s.head > s.tombstoneRevisions {
		s.floor = max(s.floor, s.head-s.tombstoneRevisions)
	}
	for _, c := range s.byRevision.popTombstones(s.floor) {
		if r, ok := s.records[c.key]; ok && r.Revision == c.revision {
			delete(s.records, c.key)
		}
	}
	s.byRevision.compact(s.records)
}

// Since returns the delta for a peer at revision from: a full one if tombstones that
// the peer has not seen may have been dropped. Records are ordered by revision.
func (s *State) Since(from uint64) Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := Delta{From: from, Head: s.head}
	if from < s.floor {
		d.From, d.Full = s.floor, true
		from = 0
	}
	for _, c := range s.byRevision.after(from) {
		if r, ok := s.records[c.key]; ok && r.Revision == c.revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Get returns the record of key unless it is absent or deleted.
func (s *State) Get(key string) (Record, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.records[key]
	return r, ok && !r.Deleted
}

// Revision returns an upper bound, at most the head, of the revision that last
// changed or deleted key: the exact one if there is a record, otherwise the revision
// up to which tombstones were dropped. A record of key at a lower revision is stale.
func (s *State) Revision(key string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision(key)
}

func (s *State) revision(key string) uint64 {
	if r, ok := s.records[key]; ok {
		return r.Revision
	}
	return s.floor
}

func sortByKey(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
}
