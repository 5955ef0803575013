package kvlink

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func TestPlan(t *testing.T) {
	l := New[string](1000)
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	cases := []struct {
		key   string
		ready time.Duration
		bytes int64
		start time.Duration
	}{
		{"first", 2 * time.Second, 1000, 2 * time.Second},
		{"fits before", 0, 2000, 0},
		{"too long for the gap", 0, 500, 3 * time.Second},
		{"after", 3 * time.Second, 1000, 3500 * time.Millisecond},
		{"nothing to transfer", time.Second, 0, time.Second},
		{"first", 0, 1000, 2 * time.Second},
	}
	for _, c := range cases {
		g := l.Plan(epoch, c.key, at(c.ready), c.bytes)
		assert.Equal(t, g.Start, at(c.start), c.key)
	}
	assert.Equal(t, l.Backlog(at(time.Second)), 3500*time.Millisecond)
	assert.Assert(t, l.Release("after") && !l.Release("after"))
	l.Observe(2250, time.Second)
	assert.Equal(t, l.TransferTime(1000), 800*time.Millisecond)
}

// TestReadyTransferPostponesPlans checks that a transfer that is ready waits only for begun ones.
func TestReadyTransferPostponesPlans(t *testing.T) {
	l := New[string](1000)
	l.Plan(epoch, "planned", epoch, 2000)
	l.Plan(epoch, "next", epoch, 1000)
	assert.Equal(t, l.Begin(epoch, "ready", 1000).Start, epoch)
	assert.Equal(t, l.Begin(epoch, "second", 500).Start, epoch.Add(time.Second))
	assert.Equal(t, l.bookings[2].Start, epoch.Add(1500*time.Millisecond))
	assert.Equal(t, l.bookings[3].End(), epoch.Add(4500*time.Millisecond))
}

func TestNeverOverSubscribed(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := New[int](1e6)
		for i := range 1000 {
			now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			ready := now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			switch rng.IntN(4) {
			case 0:
				l.Release(rng.IntN(i + 1))
			case 1:
				g := l.Begin(now, i, int64(i))
				assert.Assert(t, !g.Start.Before(now))
				l.Observe(rng.Int64N(1e6), 100*time.Millisecond)
			default:
				quote := l.Quote(now, ready, int64(i))
				assert.Equal(t, l.Plan(now, i, ready, int64(i)), quote)
			}
			for j := 1; j < l.Len(); j++ {
				assert.Assert(t, !l.bookings[j-1].End().After(l.bookings[j].Start))
			}
		}
		l.prune(epoch.Add(time.Hour))
		assert.Equal(t, l.Len(), 0)
	}
}

func BenchmarkPlan64(b *testing.B) {
	l := New[int](1e9)
	for i := range 64 {
		l.Plan(epoch, i, epoch, 1e6)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Plan(epoch, i%64, epoch, 1e6)
	}
}
