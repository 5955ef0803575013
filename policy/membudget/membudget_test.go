package membudget

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	mb = 1 << 20
	// testTotal is a quarter of the memory of the smallest VM.
	testTotal   = 28 * mb
	limitBody   = 4 * mb
	receiveTime = 30 * time.Second
)

var start = time.UnixMilli(0)

func newBudget() *Budget { return New(Limits{Total: testTotal, ReceiveTime: receiveTime}) }

// reserve reserves room for requests of one size, and returns those that were granted it.
func reserve(b *Budget, n int, size int64, now time.Time) []*Claim {
	var granted []*Claim
	for range n {
		c := &Claim{}
		if b.Reserve(c, size, now).Granted {
			granted = append(granted, c)
			continue
		}
		b.Release(c)
	}
	return granted
}

func TestOneRequestAtTheLimitHasRoom(t *testing.T) {
	assert.Equal(t, len(reserve(newBudget(), 1, limitBody, start)), 1)
}

// TestCrowdOfLargeRequestsIsRejected guards against large requests that take the room of small ones.
func TestCrowdOfLargeRequestsIsRejected(t *testing.T) {
	b := newBudget()
	large := reserve(b, 100, limitBody, start)
	assert.Equal(t, len(large), 4)
	var c Claim
	v := b.Reserve(&c, limitBody, start)
	assert.Check(t, !v.Granted)
	assert.Equal(t, v.RetryAfter, StallTime)
	assert.Equal(t, c.size, int64(0))
	assert.Check(t, len(reserve(b, 100, SmallBytes, start)) == 100, "small requests have no room")
	assert.Check(t, b.Held() <= testTotal)
}

// TestStalledRequestsGiveWay guards against requests that stop short and keep the room of others.
func TestStalledRequestsGiveWay(t *testing.T) {
	b := newBudget()
	for i, c := range reserve(b, 4, limitBody, start) {
		b.Received(c, limitBody-1, start.Add(time.Duration(i)*time.Millisecond))
	}
	oldest := b.claims[0]
	now := start.Add(StallTime - time.Millisecond)
	assert.Check(t, !b.Reserve(&Claim{}, limitBody, now).Granted, "too early")
	var c Claim
	v := b.Reserve(&c, limitBody, start.Add(StallTime+time.Second))
	assert.Check(t, v.Granted)
	assert.Equal(t, len(v.Evicted), 1)
	assert.Equal(t, v.Evicted[0], oldest)
	_, ok := b.Complete(oldest)
	assert.Check(t, !ok, "a request that gave way counts as received")
}

// TestSlowRequestKeepsItsRoom guards against sound clients that are sacrificed since their requests arrive slowly.
func TestSlowRequestKeepsItsRoom(t *testing.T) {
	// overhead is what a request takes besides its bytes.
	const overhead = 4 << 10
	for _, c := range []struct {
		name string
		// rate is that of the slow request, as a share of what makes it whole in time.
		rate   float64
		length int64
		keeps  bool
	}{
		{"in half of the time", 2, limitBody, true},
		{"just in time", 1.01, limitBody, true},
		{"too slow to be whole in time", 0.5, limitBody, false},
		{"small, just in time", 1.01, 1000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBudget()
			slow := &Claim{Length: c.length}
			assert.Check(t, b.Reserve(slow, c.length+overhead, start).Granted)
			evicted := false
			now := start
			for ; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
				b.Received(slow, int64(math.Ceil(c.rate*float64(c.length)/receiveTime.Seconds()/10)), now)
				for range 10 {
					v := b.Reserve(&Claim{}, limitBody, now)
					for _, other := range v.Evicted {
						evicted = evicted || other == slow
					}
				}
			}
			assert.Equal(t, !evicted, c.keeps)
		})
	}
}

// TestRejectedWithoutVictims guards against requests that give way for one that gets no room all the same.
func TestRejectedWithoutVictims(t *testing.T) {
	b := newBudget()
	reserve(b, 1, SmallBytes, start)
	var rooms []Room
	for _, c := range reserve(b, 4, limitBody, start) {
		room, ok := b.Complete(c)
		assert.Check(t, ok)
		assert.Equal(t, room.bytes, int64(limitBody))
		rooms = append(rooms, room)
	}
	v := b.Reserve(&Claim{}, limitBody, start.Add(time.Minute))
	assert.Check(t, !v.Granted)
	assert.Equal(t, len(v.Evicted), 0)
	assert.Equal(t, v.RetryAfter, defaultRetry)
	b.Return(rooms[0])
	assert.Check(t, b.Reserve(&Claim{}, limitBody, start.Add(time.Minute)).Granted)
}

func TestGrowingRequest(t *testing.T) {
	b := newBudget()
	var c Claim
	for size := int64(1); size <= limitBody; size *= 2 {
		assert.Check(t, b.Reserve(&c, size, start).Granted)
		assert.Equal(t, b.Held(), size)
	}
	b.Release(&c)
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, len(b.claims), 0)
	b.Release(&c)
	assert.Equal(t, b.Held(), int64(0))
}

// TestRequestsAheadLeaveRoom guards against requests that are sent ahead of their answers and take the room of ordinary ones, of which
// each connection has one at a time.
func TestRequestsAheadLeaveRoom(t *testing.T) {
	b := newBudget()
	ahead := 0
	for {
		if _, v := b.Take(SmallBytes, true, start); !v.Granted {
			break
		}
		ahead++
	}
	assert.Check(t, ahead > 0)
	assert.Check(t, !b.Reserve(&Claim{Behind: true}, SmallBytes, start.Add(time.Minute)).Granted)
	first := 0
	for {
		if _, v := b.Take(SmallBytes, false, start); !v.Granted {
			break
		}
		first++
	}
	assert.Check(t, float64(first*SmallBytes) >= SmallShare*testTotal-SmallBytes, "%d requests", first)
}

// TestRateIsThatOfTheBytes guards against a slow client whose small request gives way since its room, which is larger than its bytes,
// counts as what it has to send.
func TestRateIsThatOfTheBytes(t *testing.T) {
	const length, overhead = 1000, 4 << 10
	for _, c := range []struct {
		name     string
		rate     float64
		length   int64
		givesWay bool
	}{
		{"just in time", 1.01, length, false},
		{"too slow", 0.5, length, true},
		{"slow, of unknown length", 0.5, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBudget()
			slow := &Claim{Length: c.length}
			assert.Check(t, b.Reserve(slow, length+overhead, start).Granted)
			now := start
			for range 10 {
				now = now.Add(time.Second)
				b.Received(slow, int64(math.Ceil(c.rate*length/receiveTime.Seconds())), now)
			}
			assert.Equal(t, b.givesWay(slow, now), c.givesWay)
		})
	}
}
