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

const ms = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func key(n int) Key { return Key{RequestID: fmt.Sprint("r", n), Attempt: 1} }

func request(n int, customer string) DecodeRequest {
	return DecodeRequest{Key: key(n), Customer: customer, Class: "c", Share: 0.5, Urgency: contract.Prompt, TTFT: time.Second, TBT: 50 * ms, MaxTokens: 100, PrefillTime: 100 * ms}
}

// server returns a server with a step of 20 ms at 20 places.
func server(change func(*DecodeConfig)) *Decode {
	cfg := DefaultDecodeConfig(20)
	cfg.StepBase, cfg.StepPerRun, cfg.LinkBytesPerSecond = 10*ms, 500*time.Microsecond, 1e9
	if change != nil {
		change(&cfg)
	}
	return NewDecode(cfg)
}

// take reserves and starts a place, which must be free.
func take(t *testing.T, d *Decode, now time.Time, r DecodeRequest) {
	t.Helper()
	d.Reserve(now, r)
	got := d.Advance(now)
	assert.Assert(t, len(got) == 1 && got[0].Verdict == Granted, "%v", got)
	assert.Equal(t, d.Start(now, r.Key).Verdict, Started)
}

// teach makes the lengths of the class of a customer known.
func teach(d *Decode, customer string, tokens ...int) {
	for range 50 {
		for _, n := range tokens {
			d.class(request(0, customer)).observe(n)
		}
	}
}

func TestReserve(t *testing.T) {
	cases := []struct {
		name    string
		running int
		after   time.Duration
		change  func(*DecodeRequest)
		want    Verdict
		reason  outcome.Reason
	}{
		{"free", 0, 0, func(*DecodeRequest) {}, Granted, ""},
		{"full", 20, 0, func(*DecodeRequest) {}, Rejected, outcome.NoPlace},
		{"full, above its share, but nobody else wants one", 20, 0, func(r *DecodeRequest) { r.Customer = "a" }, Rejected, outcome.NoPlace},
		{"full, but may wait", 20, 0, func(r *DecodeRequest) { r.TTFT = 5 * time.Second }, Waiting, ""},
		{"full until its prefill is done", 20, 0, func(r *DecodeRequest) { r.PrefillTime, r.TTFT = 2100*ms, 2200*ms }, Granted, ""},
		{"full, but all are at their bound", 20, 2 * time.Second, func(*DecodeRequest) {}, Granted, ""},
		{"prefill too long", 0, 0, func(r *DecodeRequest) { r.PrefillTime = 2 * time.Second }, Rejected, outcome.TargetUnreachable},
		{"step too slow", 0, 0, func(r *DecodeRequest) { r.TBT = 10 * ms }, Rejected, outcome.TargetUnreachable},
		{"batch too large for its tokens", 12, 0, func(r *DecodeRequest) { r.TBT = 16 * ms }, Rejected, outcome.NoPlace},
		{"batch small enough for its tokens", 7, 0, func(r *DecodeRequest) { r.TBT = 16 * ms }, Granted, ""},
		{"link busy", 0, 0, func(r *DecodeRequest) { r.TTFT, r.KVBytes = 2*time.Second, 1e9 }, Rejected, outcome.LinkBusy},
		{"transfer too long", 0, 0, func(r *DecodeRequest) { r.KVBytes = 1e10 }, Rejected, outcome.TargetUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := server(nil)
			for i := range c.running {
				take(t, d, epoch, request(i, "a"))
			}
			d.link.Plan(epoch, key(-1), epoch, 1e9)
			r := request(100, "b")
			c.change(&r)
			now := at(c.after)
			got := d.Reserve(now, r)
			if more := d.Advance(now); len(more) > 0 {
				got = more[0]
			}
			assert.Equal(t, got.Verdict, c.want)
			assert.Equal(t, got.Reason, c.reason)
			assert.Assert(t, got.Verdict != Rejected || got.RetryAfter >= minRetryAfter)
		})
	}
}

// TestPromisesAhead holds when a place is promised before it is free.
func TestPromisesAhead(t *testing.T) {
	cases := []struct {
		name    string
		lengths []int
		prefill time.Duration
		want    int
	}{
		{"lengths known, soon ending", []int{50}, 500 * ms, 5},
		{"lengths known, ending later", []int{50}, 100 * ms, 0},
		{"lengths vary", []int{40, 95, 95, 95, 95}, 500 * ms, 1},
		{"lengths not known", nil, 500 * ms, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := server(nil)
			for i := range 20 {
				take(t, d, epoch, request(i, "a"))
			}
			teach(d, "a", c.lengths...)
			now := at(600 * ms)
			for i := range 20 {
				r := request(100+i, "b")
				r.PrefillTime, r.TTFT = c.prefill, 10*time.Second
				d.Reserve(now, r)
			}
			assert.Equal(t, len(d.Advance(now)), c.want)
		})
	}
}

// TestEarlyStart holds that a run whose promise came too early waits for the
// next place, goes before all that wait, and is given up after the hold.
func TestEarlyStart(t *testing.T) {
	d := server(nil)
	for i := range 20 {
		take(t, d, epoch, request(i, "a"))
	}
	teach(d, "a", 10)
	for i := 100; i < 102; i++ {
		r := request(i, "b")
		r.PrefillTime, r.TTFT = 300*ms, 2*time.Second
		d.Reserve(epoch, r)
	}
	assert.Equal(t, len(d.Advance(epoch)), 2)
	now := at(200 * ms)
	assert.Equal(t, d.Start(now, key(100)).Verdict, Held)
	assert.Equal(t, d.Start(now, key(101)).Verdict, Held)
	assert.Assert(t, d.caution > minCaution)
	d.Completed(now, key(3), 10)
	got := d.Advance(now)
	assert.Assert(t, len(got) == 1 && got[0].Key == key(100) && got[0].Verdict == Started)
	got = d.Advance(now.Add(DefaultHold))
	assert.Assert(t, len(got) == 1 && got[0].Key == key(101) && got[0].Reason == outcome.ReservationLapsed)
}

// TestLentShareReturns holds that a customer that was idle gets every place that
// becomes free until it has its share, though the other keeps asking.
func TestLentShareReturns(t *testing.T) {
	for _, fifo := range []bool{false, true} {
		d := server(func(c *DecodeConfig) { c.FIFO = fifo })
		for i := range 20 {
			take(t, d, epoch, request(i, "a"))
		}
		for i := range 20 {
			a, b := request(100+i, "a"), request(200+i, "b")
			a.TTFT, b.TTFT = time.Minute, time.Minute
			d.Reserve(at(time.Duration(i)), a)
			d.Reserve(at(time.Duration(i)), b)
		}
		first := 0
		for i := range 10 {
			now := at(time.Duration(i+1) * 10 * ms)
			d.Completed(now, key(i), 50)
			for _, got := range d.Advance(now) {
				if got.Key.RequestID >= "r200" {
					first++
				}
			}
		}
		assert.Equal(t, first, map[bool]int{false: 10, true: 5}[fifo])
	}
}

// TestPlaceKeptForRefused holds that a customer refused within its share finds a
// place when it comes back, for a bounded time.
func TestPlaceKeptForRefused(t *testing.T) {
	d := server(nil)
	for i := range 20 {
		take(t, d, epoch, request(i, "a"))
	}
	b := request(100, "b")
	back := d.Reserve(epoch, b)
	assert.Equal(t, back.Reason, outcome.NoPlace)
	assert.Equal(t, d.Reserve(epoch, request(102, "a")).Reason, outcome.ShareExceeded)
	more := request(101, "a")
	more.TTFT = time.Minute
	d.Reserve(epoch, more)
	d.Completed(epoch, key(0), 50)
	assert.Equal(t, len(d.Advance(epoch)), 0)
	later := at(back.RetryAfter + owedGrace)
	assert.Equal(t, len(d.Advance(later.Add(-ms))), 0)
	d.Reserve(later.Add(-ms), b)
	got := d.Advance(later.Add(-ms))
	assert.Assert(t, len(got) == 1 && got[0].Key == b.Key)
	d.Cancel(b.Key)
	assert.Equal(t, len(d.Advance(later)), 1)
}

func TestRetryAfterIsSpread(t *testing.T) {
	d := server(nil)
	d.placeTime = 4 * time.Second
	for i := range 20 {
		take(t, d, epoch, request(i, "a"))
	}
	seen := make(map[time.Duration]bool)
	for i := range 200 {
		after := d.Reserve(epoch, request(100+i, "b")).RetryAfter
		assert.Assert(t, after >= minRetryAfter && after <= maxRetryAfter*5/4)
		seen[after] = true
	}
	assert.Assert(t, len(seen) > 190)
}

// random drives all calls in random order and returns every decision.
func random(t *testing.T, seed uint64, ahead int) []Decision {
	rng := rand.New(rand.NewPCG(seed, 2))
	d := server(func(c *DecodeConfig) { c.Ahead = ahead })
	var log []Decision
	now := epoch
	for i := range 3000 {
		now = now.Add(time.Duration(rng.IntN(20)) * ms)
		k := key(max(0, i-rng.IntN(60)))
		switch rng.IntN(6) {
		case 0, 1:
			r := request(i, fmt.Sprint(rng.IntN(8)))
			r.Urgency, r.Share = contract.Urgency(rng.IntN(3)), rng.Float64()
			r.PrefillTime, r.KVBytes = time.Duration(rng.IntN(900))*ms, rng.Int64N(1e8)
			r.TTFT = time.Duration(rng.IntN(4000)) * ms
			log = append(log, d.Reserve(now, r))
		case 2, 3:
			log = append(log, d.Start(now, k))
		case 4:
			d.Completed(now, k, 1+rng.IntN(100))
		case 5:
			d.Cancel(k)
		}
		log = append(log, d.Advance(now)...)
		assert.Assert(t, d.busy <= 20 && len(d.ordered) <= 20+ahead, "busy %d given out %d", d.busy, len(d.ordered))
		assert.Equal(t, len(d.places), len(d.ordered))
		assert.Equal(t, len(d.waiting), d.queue.Len())
		assert.Assert(t, d.link.Len() <= len(d.places))
	}
	for i := range 3000 {
		d.Cancel(key(i))
	}
	assert.Equal(t, d.Load(now), Load{Slots: 20, Step: d.steps.of(1)})
	assert.Equal(t, d.queue.Customers()+d.link.Len()+d.busy, 0)
	return log
}

func TestRandom(t *testing.T) {
	for seed := range uint64(10) {
		for _, ahead := range []int{0, 5} {
			assert.DeepEqual(t, random(t, seed, ahead), random(t, seed, ahead))
		}
	}
}

// BenchmarkReserve is a reservation, its end and the next grant with 2,000
// requests of 340 customers waiting.
func BenchmarkReserve(b *testing.B) {
	for _, places := range []int{20, 64} {
		b.Run(fmt.Sprint(places), func(b *testing.B) {
			d := NewDecode(DefaultDecodeConfig(places))
			d.cfg.StepBase, d.steps.base, d.cfg.MaxQueued = 10*ms, 10*ms, 1<<20
			ask := func(i int) {
				r := request(i, fmt.Sprint("customer-", i%340))
				r.Share, r.TTFT, r.Urgency = 0.003, time.Hour, contract.Urgency(i%3)
				d.Reserve(epoch, r)
			}
			for i := range 2000 + places {
				ask(i)
				for _, g := range d.Advance(epoch) {
					d.Start(epoch, g.Key)
				}
			}
			b.ReportAllocs()
			for i := 2000 + places; b.Loop(); i++ {
				ask(i)
				d.Completed(epoch, d.ordered[0].req.Key, 50)
				for _, g := range d.Advance(epoch) {
					d.Start(epoch, g.Key)
				}
			}
		})
	}
}
