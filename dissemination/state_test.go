package dissemination

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A watcher may read the state, and so may another goroutine that holds a lock the
// watcher waits for.
func TestWatcherMayReadState(t *testing.T) {
	s := NewState()
	var heads []uint64
	s.Watch(func(Delta) { heads = append(heads, s.Head()) })
	for rev := range uint64(3) {
		_, err := s.Apply(Delta{From: rev, Head: rev + 1})
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, heads, []uint64{1, 2, 3})
}

func TestApplyNeverReverts(t *testing.T) {
	put := func(rev uint64, value string) Record { return Record{Key: "k", Revision: rev, Value: []byte(value)} }
	for _, c := range []struct {
		name    string
		deltas  []Delta
		head    uint64
		value   string
		applied []bool
	}{
		{"in order", []Delta{{From: 0, Head: 1, Records: []Record{put(1, "a")}}, {From: 1, Head: 2, Records: []Record{put(2, "b")}}}, 2, "b", []bool{true, true}},
		{"older after newer", []Delta{{From: 0, Head: 2, Records: []Record{put(2, "b")}}, {From: 0, Head: 1, Records: []Record{put(1, "a")}}}, 2, "b", []bool{true, false}},
		{"repeated", []Delta{{From: 0, Head: 1, Records: []Record{put(1, "a")}}, {From: 0, Head: 1, Records: []Record{put(1, "x")}}}, 1, "a", []bool{true, false}},
		{"old record in a newer delta", []Delta{{From: 0, Head: 2, Records: []Record{put(2, "b")}}, {From: 0, Head: 3, Records: []Record{put(1, "a")}}}, 3, "b", []bool{true, true}},
		{"gap", []Delta{{From: 0, Head: 1, Records: []Record{put(1, "a")}}, {From: 2, Head: 3, Records: []Record{put(3, "c")}}}, 1, "a", []bool{true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState()
			for i, d := range c.deltas {
				applied, _ := s.Apply(d)
				assert.Equal(t, applied, c.applied[i])
			}
			r, ok := s.Get("k")
			assert.Assert(t, ok)
			assert.Equal(t, string(r.Value), c.value)
			assert.Equal(t, s.Head(), c.head)
		})
	}
}
