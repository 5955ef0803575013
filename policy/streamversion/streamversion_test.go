package streamversion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestKeysDiffer(t *testing.T) {
	k := streamversion.KeyOf("llm", "customer", "1")
	for _, other := range [][3]string{{"llm", "customer", "2"}, {"llm", "", "customer1"}, {"llmcustomer", "", "1"}, {"llm2", "customer", "1"}, {"llm", "other", "1"}} {
		assert.Check(t, streamversion.KeyOf(other[0], other[1], other[2]) != k, "%q", other)
	}
	assert.Equal(t, streamversion.KeyOf("llm", "customer", "1"), k)
}

func TestRecords(t *testing.T) {
	r := streamversion.NewRecords()
	assert.Assert(t, r.Put(1, streamversion.Record{Version: "v1", Until: at(10)}, at(0)))
	assert.Assert(t, r.Put(1, streamversion.Record{Version: "v2", Until: at(12)}, at(5)), "a later report")
	rec, ok := r.Get(1, at(11))
	assert.Assert(t, ok)
	assert.Equal(t, rec.Version, "v1", "the version that began a stream stays")
	_, ok = r.Get(1, at(12))
	assert.Assert(t, !ok)
	r.Expire(at(12))
	assert.Equal(t, r.Len(), 0)
	k := streamversion.Key(0)
	for ; r.Put(k, streamversion.Record{Version: "v1", Until: at(99)}, at(13)); k++ {
	}
	assert.Equal(t, r.Len(), 1<<16, "bounded")
	assert.Assert(t, r.Put(0, streamversion.Record{Version: "v1", Until: at(100)}, at(14)), "a known stream needs no room")
}

func TestSeen(t *testing.T) {
	s := streamversion.NewSeen()
	assert.Assert(t, !s.Complete(at(0)))
	s.Observe("llm", "v1", at(0))
	s.Observe("llm", "", at(1))
	s.Observe("other", "v9", at(1))
	assert.DeepEqual(t, s.Versions("llm"), []string{"v1"})
	assert.Assert(t, !s.Several("llm"))
	s.Observe("llm", "v2", at(20))
	assert.Assert(t, s.Several("llm"))
	s.Expire(at(30))
	assert.DeepEqual(t, s.Versions("llm"), []string{"v1", "v2"})
	assert.Assert(t, s.Complete(at(30)) && !s.Complete(at(29)))
	s.Expire(at(31))
	// v1 was listed 31 s ago.
	assert.DeepEqual(t, s.Versions("llm"), []string{"v2"})
}

// TestReadings: only a router's own readings, without a gap and not old, prove that it has seen all versions.
func TestReadings(t *testing.T) {
	const second = time.Second
	s := streamversion.NewSeen()
	assert.Assert(t, !s.Current(0))
	for at := 10 * second; at <= 40*second; at += second {
		assert.Assert(t, !s.Current(at), "%v", at)
		s.RecordReading(at)
	}
	assert.Assert(t, s.Current(40*second) && s.Current(41*second+500*time.Millisecond))
	assert.Assert(t, !s.Current(42*second), "cut off, or woken from a freeze")
	s.RecordReading(39 * second)
	assert.Assert(t, s.Current(41*second), "a late answer changes nothing")
	s.RecordReading(43 * second)
	assert.Assert(t, s.Current(43*second), "a short gap")
	s.RecordReading(47 * second)
	assert.Assert(t, !s.Current(47*second), "a version may have come and gone in the gap")
}

func TestPossible(t *testing.T) {
	seen := func(versions ...string) streamversion.Possible {
		return streamversion.Possible{Versions: versions, Complete: true}
	}
	read := func(versions ...string) streamversion.Possible {
		return streamversion.Possible{Versions: versions, Complete: true, Current: true}
	}
	started := func(versions ...string) streamversion.Possible { return streamversion.Possible{Versions: versions} }
	for _, c := range []struct {
		name       string
		own, other streamversion.Possible
		version    string
		// only is whether one version is proved by the store, agreed whether it is by the word of these two.
		only, agreed bool
	}{
		{"none reported", streamversion.Possible{Unversioned: true}, started(), "", true, true},
		{"no engine known", started(), started(), "", false, false},
		{"one, all read", read("v1"), seen("v1"), "v1", true, true},
		{"one, all seen, perhaps cut off", seen("v1"), seen("v1"), "v1", false, true},
		{"one, another has just started", seen("v1"), started("v1"), "v1", false, false},
		{"one, another has read all", started("v1"), read("v1"), "v1", true, true},
		{"another has seen another one", seen("v1"), read("v2"), "", false, false},
		{"two", read("v1", "v2"), read("v1"), "", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			both := c.own.With(c.other)
			version, ok := both.Only()
			assert.Equal(t, ok, c.only)
			if ok {
				assert.Equal(t, version, c.version)
			}
			version, ok = both.Agreed()
			assert.Equal(t, ok, c.agreed)
			if ok {
				assert.Equal(t, version, c.version)
			}
		})
	}
}

// TestOwners: few routers are all told; of many the same three are, those that are asked include them, and a router that
// leaves changes only its own streams.
func TestOwners(t *testing.T) {
	few := []string{"a", "b", "c"}
	assert.DeepEqual(t, streamversion.Told(7, few), few)
	var many []string
	for i := range 60 {
		many = append(many, fmt.Sprintf("10.0.0.%d:1", i))
	}
	counts := map[string]int{}
	const streams = 6000
	for k := range streamversion.Key(streams) {
		key := streamversion.KeyOf("llm", "", fmt.Sprint(k))
		told := streamversion.Told(key, many)
		assert.Equal(t, len(told), 3)
		asked := streamversion.Asked(key, many)
		assert.Equal(t, len(asked), 5)
		for _, addr := range told {
			counts[addr]++
			assert.Assert(t, slices.Contains(asked, addr))
		}
		rest := slices.DeleteFunc(slices.Clone(many), func(addr string) bool { return addr == many[0] })
		if !slices.Contains(told, many[0]) {
			assert.DeepEqual(t, streamversion.Told(key, rest), told)
		}
	}
	mean := 3 * streams / len(many)
	for addr, n := range counts {
		assert.Check(t, n > mean/2 && n < 2*mean, "%s is told of %d streams, %d on average", addr, n, mean)
	}
}
