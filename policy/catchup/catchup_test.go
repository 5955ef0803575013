package catchup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var config = Config{Grace: 500 * time.Millisecond, Cooldown: time.Second, OfferTTL: 5 * time.Second}

// tick is the interval at which a replay calls each planner.
const tick = 10 * time.Millisecond

// replay runs processes that are offered a version and read it from the store at readAt; never if
// that is zero. It returns how often each process fetched, and how often each source was used.
func replay(readAt []time.Duration, storeLost bool) (fetches []int, served map[string]int) {
	start := time.Unix(0, 0)
	draw := rand.New(rand.NewPCG(1, 2)).IntN
	fetches, served = make([]int, len(readAt)), map[string]int{}
	planners, own := make([]*Planner, len(readAt)), make([]int64, len(readAt))
	for i := range planners {
		planners[i] = New(config)
	}
	for at := time.Duration(0); at < 3*time.Second; at += tick {
		now := start.Add(at)
		for i, p := range planners {
			if readAt[i] > 0 && at >= readAt[i] {
				own[i] = 7
			}
			for source := range 8 {
				p.Offer(fmt.Sprint("fast-", source), 7, now)
			}
			if id, _ := p.Next(own[i], storeLost, now, draw); id != "" {
				fetches[i]++
				served[id]++
				own[i] = 7
			}
		}
	}
	return fetches, served
}

// TestNoFetchWithinGrace: all processes read the version from the store within the grace period.
func TestNoFetchWithinGrace(t *testing.T) {
	readAt := make([]time.Duration, 20)
	for i := range readAt {
		readAt[i] = time.Duration(20*(i+1)) * time.Millisecond
	}
	fetches, _ := replay(readAt, false)
	for i, n := range fetches {
		assert.Equal(t, n, 0, "process %d", i)
	}
}

// TestStoreUnreachable: each process fetches once, and the sources share the load.
func TestStoreUnreachable(t *testing.T) {
	for _, storeLost := range []bool{false, true} {
		fetches, served := replay(make([]time.Duration, 20), storeLost)
		for i, n := range fetches {
			assert.Equal(t, n, 1, "process %d", i)
		}
		for id, n := range served {
			assert.Assert(t, n <= 6, "%s serves %d of 20", id, n)
		}
	}
}

func TestNext(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	first := func(int) int { return 0 }
	p := New(config)
	next := func(own int64, lost bool, ms int) string {
		id, wait := p.Next(own, lost, at(ms), first)
		assert.Assert(t, id != "" || wait > 0)
		return id
	}
	assert.Equal(t, next(-1, true, 0), "", "no source is known")
	p.Offer("a", 7, at(0))
	p.Offer("b", 7, at(0))
	assert.Equal(t, next(7, true, 0), "", "not outdated")
	assert.Equal(t, next(-1, false, 0), "", "within the grace period")
	assert.Equal(t, next(-1, true, 10), "a", "the store is unreachable")
	assert.Equal(t, next(-1, false, 500), "a", "the grace period is over")
	p.Failed("a", at(500))
	assert.Equal(t, next(-1, false, 500), "b")
	p.Failed("b", at(510))
	assert.Equal(t, next(-1, false, 520), "", "both in cooldown")
	_, wait := p.Next(-1, false, at(1400), first)
	assert.Equal(t, wait, 100*time.Millisecond, "until the first cooldown ends")
	assert.Equal(t, next(-1, false, 1500), "a")
	assert.Equal(t, next(6, false, 1500), "", "it makes progress by itself")
	p.Offer("c", 8, at(1600))
	assert.Equal(t, next(6, false, 2000), "c", "the source of the newest version, though newer ones keep coming")
	assert.Equal(t, next(7, false, 7000), "", "the offers have expired")
}
