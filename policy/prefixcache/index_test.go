package prefixcache

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

var start = time.Unix(1_000_000, 0)

var names = strings.Split("abcdefghijklmnopqrstuvwx", "")

func event(sequence, hash uint64, evicted bool) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, PrefixHash: hash, Tokens: prefixTokens(int(hash - 1)), Evicted: evicted}
}

func TestLookup(t *testing.T) {
	hashes := []uint64{1, 2, 3, 4}
	cfg := Config{MaxEntries: 100, HalfLife: time.Minute, PlacedConfidence: 0.5, EvictedShare: 0.5, MissPenalty: 0.1}
	for _, tc := range []struct {
		name       string
		setup      func(x *Index)
		after      time.Duration
		tokens     int
		confidence float64
	}{
		{"empty index", func(*Index) {}, 0, 0, 0},
		{"placed", func(x *Index) { x.RecordPlacement("a", hashes[:2], start) }, 0, 128, 0.5},
		{"placed elsewhere", func(x *Index) { x.RecordPlacement("b", hashes, start) }, 0, 0, 0},
		{"decays", func(x *Index) { x.RecordPlacement("a", hashes, start) }, time.Minute, 256, 0.25},
		{"decays to nothing", func(x *Index) { x.RecordPlacement("a", hashes, start) }, time.Hour, 0, 0},
		{"result confirms", func(x *Index) {
			x.RecordPlacement("a", hashes, start)
			x.RecordResult("a", hashes, 256, start)
		}, 0, 256, 1},
		{"result contradicts", func(x *Index) {
			x.RecordResult("a", hashes, 0, start)
			x.RecordResult("a", hashes[:1], 0, start)
			x.RecordResult("a", hashes[:2], 0, start)
		}, 0, 256, math.Exp(-0.1)},
		{"events", func(x *Index) {
			x.ApplyEvents("a", []engine.CacheEvent{event(1, 1, false), event(2, 2, false), event(3, 2, true)}, start)
		}, 0, 64, 1},
		{"late duplicate of an event", func(x *Index) {
			x.ApplyEvents("a", []engine.CacheEvent{event(5, 1, false), event(6, 1, true), event(5, 1, false)}, start)
		}, 0, 0, 0},
		{"gap of two events over two entries", func(x *Index) {
			x.ApplyEvents("a", []engine.CacheEvent{event(1, 1, false), event(2, 2, false), event(5, 9, false)}, start)
		}, 0, 128, math.Exp(-0.5)},
		{"an entry after the gap is not affected", func(x *Index) {
			x.ApplyEvents("a", []engine.CacheEvent{event(1, 1, false), event(9, 2, false)}, start)
		}, 0, 128, 1},
		{"placement does not lower the confidence of an event", func(x *Index) {
			x.ApplyEvents("a", []engine.CacheEvent{event(1, 1, false)}, start)
			x.RecordPlacement("a", hashes[:1], start)
		}, 0, 64, 1},
		{"forgotten", func(x *Index) {
			x.RecordPlacement("a", hashes, start)
			x.Forget("a")
			x.RecordPlacement("a", hashes[:1], start)
		}, 0, 64, 0.5},
	} {
		x := New(cfg)
		tc.setup(x)
		got := x.Lookup("a", hashes, start.Add(tc.after))
		assert.Equal(t, got.Tokens, tc.tokens, tc.name)
		assert.Assert(t, math.Abs(got.Confidence-tc.confidence) < 1e-6, "%s: %v", tc.name, got)
	}
}

func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	x := New(Config{MaxEntries: 2, PlacedConfidence: 1})
	for _, hash := range []uint64{1, 2, 1, 3} {
		x.RecordPlacement("a", []uint64{hash}, start)
	}
	assert.Equal(t, x.Lookup("a", []uint64{1}, start).Tokens, 64)
	assert.Equal(t, x.Lookup("a", []uint64{2}, start).Tokens, 0)
}

// TestInvariants applies random operations to an index and checks its accounting.
func TestInvariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	x := New(Config{MaxEntries: 50, HalfLife: time.Minute, PlacedConfidence: 0.7, EvictedShare: 0.5})
	now, sequence := start, uint64(0)
	for range 20_000 {
		id := names[rng.IntN(5)]
		hashes := []uint64{1, 2 + rng.Uint64N(9), 20 + rng.Uint64N(200)}
		now = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0:
			x.RecordPlacement(id, hashes, now)
		case 1:
			x.RecordResult(id, hashes, rng.IntN(200), now)
		case 2:
			sequence += 1 + rng.Uint64N(3)
			x.ApplyEvents(id, []engine.CacheEvent{event(sequence, hashes[rng.IntN(3)], rng.IntN(2) == 0)}, now)
		case 3:
			if rng.IntN(50) == 0 {
				x.Forget(id)
			}
		default:
			h := x.Lookup(id, hashes, now)
			assert.Assert(t, h.Confidence >= 0 && h.Confidence <= 1)
		}
		assert.Assert(t, x.Len() <= 50)
	}
	entries := map[uint32]int{}
	for k := range x.slots {
		entries[k.backend]++
	}
	for id, b := range x.backends {
		assert.Equal(t, entries[b.id], b.entries, id)
	}
}

// BenchmarkPlaceAndLookUp24 has the size of an entry process planned for two years ahead: 24
// candidates per request, and prompts of 2,000 tokens on average.
func BenchmarkPlaceAndLookUp24(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	x := New(DefaultConfig())
	hashes := make([]uint64, 32)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j := range hashes {
			hashes[j] = rng.Uint64N(10_000)
		}
		x.RecordPlacement(names[i%24], hashes, start)
		for _, id := range names {
			x.Lookup(id, hashes, start)
		}
	}
}
