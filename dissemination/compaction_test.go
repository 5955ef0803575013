package dissemination

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func putRecord(key string, revision uint64) Record {
	return Record{Key: key, Revision: revision, Value: fmt.Append(nil, key, revision)}
}

func tombstone(key string, revision uint64) Record {
	return Record{Key: key, Revision: revision, Deleted: true}
}

// liveRevisions returns the revisions of the records of s that are not deleted.
func liveRevisions(s *State) map[string]uint64 {
	out := make(map[string]uint64)
	for key, r := range s.records {
		if !r.Deleted {
			out[key] = r.Revision
		}
	}
	return out
}

func TestFullDeltas(t *testing.T) {
	base := Delta{Head: 4, Records: []Record{putRecord("a", 1), putRecord("b", 2), putRecord("c", 4)}}
	for _, c := range []struct {
		name     string
		delta    Delta
		applied  bool
		live     map[string]uint64
		notified []Record
	}{
		{"replaces", Delta{From: 6, Head: 8, Full: true, Records: []Record{putRecord("a", 1), putRecord("c", 7), putRecord("d", 8)}}, true,
			map[string]uint64{"a": 1, "c": 7, "d": 8}, []Record{tombstone("b", 8), putRecord("c", 7), putRecord("d", 8)}},
		{"of the same head", Delta{From: 3, Head: 4, Full: true}, false, liveRevisions(stateWith(base)), nil},
		{"of a lower head", Delta{From: 2, Head: 3, Full: true, Records: []Record{putRecord("a", 1)}}, false, liveRevisions(stateWith(base)), nil},
		{"with an older record", Delta{Head: 5, Full: true, Records: []Record{putRecord("a", 1), putRecord("b", 2), putRecord("c", 3)}}, true,
			map[string]uint64{"a": 1, "b": 2, "c": 4}, nil},
		{"with a tombstone", Delta{Head: 5, Full: true, Records: []Record{putRecord("a", 1), tombstone("b", 5), putRecord("c", 4)}}, true,
			map[string]uint64{"a": 1, "c": 4}, []Record{tombstone("b", 5)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := stateWith(base)
			var notified []Record
			s.Watch(func(d Delta) { notified = d.Records })
			ok, err := s.Apply(FromWire(ToWire(c.delta)))
			assert.NilError(t, err)
			assert.Equal(t, ok, c.applied)
			assert.DeepEqual(t, liveRevisions(s), c.live)
			assert.DeepEqual(t, notified, c.notified)
		})
	}
}

func stateWith(d Delta) *State {
	s := NewState()
	_, _ = s.Apply(d)
	return s
}

func TestOldTombstonesAreDropped(t *testing.T) {
	s := newState(2)
	applyTo(t, s, 1, putRecord("a", 1), putRecord("b", 1))
	applyTo(t, s, 2, tombstone("a", 2))
	applyTo(t, s, 4, putRecord("b", 4))
	assert.Equal(t, len(s.records), 1)
	assert.Equal(t, s.Revision("a"), uint64(2), "a record below the dropped tombstone is stale")
	assert.DeepEqual(t, s.Since(2), Delta{From: 2, Head: 4, Records: []Record{putRecord("b", 4)}})
	assert.DeepEqual(t, s.Since(1), Delta{From: 2, Head: 4, Full: true, Records: []Record{putRecord("b", 4)}})
	// An incremental delta from before the deletion does not restore the record.
	_, err := s.Apply(Delta{From: 0, Head: 5, Records: []Record{putRecord("a", 1), putRecord("c", 5)}})
	assert.NilError(t, err)
	assert.DeepEqual(t, liveRevisions(s), map[string]uint64{"b": 4, "c": 5})
}

// changeHistory holds the committed changes and the live records at every head.
type changeHistory struct {
	liveAt []map[string]uint64
	deltas []Delta
}

func (h *changeHistory) head() uint64 { return uint64(len(h.liveAt) - 1) }

func (h *changeHistory) commit(rng *rand.Rand) {
	head := h.head() + 1
	now := maps.Clone(h.liveAt[head-1])
	d := Delta{From: head - 1, Head: head}
	for range 1 + rng.IntN(2) {
		key := fmt.Sprint("k", rng.IntN(12))
		if slices.ContainsFunc(d.Records, func(r Record) bool { return r.Key == key }) {
			continue
		}
		if _, ok := now[key]; ok && rng.IntN(2) == 0 {
			delete(now, key)
			d.Records = append(d.Records, tombstone(key, head))
		} else {
			now[key] = head
			d.Records = append(d.Records, putRecord(key, head))
		}
	}
	h.liveAt, h.deltas = append(h.liveAt, now), append(h.deltas, d)
}

// full returns the snapshot of all rows after a sweep has deleted every tombstone up
// to floor.
func (h *changeHistory) full(floor uint64) Delta {
	d := Delta{From: floor, Head: h.head(), Full: true}
	for key, revision := range h.liveAt[h.head()] {
		d.Records = append(d.Records, putRecord(key, revision))
	}
	last := make(map[string]Record)
	for _, c := range h.deltas {
		for _, r := range c.Records {
			last[r.Key] = r
		}
	}
	for _, r := range last {
		if r.Deleted && r.Revision > floor {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// replica is a state and the records that its watcher was notified of.
type replica struct {
	*State
	notified map[string]uint64
}

func newReplica(tombstoneRevisions uint64) *replica {
	r := &replica{newState(tombstoneRevisions), make(map[string]uint64)}
	r.Watch(func(d Delta) {
		for _, c := range d.Records {
			r.notified[c.Key] = c.Revision
			if c.Deleted {
				delete(r.notified, c.Key)
			}
		}
	})
	return r
}

// A state that receives deltas in any order, with any delay and repeatedly holds
// exactly the committed records at its head, and its head never decreases.
func TestStatesNeverRevert(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := &changeHistory{liveAt: []map[string]uint64{{}}}
		replicas := make([]*replica, 5)
		for i := range replicas {
			replicas[i] = newReplica(uint64(1 + rng.IntN(12)))
		}
		var delayed []Delta
		for step := range 400 {
			r, peer := replicas[rng.IntN(len(replicas))], replicas[rng.IntN(len(replicas))]
			before := r.Head()
			var d Delta
			switch rng.IntN(6) {
			case 0, 1:
				h.commit(rng)
			case 2:
				d = peer.Since(r.Head())
			case 3: // sent to another state, delayed or repeated
				delayed = append(delayed, peer.Since(uint64(rng.IntN(int(h.head())+1))))
				d = delayed[rng.IntN(len(delayed))]
			case 4:
				if r.Head() < h.head() {
					d = h.deltas[r.Head()]
				}
			case 5:
				if rng.IntN(4) == 0 {
					d = h.full(uint64(rng.IntN(int(h.head()) + 1)))
				}
			}
			_, _ = r.Apply(d)
			assert.Assert(t, r.Head() >= before, "seed %d step %d", seed, step)
			want := h.liveAt[r.Head()]
			assert.Assert(t, maps.Equal(liveRevisions(r.State), want), "seed %d step %d: %v, want %v", seed, step, liveRevisions(r.State), want)
			assert.Assert(t, maps.Equal(r.notified, want), "seed %d step %d: %v, want %v", seed, step, r.notified, want)
		}
		_, _ = replicas[0].Apply(h.full(h.head()))
		for _, r := range replicas {
			_, err := r.Apply(replicas[0].Since(r.Head()))
			assert.NilError(t, err)
			assert.DeepEqual(t, liveRevisions(r.State), h.liveAt[h.head()])
		}
	}
}
