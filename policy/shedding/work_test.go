package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkInHandIsBounded: a connection is rejected while the link has too much to do for the requests in hand, at any rate of
// connections; slow clients alone don't limit others.
func TestWorkInHandIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                 string
		work                 Work
		accepts, unavailable bool
	}{
		{"idle", Work{}, true, false},
		{"much to receive from slow clients", Work{Reading: 100, ReceiveTime: time.Minute}, true, false},
		{"receives full, little in hand", Work{Reading: maxReading - 1, ReceivesFull: true, ReceiveTime: maxLinkTime - 1}, true, false},
		{"receives full, many requests in hand", Work{Reading: maxReading, ReceivesFull: true}, false, false},
		{"receives full, a long request in hand", Work{Reading: 1, ReceivesFull: true, ReceiveTime: maxLinkTime}, false, false},
		{"long bodies are read in time", Work{LateBodies: maxLateBodies - 1}, true, false},
		{"long bodies are not read in time", Work{LateBodies: maxLateBodies}, false, false},
		{"much to send", Work{SendTime: maxLinkTime}, false, false},
		{"more to send than is sent in time", Work{SendTime: unresponsiveLinkTime}, false, true},
		{"more to receive than is received in time", Work{ReceivesFull: true, ReceiveTime: unresponsiveLinkTime}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			assert.Assert(t, l.Accept(start, c.work), "the first connection")
			assert.Equal(t, l.Accept(start.Add(MaxPause-1), c.work), c.accepts)
			assert.Assert(t, l.Accept(start.Add(MaxLinkPause+MaxPause), c.work), "a connection after a pause")
			assert.Equal(t, l.Unresponsive(start, c.work), c.unavailable)
		})
	}
}

// TestConnectionIsTakenWhateverTheWork is TestConnectionIsTakenWhateverTheLimit with any work in hand.
func TestConnectionIsTakenWhateverTheWork(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 60))
		l := New()
		now, taken := start, start
		for range 3000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond)))
			inHand := Work{
				Reading: rng.IntN(3 * maxReading), LateBodies: rng.IntN(2 * maxLateBodies),
				SendTime:     time.Duration(rng.Int64N(int64(4 * maxLinkTime))),
				ReceivesFull: rng.IntN(2) == 0, ReceiveTime: time.Duration(rng.Int64N(int64(4 * maxLinkTime))),
			}
			if l.Accept(now, inHand) {
				taken = now
			}
			bound := MaxPause
			if inHand.linkOverloaded() {
				bound = MaxLinkPause
			}
			assert.Assert(t, now.Sub(taken) < bound, "seed %d", seed)
		}
	}
}

// TestReads: connections count from when they were accepted until their request is complete, or their client is too slow.
func TestReads(t *testing.T) {
	var r Reads
	first, second := r.Begin(start), r.Begin(start.Add(time.Second))
	assert.Equal(t, r.Count(start.Add(time.Second)), 2)
	second.End()
	second.End()
	assert.Equal(t, r.Count(start.Add(time.Second)), 1)
	assert.Equal(t, r.Count(start.Add(maxReadTime)), 0)
	first.End()
	assert.Equal(t, len(r.open), 0)
}
