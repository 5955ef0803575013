package dissemination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPullAsksOneAtATime(t *testing.T) {
	now := time.Unix(100, 0)
	var p Pull[string]
	assert.Assert(t, !p.Offer("a", 5, 5, now), "nothing is missing")
	assert.Assert(t, p.Offer("a", 6, 5, now))
	assert.Assert(t, !p.Offer("b", 6, 5, now), "a was just asked")
	_, again := p.Retry(5, now)
	assert.Assert(t, !again)
	now = now.Add(pullTimeout)
	from, again := p.Retry(5, now)
	assert.Assert(t, again)
	assert.Equal(t, from, "b")
	p.Forget("b")
	_, again = p.Retry(5, now.Add(pullTimeout))
	assert.Assert(t, !again, "no peer left to ask")
	assert.Assert(t, p.Offer("c", 7, 5, now.Add(pullTimeout)))
	_, again = p.Retry(7, now.Add(time.Hour))
	assert.Assert(t, !again, "reached")
}

// TestPullOverSlowLink transfers the whole configuration at its expected size in two
// years, 2.4 MB, over a 10 Mbit/s link that all copies in progress share. With a request
// every 300 ms the transfer took minutes: the copies delayed each other, as unrequested
// route tables once did.
func TestPullOverSlowLink(t *testing.T) {
	const size, rate, step = 2_400_000, 1_250_000, 10 * time.Millisecond
	start := time.Unix(100, 0)
	var p Pull[string]
	copies := []float64{}
	took := time.Duration(0)
	for ; took < 5*time.Minute; took += step {
		now := start.Add(took)
		if p.Offer("a", 6, 5, now) {
			copies = append(copies, 0)
		}
		if _, again := p.Retry(5, now); again {
			copies = append(copies, 0)
		}
		share := rate * step.Seconds() / float64(len(copies))
		for i := range copies {
			copies[i] += share
		}
		if copies[0] >= size {
			break
		}
	}
	assert.Assert(t, took < 10*time.Second, "%v", took)
	assert.Assert(t, len(copies) <= 5, "%d copies", len(copies))
	assert.Assert(t, !p.Offer("a", 6, 6, start.Add(took)), "reached")
	assert.Assert(t, p.Offer("a", 7, 6, start.Add(took)), "the next revision is requested immediately")
}
