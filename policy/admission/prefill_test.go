package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

func prefillRequest(n int, customer string, tokens int, budget time.Duration) PrefillRequest {
	return PrefillRequest{Key: key(n), Customer: customer, Share: 0.5, Urgency: contract.Deferred, Tokens: tokens, Budget: budget}
}

func TestPrefill(t *testing.T) {
	cfg := DefaultPrefillConfig(1000)
	cfg.Window = 2
	p := NewPrefill(cfg)
	interactive := prefillRequest(9, "b", 10, 2*time.Second)
	interactive.Urgency = contract.Interactive
	for i := range 4 {
		assert.Equal(t, p.Submit(epoch, prefillRequest(i, "a", 1000, 10*time.Second)).Verdict, Queued)
	}
	assert.Equal(t, len(p.Advance(epoch)), 2)
	assert.Equal(t, p.Backlog(at(500*ms)), 3500*ms)
	assert.Equal(t, p.Submit(epoch, interactive).Reason, outcome.PrefillBacklog)
	assert.Equal(t, p.Submit(epoch, prefillRequest(10, "a", 3000, 2*time.Second)).Reason, outcome.TargetUnreachable)
	assert.Equal(t, p.Submit(at(500*ms), interactive).Verdict, Queued)

	p.Completed(at(time.Second), key(0))
	got := p.Advance(at(time.Second))
	assert.Assert(t, len(got) == 1 && got[0].Key == interactive.Key, "interactive request was not served before the deferred ones")
	assert.Assert(t, p.Cancel(epoch, key(2)) && !p.Cancel(epoch, key(2)))
	p.observePace(prefillRequest(0, "a", 1000, 0), 500*ms)
	assert.Equal(t, p.Cost(prefillRequest(11, "a", 1000, 0)), 950*ms, "cost does not reflect that prompts of the class are partly cached")
	got = p.Advance(at(9 * time.Second))
	assert.Assert(t, len(got) == 1 && got[0].Key == key(3) && got[0].Verdict == Rejected && got[0].RetryAfter > 0)
}

func TestPrefillRandom(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := NewPrefill(DefaultPrefillConfig(10000))
		now := epoch
		for i := range 3000 {
			now = now.Add(time.Duration(rng.IntN(50)) * ms)
			k := key(max(0, i-rng.IntN(30)))
			switch rng.IntN(4) {
			case 0, 1:
				p.Submit(now, prefillRequest(i, fmt.Sprint(rng.IntN(8)), rng.IntN(2000), time.Duration(rng.IntN(2000))*ms))
			case 2:
				p.Completed(now, k)
			case 3:
				p.Cancel(now, k)
			}
			p.Advance(now)
			assert.Assert(t, len(p.active) <= 1 && p.Backlog(now) >= 0)
			assert.Equal(t, len(p.queued), p.queue.Len())
		}
		for i := range 3000 {
			p.Cancel(now, key(i))
		}
		assert.Equal(t, p.Backlog(now), time.Duration(0))
		assert.Equal(t, p.queue.Customers(), 0)
	}
}

func BenchmarkPrefill(b *testing.B) {
	p := NewPrefill(DefaultPrefillConfig(10000))
	submit := func(i int) {
		p.Submit(epoch, prefillRequest(i, fmt.Sprint("customer-", i%340), 100, time.Hour))
	}
	for i := range 2000 {
		submit(i)
	}
	b.ReportAllocs()
	for i := 2000; b.Loop(); i++ {
		submit(i)
		p.Advance(epoch)
		p.Completed(epoch, p.active[0].request.Key)
	}
}
